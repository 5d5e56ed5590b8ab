package classify

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Guards against a write that is classified as a read and routed to a replica, and
// against a plain read that is not routed to replicas.
func TestKinds(t *testing.T) {
	cases := map[string]session.Kind{
		"":                               session.KindEmpty,
		"-- nothing":                     session.KindEmpty,
		"SELECT 1":                       session.KindRead,
		"VALUES (1), (2)":                session.KindRead,
		"TABLE notices":                  session.KindRead,
		"SHOW search_path":               session.KindRead,
		"SELECT count(*), max(a) FROM t": session.KindRead,
		"SELECT pg_catalog.now()":        session.KindRead,
		"SELECT a FROM t WHERE b = $1":   session.KindRead,
		"WITH x AS (SELECT 1) SELECT * FROM x UNION SELECT 2":   session.KindRead,
		"SELECT * FROM generate_series(1, 3)":                   session.KindRead,
		"SELECT 1; SELECT 2":                                    session.KindRead,
		"SELECT a FROM t FOR UPDATE":                            session.KindWrite,
		"SELECT * FROM (SELECT a FROM t FOR SHARE) s":           session.KindWrite,
		"SELECT a INTO u FROM t":                                session.KindWrite,
		"WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x": session.KindWrite,
		"SELECT (SELECT nextval('s'))":                          session.KindWrite,
		"SELECT app.now()":                                      session.KindWrite,
		"SELECT touch(a) FROM t":                                session.KindWrite,
		"SELECT 1; DELETE FROM t":                               session.KindWrite,
		"EXPLAIN ANALYZE DELETE FROM t":                         session.KindWrite,
		"INSERT INTO t VALUES (1)":                              session.KindWrite,
		"CREATE TABLE t (a int)":                                session.KindWrite,
		"SELEC 1":                                               session.KindWrite,
		"BEGIN":                                                 session.KindBegin,
		"START TRANSACTION READ ONLY":                           session.KindBegin,
		"BEGIN; INSERT INTO t VALUES (1)":                       session.KindWrite,
		"COMMIT":                                                session.KindEnd,
		"ROLLBACK":                                              session.KindEnd,
		"SAVEPOINT a":                                           session.KindRead,
		"SET search_path = a":                                   session.KindSessionSet,
		"SET a.b = 1; SET c.d = 2":                              session.KindSessionSet,
		"RESET ALL":                                             session.KindSessionSet,
		"DISCARD ALL":                                           session.KindSessionSet,
		"SET LOCAL search_path = a":                             session.KindRead,
		"SET a.b = 1; SELECT 1":                                 session.KindUnsupported,
		"SET sassafrasshunt.max_age_ms = 5":                     session.KindProxySet,
		"SHOW sassafrasshunt.position":                          session.KindProxyShow,
		"COPY t FROM STDIN":                                     session.KindUnsupported,
		"LISTEN a":                                              session.KindUnsupported,
	}
	c := New(DefaultCacheEntries)
	for text, want := range cases {
		require.Equal(t, want, c.Classify([]string{text}).Kind, text)
		require.Equal(t, want, c.Classify([]string{text}).Kind, "cached: "+text)
	}
}

