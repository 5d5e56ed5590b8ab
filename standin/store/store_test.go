package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

var testStart = time.Unix(1_000_000, 0)

func newStore(t *testing.T, id core.MemberID, primary bool) *Store {
	s, err := New(Config{Member: id, Primary: primary, Term: 1}, testStart)
	require.NoError(t, err)
	return s
}

func commit(t *testing.T, s *Store, id string) core.Position {
	p, err := s.Commit([]Change{{ID: id, Value: "x"}}, nil)
	require.NoError(t, err)
	return p
}

// pullAll replicates the log of the primary until the replica has all entries.
func pullAll(t *testing.T, replica, primary *Store) {
	for {
		p := replica.NextPull()
		batch, ready, err := primary.ServePull(p)
		require.NoError(t, err)
		replica.Receive(p, batch, testStart)
		replica.Advance(testStart)
		if !ready {
			return
		}
	}
}

// Guards against commands that a role must reject and against duplicate messages
// that change a role again.
func TestRoleCommands(t *testing.T) {
	fence := func(term core.Term) func(*Store) error {
		return func(s *Store) error { return s.Fence(term, testStart) }
	}
	promote := func(term core.Term) func(*Store) error {
		return func(s *Store) error { return s.Promote(term, testStart) }
	}
	follow := func(term core.Term) func(*Store) error {
		return func(s *Store) error { return s.Follow(term, "p", 0, testStart) }
	}
	tests := []struct {
		name     string
		primary  bool
		commands []func(*Store) error
		role     core.Role
		term     core.Term
		wantErr  error
	}{
		{"fence of the same term", true, []func(*Store) error{fence(1)}, core.RolePrimary, 1, nil},
		{"fence of a newer term", true, []func(*Store) error{fence(2)}, core.RoleFenced, 2, nil},
		{"fence of a lower term", true, []func(*Store) error{fence(3), fence(2)}, core.RoleFenced, 3, &TermError{3}},
		{"promote without fence", false, []func(*Store) error{promote(2)}, core.RoleReplica, 1, &RoleError{core.RoleReplica, "promote"}},
		{"promote after fence", false, []func(*Store) error{fence(2), promote(2)}, core.RolePrimary, 2, nil},
		{"promote of another term", false, []func(*Store) error{fence(2), promote(3)}, core.RoleFenced, 2, &RoleError{core.RoleFenced, "promote"}},
		{"late fence after promote", false, []func(*Store) error{fence(2), promote(2), fence(2)}, core.RolePrimary, 2, nil},
		{"repeated promote", false, []func(*Store) error{fence(2), promote(2), promote(2)}, core.RolePrimary, 2, nil},
		{"follow after promote", false, []func(*Store) error{fence(2), promote(2), follow(2)}, core.RolePrimary, 2, &RoleError{core.RolePrimary, "follow"}},
		{"follow of the same term", false, []func(*Store) error{follow(1)}, core.RoleReplica, 1, nil},
		{"follow after fence", true, []func(*Store) error{fence(2), follow(2)}, core.RoleReplica, 2, nil},
		{"follow without fence", true, []func(*Store) error{follow(2)}, core.RoleReplica, 2, nil},
		{"promote after follow", true, []func(*Store) error{follow(2), promote(2)}, core.RoleReplica, 2, &RoleError{core.RoleReplica, "promote"}},
		{"follow of a lower term", true, []func(*Store) error{fence(3), follow(2)}, core.RoleFenced, 3, &TermError{3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newStore(t, "m", test.primary)
			var err error
			for _, command := range test.commands {
				err = command(s)
			}
			require.Equal(t, test.wantErr, err)
			require.Equal(t, test.role, s.Role())
			require.Equal(t, test.term, s.Term())
		})
	}
}

// Guards against a duplicate follow command that drops entries of the term.
func TestRepeatedFollowKeepsEntries(t *testing.T) {
	primary, replica := newStore(t, "p", true), newStore(t, "r", false)
	require.NoError(t, primary.Fence(2, testStart))
	require.NoError(t, primary.Promote(2, testStart))
	require.NoError(t, replica.Follow(2, "p", 0, testStart))
	p := commit(t, primary, "a")
	pullAll(t, replica, primary)
	require.NoError(t, replica.Follow(2, "p", 0, testStart))
	require.Equal(t, p.LSN, replica.Status(testStart).Received)
}

