package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const minimal = `
[instance]
domain = "fyn"
[listen]
callers = "127.0.0.1:6432"
peers = "127.0.0.1:6433"
admin = "127.0.0.1:6434"
[platform]
address = "127.0.0.1:2400"
`

// Guards against a default value that fails its own validation.
func TestMinimalFileTakesDefaults(t *testing.T) {
	s, err := Parse("a.toml", []byte(minimal))
	require.NoError(t, err)
	require.Equal(t, 600*time.Millisecond, s.DetectionBound)
	require.Equal(t, 24, s.MaxInstances)
	require.EqualValues(t, "fyn", s.Domain)
}

// Guards against reporting only the first problem, or a problem without its line.
func TestEveryFaultIsReportedWithItsLine(t *testing.T) {
	_, err := Parse("a.toml", []byte(minimal+"lease_ttl = \"banana\"\ncolour = 1\n[session]\nretry_budget = 7.0\n"))
	var problems *ValidationError
	require.ErrorAs(t, err, &problems)
	require.Equal(t, []Problem{
		{Line: 10, Key: "platform.lease_ttl", Reason: "must be a duration from 1s to 1h0m0s"},
		{Line: 11, Key: "platform.colour", Reason: "unknown key"},
		{Line: 13, Key: "session.retry_budget", Reason: "must be a number from 0.0 to 1.0"},
	}, problems.Problems)
}

// Guards against accepting values that are valid alone but unsafe together.
func TestInconsistentValuesAreRefused(t *testing.T) {
	_, err := Parse("a.toml", []byte(minimal+"lease_renew = \"14s\"\n"))
	require.ErrorContains(t, err, "a.toml:10: platform.lease_renew")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[instance\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := Parse("fuzz.toml", content)
		require.Equal(t, err == nil, s != nil)
	})
}
