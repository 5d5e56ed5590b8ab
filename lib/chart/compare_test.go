package chart

import (
	"context"
	"testing"

	"github.com/qmuntal/stateless"
	"github.com/stretchr/testify/require"
)

// The benchmarks compare the table with a state machine library on the same two
// events and one guard; run `go test -bench 'Table|Stateless'`.

func BenchmarkTable(b *testing.B) {
	table := compileConnection(b)
	opened, failed := table.Event("opened"), table.Event("failed")
	s := &subject{allowed: true}
	for b.Loop() {
		s.state = table.Initial()
		table.Fire(s, &s.state, opened)
		table.Fire(s, &s.state, failed)
	}
}

func BenchmarkStateless(b *testing.B) {
	s := &subject{allowed: true}
	state := "opening"
	machine := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return state, nil },
		func(_ context.Context, next stateless.State) error {
			state = next.(string)
			return nil
		},
		stateless.FiringImmediate,
	)
	machine.Configure("opening").
		Permit("opened", "ready", func(context.Context, ...any) bool { return s.allowed }).
		Permit("failed", "closed")
	machine.Configure("ready").
		OnEntry(func(context.Context, ...any) error {
			s.count++
			return nil
		}).
		Permit("failed", "closed").
		Ignore("opened")
	machine.Configure("closed")
	for b.Loop() {
		state = "opening"
		require.NoError(b, machine.Fire("opened"))
		require.NoError(b, machine.Fire("failed"))
	}
}
