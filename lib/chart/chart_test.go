package chart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const connectionText = `
name = "connection"
initial = "opening"
events = ["opened", "failed", "timed_out"]
[[state]]
name = "opening"
timeout = "open"
[[state.on]]
event = "opened"
guard = "allowed"
to = "ready"
actions = ["count"]
[[state.on]]
event = "opened"
to = "closed"
[[state.on]]
event = "failed"
to = "closed"
[[state.on]]
event = "timed_out"
to = "closed"
[[state]]
name = "ready"
timeout = "idle"
ignored = ["opened"]
[[state.on]]
event = "failed"
to = "closed"
[[state.on]]
event = "timed_out"
to = "closed"
[[state]]
name = "closed"
final = true
`

// subject is what the test chart runs on.
type subject struct {
	state   State
	allowed bool
	count   int
}

func registry() Registry[*subject] {
	return Registry[*subject]{
		Guards:   map[string]func(*subject) bool{"allowed": func(s *subject) bool { return s.allowed }},
		Actions:  map[string]func(*subject){"count": func(s *subject) { s.count++ }},
		Timeouts: map[string]time.Duration{"open": time.Second, "idle": time.Minute},
	}
}

func compileConnection(t testing.TB) *Table[*subject] {
	d, err := Parse("connection.toml", []byte(connectionText))
	require.NoError(t, err)
	table, err := Compile(d, registry())
	require.NoError(t, err)
	return table
}

// Guards against a guarded transition that is taken although its guard is false.
func TestFireTakesFirstRowWhoseGuardHolds(t *testing.T) {
	table := compileConnection(t)
	opened := table.Event("opened")
	s := &subject{allowed: true}
	table.Fire(s, &s.state, opened)
	require.Equal(t, "ready", table.StateName(s.state))
	require.Equal(t, 1, s.count)
	table.Fire(s, &s.state, opened)
	require.Equal(t, "ready", table.StateName(s.state))
	disallowed := &subject{}
	table.Fire(disallowed, &disallowed.state, opened)
	require.True(t, table.Final(disallowed.state))
	require.EqualValues(t, 1, table.TransitionCounts()["opening.opened.ready"])
}

// Guards against an invalid chart that passes validation.
func TestParseReportsEveryFault(t *testing.T) {
	_, err := Parse("broken.toml", []byte(`
name = "broken"
initial = "first"
events = ["go", "timed_out"]
[[state]]
name = "first"
[[state.on]]
event = "go"
guard = "maybe"
to = "nowhere"
[[state]]
name = "island"
timeout = "x"
ignored = ["go", "timed_out"]
`))
	var invalid *InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Violations, 5)
}

// Guards against names in a chart without a registration, and registrations that
// the chart does not use.
func TestCompileReportsUnboundNames(t *testing.T) {
	d, err := Parse("connection.toml", []byte(connectionText))
	require.NoError(t, err)
	r := registry()
	delete(r.Guards, "allowed")
	r.Actions["extra"] = func(*subject) {}
	_, err = Compile(d, r)
	var invalid *InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Violations, 2)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(connectionText))
	f.Add([]byte("name = \"x\"\n[[state]]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse("fuzz.toml", text)
		if err == nil {
			require.NotEmpty(t, d.Graph())
		}
	})
}

func BenchmarkFire(b *testing.B) {
	table := compileConnection(b)
	opened, failed := table.Event("opened"), table.Event("failed")
	for b.Loop() {
		s := subject{allowed: true}
		table.Fire(&s, &s.state, opened)
		table.Fire(&s, &s.state, failed)
	}
}
