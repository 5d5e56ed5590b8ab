package fleet

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// The worker's commands to members.

// stepDown makes a primary of a lower term a replica. Without a term it asks the member
// for its own first.
func (w *Worker) stepDown(ctx context.Context, t Target, term core.Term) (MemberState, error) {
	if term > 0 {
		return w.memberControl.StepDown(ctx, t, term)
	}
	state, err := w.memberControl.Status(ctx, t)
	if err != nil || state.Role != core.RolePrimary {
		return state, err
	}
	return w.memberControl.StepDown(ctx, t, state.Term+1)
}

// survey asks the replicas for their positions. Each one has to respond if they have to
// stop receiving first, or if their positions are compared with the primary's, which is
// asked before them.
func (w *Worker) survey(j Job, done *JobDone) {
	switch {
	case j.Term > 0:
		if done.Primary, done.Err = w.stepDownIfAlive(j.Primary, j.Term); done.Err == nil {
			done.States, done.Err = w.pauseAll(j.Targets, j.Lapsed, j.Term)
		}
	case j.Primary.Member != "":
		if done.Primary, done.Err = w.callMember(j.Primary, w.statusOrApplied); done.Err == nil {
			done.States, done.Err = w.callMembers(j.Targets, w.statusOrApplied)
		}
	default:
		// A replica that does not respond is no candidate and does not delay the
		// other replicas.
		done.States, _ = w.callMembers(j.Targets, w.statusOrApplied)
	}
}

// stepDownIfAlive makes an old primary step down that counts as dead. It returns the zero
// value if the primary does not respond, and an error if it responds without stepping down.
func (w *Worker) stepDownIfAlive(t Target, term core.Term) (MemberState, error) {
	if t.Member == "" {
		return MemberState{}, nil
	}
	state, err := w.callMember(t, func(ctx context.Context, t Target) (MemberState, error) {
		return w.memberControl.StepDown(ctx, t, term)
	})
	var busy *BusyError
	if err != nil && !eris.As(err, &busy) {
		return MemberState{}, nil
	}
	return state, err
}

// pause stops replicas from receiving.
func (w *Worker) pause(targets []Target, term core.Term) ([]MemberState, error) {
	return w.callMembers(targets, func(ctx context.Context, t Target) (MemberState, error) {
		return w.memberControl.Pause(ctx, t, term)
	})
}

// pauseAll stops replicas from receiving, and those of the lapsed ones that run. It returns the
// states of both, and an error if one that runs was not paused.
func (w *Worker) pauseAll(targets, lapsed []Target, term core.Term) ([]MemberState, error) {
	states, err := w.pause(targets, term)
	if err != nil {
		return states, err
	}
	for _, t := range lapsed {
		state, err := w.pauseLapsed(t, term)
		var busy *BusyError
		switch {
		case err == nil:
			states = append(states, state)
		case eris.As(err, &busy):
			return states, err
		}
	}
	return states, nil
}

// lapsedAttempts is how often a replica whose record has ended is asked before it counts as
// gone: a single response may be lost.
const lapsedAttempts = 2

// pauseLapsed stops a replica whose record has ended from receiving, if it runs. If it is a
// primary, it steps down: no instance uses it, but its record may return.
func (w *Worker) pauseLapsed(t Target, term core.Term) (MemberState, error) {
	state, err := w.askLapsed(t, func(ctx context.Context, t Target) (MemberState, error) {
		return w.memberControl.Pause(ctx, t, term)
	})
	if err != nil || state.Role != core.RolePrimary {
		return state, err
	}
	return w.askLapsed(t, func(ctx context.Context, t Target) (MemberState, error) {
		return w.memberControl.StepDown(ctx, t, term)
	})
}

// askLapsed sends the command to a replica whose record has ended, again if it does not respond.
func (w *Worker) askLapsed(t Target, command memberCommand) (state MemberState, err error) {
	for range lapsedAttempts {
		state, err = w.callMember(t, command)
		if !eris.Is(err, ErrNoResponse) {
			break
		}
	}
	return state, err
}

// catchUp pauses the other replicas, and then asks the primary and the replica to promote
// for their positions, in this order: what the primary acknowledges after the pauses, the
// replica has received.
func (w *Worker) catchUp(j Job, done *JobDone) {
	others, err := w.pauseAll(j.Others, j.Lapsed, j.Term)
	if err == nil {
		err = checkPaused(others, j.Term)
	}
	if err == nil {
		done.Primary, err = w.callMember(j.Primary, w.statusOrApplied)
	}
	if err == nil {
		done.States, err = w.callMembers(j.Targets, w.resumeOrApplied)
	}
	done.Err = err
}

// checkPaused returns ErrRejected, wrapped, if a replica knows a term that is not below that
// of its pause, and therefore goes on receiving.
func checkPaused(states []MemberState, term core.Term) error {
	for _, state := range states {
		if state.Term >= term {
			return eris.Wrapf(ErrRejected, "%s is in term %d and was not paused", state.Member, state.Term)
		}
	}
	return nil
}

// statusOrApplied returns the member's state, or what is known of it if it is busy.
func (w *Worker) statusOrApplied(ctx context.Context, t Target) (MemberState, error) {
	state, err := w.memberControl.Status(ctx, t)
	return stateOrApplied(t, state, err)
}

// resumeOrApplied resumes a replica and returns what is known of its state.
func (w *Worker) resumeOrApplied(ctx context.Context, t Target) (MemberState, error) {
	state, err := w.memberControl.Resume(ctx, t)
	return stateOrApplied(t, state, err)
}

// stateOrApplied returns the state of a member that has responded, and for a busy one a
// state with the position that it has applied.
func stateOrApplied(t Target, state MemberState, err error) (MemberState, error) {
	var busy *BusyError
	if !eris.As(err, &busy) || busy.Applied.IsZero() {
		return state, err
	}
	return MemberState{Member: t.Member, Role: core.RoleReplica, Term: busy.Applied.Term, Received: busy.Applied, Busy: true}, nil
}

// memberCommand sends one command to a member.
type memberCommand func(context.Context, Target) (MemberState, error)

// callMembers sends the command to each target. It returns the states of those that
// responded and the last error.
func (w *Worker) callMembers(targets []Target, command memberCommand) ([]MemberState, error) {
	var states []MemberState
	var lastErr error
	for _, t := range targets {
		state, err := w.callMember(t, command)
		if err != nil {
			lastErr = err
			continue
		}
		states = append(states, state)
	}
	return states, lastErr
}

// callMember sends the command to one member.
func (w *Worker) callMember(t Target, command memberCommand) (MemberState, error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.bounds.Member)
	defer cancel()
	return command(ctx, t)
}
