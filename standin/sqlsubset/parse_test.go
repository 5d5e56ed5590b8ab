package sqlsubset

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a statement of the wrong kind, and against an unsupported statement
// that runs without its unsupported clauses.
func TestParse(t *testing.T) {
	tests := []struct {
		text     string
		kind     Kind
		writes   bool
		identity string
	}{
		{"INSERT INTO items(id, value) VALUES (1, 'a'), ($1, $2) RETURNING *", Insert, true, ""},
		{"INSERT INTO items VALUES (1, 'a') ON CONFLICT (id) DO UPDATE SET value = excluded.value", Insert, true, ""},
		{"/*+ idempotent write_id=a-b */ UPDATE items SET value = $1 WHERE id = $2", Update, true, "a-b"},
		{"/* write_id=a */ DELETE FROM items WHERE id = 'x'", Delete, true, ""},
		{"SELECT id, value FROM items WHERE id = -5", SelectRows, false, ""},
		{"SELECT value FROM items WHERE id = $1 FOR UPDATE", SelectRows, true, ""},
		{"SELECT id FROM items ORDER BY id", SelectRows, false, ""},
		{"SELECT count(*) FROM items", SelectCount, false, ""},
		{"SELECT 1, 'x', $1::text", SelectValues, false, ""},
		{"SELECT pg_sleep(0.5)", Sleep, false, ""},
		{"SELECT generate_series(1, $1)", Series, false, ""},
		{"BEGIN READ ONLY", Begin, false, ""},
		{"START TRANSACTION", Begin, false, ""},
		{"END", Commit, false, ""},
		{"ABORT", Rollback, false, ""},
		{"SET sassafrasshunt.max_age_ms = 500", Set, false, ""},
		{"RESET ALL", Reset, false, ""},
		{"SHOW sassafrasshunt.member", Show, false, ""},
		{"show sassafrasshunt.write_status 'u-1';", WriteStatus, false, "u-1"},
		{"DISCARD ALL", DiscardAll, false, ""},
	}
	for _, test := range tests {
		statements, err := Parse(test.text)
		require.NoError(t, err, test.text)
		require.Len(t, statements, 1)
		require.Equal(t, test.kind, statements[0].Kind, test.text)
		require.Equal(t, test.writes, statements[0].Writes(), test.text)
		require.Equal(t, test.identity, statements[0].Identity, test.text)
	}
	for _, text := range []string{
		"SELECT", "SELECT 1 WHERE false", "SELECT 1 LIMIT 0", "SELECT id FROM items ORDER BY value",
		"SELECT id FROM items LIMIT 1", "SELECT DISTINCT value FROM items", "DELETE FROM items USING x WHERE id = 1",
		"SELECT * FROM other", "SELECT now()", "INSERT INTO items SELECT 1, 2",
		"UPDATE items SET value = value || 'x'", "DELETE FROM items WHERE value = 'x'",
		"CREATE TABLE items(id int)", "SAVEPOINT a", "COPY items FROM STDIN", "WITH x AS (SELECT 1) SELECT 1",
	} {
		_, err := Parse(text)
		var syntax *SyntaxError
		require.ErrorAs(t, err, &syntax, text)
	}
}