// Guards against missing details of a classification that confirmation, pinning
// and replay depend on.
func TestDetails(t *testing.T) {
	c := New(DefaultCacheEntries)
	classify := func(text string) session.Classification { return c.Classify([]string{text}) }
	require.True(t, classify("BEGIN READ ONLY").ReadOnly)
	require.False(t, classify("BEGIN").ReadOnly)
	require.False(t, classify("BEGIN READ WRITE").ReadOnly)
	require.False(t, classify("BEGIN READ ONLY; INSERT INTO t VALUES (1)").ReadOnly)
	require.True(t, classify("COMMIT").Commit)
	require.False(t, classify("ROLLBACK").Commit)
	require.True(t, classify("INSERT INTO t VALUES (1); COMMIT").Commit)
	require.True(t, c.Classify([]string{"COMMIT", "SELECT 1"}).Commit)
	require.Equal(t, "commit", classify("COMMIT").Name)
	require.Empty(t, classify("COMMIT AND CHAIN").Name)
	require.Equal(t, "search_path", classify("SET search_path = a").Name)
	require.Equal(t, "all", classify("RESET ALL").Name)
	require.Equal(t, "discard all", classify("DISCARD ALL").Name)
	require.Equal(t, "250", classify("SET sassafrasshunt.max_age_ms TO '250'").Value)
	require.Equal(t, "250", classify("SET sassafrasshunt.max_age_ms = 250").Value)
	require.Equal(t, "", classify("RESET sassafrasshunt.max_age_ms").Value)
	status := classify("SHOW sassafrasshunt.write_status '0b1c'")
	require.Equal(t, session.KindProxyShow, status.Kind)
	require.Equal(t, "sassafrasshunt.write_status", status.Name)
	require.Equal(t, "0b1c", status.Value)
	require.Equal(t, session.KindProxyShow, classify("/* who */ show sassafrasshunt.write_status 'a';").Kind)
	for _, text := range []string{
		"CREATE TEMP TABLE x (a int)", "PREPARE p AS SELECT 1", "SELECT pg_advisory_lock(1)",
		"SELECT set_config('a.b', 'c', false)", "SELECT 1 INTO TEMP u",
	} {
		require.True(t, classify(text).ChangesSessionState, text)
	}
	require.False(t, classify("SELECT pg_advisory_xact_lock(1)").ChangesSessionState)
}

// Guards against hints that are ignored, taken from other comments, or applied to
// a whole batch although they hold for a part of it only.
func TestHints(t *testing.T) {
	c := New(DefaultCacheEntries)
	h := c.Classify([]string{"/*+ max_age_ms=500 write_id=u-1 idempotent */ SELECT 1"}).Hints
	require.Equal(t, session.Hints{MaxAge: 500 * time.Millisecond, WriteID: "u-1", Idempotent: true}, h)
	none := session.Hints{MaxAge: -1}
	require.Equal(t, none, c.Classify([]string{"SELECT 1 /*+ max_age_ms=500 */"}).Hints)
	require.Equal(t, none, c.Classify([]string{"/*+ max_age_ms=x */ SELECT 1"}).Hints)
	mixed := c.Classify([]string{"/*+ idempotent */ DELETE FROM t", "INSERT INTO t VALUES (1)"})
	require.False(t, mixed.Hints.Idempotent)
	both := c.Classify([]string{"/*+ idempotent max_age_ms=9 */ DELETE FROM t", "SELECT 1"})
	require.True(t, both.Hints.Idempotent)
	require.Equal(t, 9*time.Millisecond, both.Hints.MaxAge)
}

// Guards against a cache that grows with the number of distinct texts.
func TestCacheIsBounded(t *testing.T) {
	c := New(2)
	for _, text := range []string{"SELECT 1", "SELECT 2", "SELECT 1", "SELECT 3"} {
		c.Classify([]string{text})
	}
	require.Len(t, c.cache.byText, 2)
	_, kept := c.cache.get("SELECT 1")
	require.True(t, kept, "the most recently used text is kept")
	c.Classify([]string{"SELECT '" + strings.Repeat("x", maxCachedText) + "'"})
	require.Len(t, c.cache.byText, 2)
}

// Guards against a parser crash, which would terminate the instance.
func FuzzClassify(f *testing.F) {
	f.Add("SELECT 1")
	f.Add("/*+ max_age_ms=1 */ SET sassafrasshunt.max_age_ms = now()")
	f.Fuzz(func(t *testing.T, text string) {
		New(1).Classify([]string{text})
	})
}

func BenchmarkClassifyCached(b *testing.B) {
	c := New(DefaultCacheEntries)
	texts := []string{"SELECT a, b FROM notices WHERE id = $1"}
	b.ReportAllocs()
	for b.Loop() {
		c.Classify(texts)
	}
}

func BenchmarkClassifyUncached(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		classifyText("SELECT a, b FROM notices WHERE id = $1")
	}
}