// Guards against a replica that cannot join its term because it started
// without a primary, or because the primary has moved.
func TestFollowAnotherAddressOfTheTerm(t *testing.T) {
	replica := newStore(t, "r", false)
	for _, address := range []string{"first", "second"} {
		require.NoError(t, replica.Follow(1, address, 0, testStart))
		require.Equal(t, address, replica.Primary())
	}
}

// Guards against a confirmation by a member whose last entries are of another term
// than the primary's.
func TestUnverifiedMemberConfirmsNothing(t *testing.T) {
	old, next := newStore(t, "old", true), newStore(t, "next", false)
	commit(t, old, "a")
	pullAll(t, next, old)
	tail := commit(t, old, "divergent")
	require.NoError(t, next.Fence(2, testStart))
	require.NoError(t, next.Promote(2, testStart))
	require.NoError(t, old.Fence(2, testStart))
	confirmed, err := old.Confirmed(2, tail.LSN, 0)
	require.NoError(t, err)
	require.False(t, confirmed)
	require.NoError(t, old.Follow(2, "next", tail.LSN, testStart))
	confirmed, err = old.Confirmed(2, tail.LSN, 0)
	require.NoError(t, err)
	require.False(t, confirmed)
	pullAll(t, old, next)
	_, exists := old.Get("divergent")
	require.False(t, exists)
	commit(t, next, "b")
	pullAll(t, old, next)
	require.Equal(t, next.IDs(), old.IDs())
}

// Guards against two logs that count as equal because they end at the same position,
// although in different terms.
func TestSamePositionOfAnotherTermDiverges(t *testing.T) {
	first, second := newStore(t, "first", true), newStore(t, "second", false)
	commit(t, first, "a")
	pullAll(t, second, first)
	commit(t, first, "x")
	require.NoError(t, second.Fence(2, testStart))
	require.NoError(t, second.Promote(2, testStart))
	commit(t, second, "y")
	require.NoError(t, first.Fence(3, testStart))
	require.NoError(t, first.Promote(3, testStart))
	require.NoError(t, second.Follow(3, "first", first.Position().LSN, testStart))
	require.Equal(t, first.Position().LSN, second.Status(testStart).Received)
	pullAll(t, second, first)
	require.Equal(t, []string{"a", "x"}, second.IDs())
	require.Equal(t, first.Status(testStart).Terms, second.Status(testStart).Terms)
}

// Guards against entries that count as received or applied before their delay has
// passed.
func TestDelays(t *testing.T) {
	primary := newStore(t, "p", true)
	replica, err := New(Config{Member: "r", Term: 1, ReceiveDelay: time.Second, ApplyLag: time.Second}, testStart)
	require.NoError(t, err)
	p := commit(t, primary, "a")
	pull := replica.NextPull()
	batch, _, err := primary.ServePull(pull)
	require.NoError(t, err)
	replica.Receive(pull, batch, testStart)
	for _, step := range []struct {
		after             time.Duration
		received, applied core.LSN
	}{{0, 0, 0}, {time.Second, p.LSN, 0}, {2 * time.Second, p.LSN, p.LSN}} {
		replica.Advance(testStart.Add(step.after))
		s := replica.Status(testStart)
		require.Equal(t, step.received, s.Received)
		require.Equal(t, step.applied, s.Applied)
	}
}

// Guards against a journal that restores another state after a truncation.
func TestRestoreAfterTruncation(t *testing.T) {
	var journal []JournalRecord
	config := Config{Member: "r", Term: 1, Journal: func(r JournalRecord) { journal = append(journal, r) }}
	replica, err := Restore(config, nil, testStart)
	require.NoError(t, err)
	old, next := newStore(t, "old", true), newStore(t, "next", false)
	commit(t, old, "a")
	pullAll(t, next, old)
	commit(t, old, "divergent")
	pullAll(t, replica, old)
	require.NoError(t, next.Fence(2, testStart))
	require.NoError(t, next.Promote(2, testStart))
	commit(t, next, "b")
	require.NoError(t, replica.Follow(2, "next", next.Status(testStart).Received, testStart))
	pullAll(t, replica, next)
	restored, err := Restore(config, journal, testStart)
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, restored.IDs())
	require.Equal(t, replica.Status(testStart), restored.Status(testStart))
	require.Equal(t, "next", restored.Primary())
}
