package classify

import "strings"

// readOnlyFunctions are PostgreSQL functions that neither write nor change state
// of the connection. Any other function makes its statement a write.
var readOnlyFunctions = nameSet(
	// Aggregates and window functions.
	`array_agg avg bit_and bit_or bool_and bool_or count every json_agg json_object_agg jsonb_agg
	jsonb_object_agg max min string_agg sum xmlagg corr covar_pop covar_samp regr_avgx regr_avgy
	regr_count regr_intercept regr_r2 regr_slope stddev stddev_pop stddev_samp variance var_pop
	var_samp mode percentile_cont percentile_disc rank dense_rank percent_rank cume_dist ntile
	row_number lag lead first_value last_value nth_value grouping any_value range_agg`,
	// Numbers.
	`abs ceil ceiling degrees div exp factorial floor gcd lcm ln log log10 mod pi power radians
	round scale sign sqrt trunc width_bucket acos asin atan atan2 cos cot sin tan random min_scale
	trim_scale cbrt`,
	// Strings and byte strings.
	`ascii bit_length btrim char_length character_length chr concat concat_ws convert convert_from
	convert_to decode encode format initcap left length lower lpad ltrim md5 octet_length overlay
	parse_ident position quote_ident quote_literal quote_nullable regexp_count regexp_instr
	regexp_like regexp_match regexp_matches regexp_replace regexp_split_to_array
	regexp_split_to_table regexp_substr repeat replace reverse right rpad rtrim sha224 sha256
	sha384 sha512 split_part starts_with string_to_array string_to_table strpos substr substring
	to_ascii to_char to_date to_hex to_number to_timestamp translate trim upper unistr normalize
	get_bit get_byte like_escape`,
	// Dates and times.
	`age clock_timestamp date_bin date_part date_trunc extract isfinite justify_days justify_hours
	justify_interval make_date make_interval make_time make_timestamp make_timestamptz now
	statement_timestamp timeofday timezone transaction_timestamp date timestamp pg_sleep
	pg_sleep_for pg_sleep_until overlaps`,
	// Arrays, ranges and rows.
	`array_append array_cat array_dims array_fill array_length array_lower array_ndims
	array_position array_positions array_prepend array_remove array_replace array_to_string
	array_upper cardinality generate_series generate_subscripts unnest trim_array lower_inc
	lower_inf upper_inc upper_inf isempty range_merge int4range int8range numrange tsrange
	tstzrange daterange num_nonnulls num_nulls`,
	// JSON and XML.
	`array_to_json json_array_elements json_array_elements_text json_array_length
	json_build_array json_build_object json_each json_each_text json_extract_path
	json_extract_path_text json_object json_object_keys json_populate_record
	json_populate_recordset json_strip_nulls json_to_record json_to_recordset json_typeof
	jsonb_array_elements jsonb_array_elements_text jsonb_array_length jsonb_build_array
	jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path jsonb_extract_path_text
	jsonb_insert jsonb_object jsonb_object_keys jsonb_path_exists jsonb_path_match
	jsonb_path_query jsonb_path_query_array jsonb_path_query_first jsonb_populate_record
	jsonb_pretty jsonb_set jsonb_strip_nulls jsonb_to_record jsonb_to_recordset jsonb_typeof
	row_to_json to_json to_jsonb xpath xpath_exists xmlcomment`,
	// Text search.
	`plainto_tsquery phraseto_tsquery setweight strip to_tsquery to_tsvector ts_headline ts_rank
	ts_rank_cd websearch_to_tsquery numnode querytree`,
	// System information.
	`col_description current_database current_schema current_schemas current_setting
	format_type gen_random_uuid has_column_privilege has_database_privilege
	has_schema_privilege has_table_privilege inet_client_addr inet_server_addr
	obj_description pg_backend_pid pg_column_size pg_database_size pg_encoding_to_char
	pg_function_is_visible pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_indexdef
	pg_get_userbyid pg_get_viewdef pg_indexes_size pg_is_in_recovery pg_last_wal_receive_lsn
	pg_last_wal_replay_lsn pg_last_xact_replay_timestamp pg_postmaster_start_time
	pg_relation_size pg_size_pretty pg_table_is_visible pg_table_size pg_total_relation_size
	pg_type_is_visible pg_typeof shobj_description to_regclass to_regtype version
	host hostmask netmask network masklen family set_masklen text`,
)

// statefulFunctions change state of the connection that outlives the
// transaction.
var statefulFunctions = nameSet(
	`set_config setseed pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock
	pg_try_advisory_lock_shared pg_advisory_unlock pg_advisory_unlock_shared
	pg_advisory_unlock_all dblink_connect dblink_connect_u dblink_open`,
)

// systemSchema is the schema of the functions listed here.
const systemSchema = "pg_catalog"

// nameSet returns the set of the names in groups, separated by white space.
func nameSet(groups ...string) map[string]bool {
	set := map[string]bool{}
	for _, group := range groups {
		for _, name := range strings.Fields(group) {
			set[name] = true
		}
	}
	return set
}
