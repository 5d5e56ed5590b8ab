package failover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

const writePeriod = 10 * time.Millisecond

// startedSim returns a simulation with a healthy primary and continuous writes.
func startedSim(t testing.TB, seed uint64, instances int) *sim {
	s := newSim(seed, instances)
	s.run(time.Second)
	for _, in := range s.instances {
		require.Equal(t, "healthy", in.group.State())
		in.writeEvery(writePeriod)
	}
	s.run(time.Second)
	require.NotEmpty(t, s.acked)
	return s
}

// allServe reports whether the primary has at least the given term and every live
// instance uses it.
func (s *sim) allServe(atLeast core.Term) bool {
	primary := s.currentPrimary()
	if primary == nil || primary.term < atLeast {
		return false
	}
	for _, in := range s.instances {
		if !in.stopped && (in.view.Primary != primary.id || in.group.State() != "healthy") {
			return false
		}
	}
	return true
}

// requireSafe fails the test if an invariant was violated or the current primary
// lacks an acknowledged write.
func (s *sim) requireSafe(t require.TestingT) {
	require.Empty(t, s.violations)
	if primary := s.currentPrimary(); primary != nil && primary.term == s.majorityTerm() {
		require.Zero(t, s.missing(primary, s.acked))
	}
}

// Guards against a group that stays without a primary after a crash, and against
// acknowledged writes that the new primary lacks.
func TestCrashOfThePrimary(t *testing.T) {
	s := startedSim(t, 1, 5)
	acked := len(s.acked)
	s.members[0].alive = false
	require.True(t, s.runUntil(2*time.Second, func() bool { return s.allServe(2) }))
	s.run(time.Second)
	require.Greater(t, len(s.acked), acked+100)
	require.Len(t, s.reports, 1)
	require.Less(t, s.reports[0].Gap(), time.Second)
	require.Equal(t, PhaseServing, s.record.Phase)
	s.members[0].alive = true
	s.run(time.Second)
	require.Equal(t, core.RoleReplica, s.members[0].role)
	require.Equal(t, s.currentPrimary().log, s.members[0].log)
	s.requireSafe(t)
}

// Guards against an unnecessary promotion when the primary is paused for less than
// the detection bound, when the instances are paused, and when only the network
// path of one instance fails.
func TestNoNeedlessPromotion(t *testing.T) {
	s := startedSim(t, 2, 3)
	for range 10 {
		s.members[0].paused = s.now.Add(590 * time.Millisecond)
		s.run(1100 * time.Millisecond)
	}
	require.Zero(t, s.suspicions)
	for _, in := range s.instances {
		in.paused = s.now.Add(5 * time.Second)
	}
	s.run(7 * time.Second)
	s.setCut("i1", "m0", true)
	s.run(5 * time.Second)
	require.Len(t, s.promoted, 1)
	require.Zero(t, s.revision)
	s.requireSafe(t)
}

// Guards against waiting for the whole DetectionBound although the host refuses
// connections, which proves that the primary has stopped.
func TestRefusedConnectionsShortenDetection(t *testing.T) {
	s := startedSim(t, 20, 3)
	s.members[0].alive = false
	require.True(t, s.runUntil(DefaultConfig().DetectionBound, func() bool { return s.currentPrimary() != nil && s.currentPrimary().term == 2 }))
	s.run(time.Second)
	s.requireSafe(t)
}

// Guards against a promotion because the connections of one instance are refused
// while the replicas still receive the primary's log.
func TestRefusedConnectionsAloneDoNotPromote(t *testing.T) {
	s := startedSim(t, 21, 3)
	s.refuses = map[string]bool{"i0m0": true}
	s.run(10 * time.Second)
	require.Len(t, s.promoted, 1)
	require.Zero(t, s.revision)
	s.requireSafe(t)
}

// Guards against an acknowledgement of writes on a primary that is isolated together
// with one instance: the primary of the next term lacks them.
func TestPrimaryCutOffWithAnInstance(t *testing.T) {
	s := startedSim(t, 3, 3)
	for _, other := range []string{"m1", "m2", "i1", "i2"} {
		s.setCut("m0", other, true)
	}
	s.setCut("i0", "m1", true)
	s.setCut("i0", "m2", true)
	require.True(t, s.runUntil(3*time.Second, func() bool { return s.currentPrimary().term == 2 }))
	s.run(time.Second)
	require.Greater(t, len(s.members[0].log), 200)
	clear(s.cuts)
	require.True(t, s.runUntil(3*time.Second, func() bool { return s.allServe(2) }))
	s.run(time.Second)
	require.Equal(t, core.RoleReplica, s.members[0].role)
	s.requireSafe(t)
}

// Guards against a lost write when an instance is paused between the check of a
// confirmation and the response to the caller, while another instance changes the
// primary.
func TestInstancePausedBetweenCheckAndAnswer(t *testing.T) {
	s := startedSim(t, 4, 2)
	s.instances[0].paused = s.now.Add(4 * time.Second)
	s.members[0].alive = false
	require.True(t, s.runUntil(3*time.Second, func() bool { return s.currentPrimary() != nil }))
	s.run(5 * time.Second)
	require.True(t, s.allServe(2))
	s.requireSafe(t)
}

// Guards against a claim or an announcement that hangs, or is sent again as a
// different one, when the response to its compare-and-swap is lost.
func TestLostSwapAnswers(t *testing.T) {
	s := startedSim(t, 5, 1)
	s.loseResponses = 2
	s.members[0].alive = false
	require.True(t, s.runUntil(3*time.Second, func() bool { return s.allServe(2) }))
	require.True(t, s.runUntil(3*time.Second, func() bool { return s.record.Phase == PhaseServing }))
	require.Equal(t, core.Term(2), s.record.Term)
	s.requireSafe(t)
}

// Guards against a promotion without the platform, a won claim that is abandoned
// during an outage, and a group that does not recover after it.
func TestPlatformOutageAtEachStep(t *testing.T) {
	for step, phase := range []Phase{"", PhaseFencing, PhaseServing} {
		s := startedSim(t, uint64(10+step), 3)
		s.platformDown = phase == ""
		swaps := 0
		s.onSwap = func(c RecordSwap) {
			swaps++
			s.platformDown = s.platformDown || c.Record.Phase == phase && step == 2
		}
		if step == 1 {
			s.onSwap = func(RecordSwap) { s.after(3*time.Millisecond, func() { s.platformDown = true }) }
		}
		s.members[0].alive = false
		s.run(4 * time.Second)
		require.Less(t, swaps, 40)
		decided := s.revision > 0
		require.Equal(t, decided, s.currentPrimary() != nil)
		require.Equal(t, step > 0, decided)
		s.onSwap = nil
		s.platformDown = false
		require.True(t, s.runUntil(5*time.Second, func() bool { return s.allServe(2) && s.record.Phase == PhaseServing }))
		s.requireSafe(t)
	}
}

// Guards against two deciders that promote in one term, and against too many claims
// when many instances detect a lost primary at the same time.
func TestRacingInstances(t *testing.T) {
	terms, claims := core.Term(0), 0
	for seed := range uint64(20) {
		s := startedSim(t, 100+seed, 7)
		s.onSwap = func(c RecordSwap) {
			if c.Record.Phase == PhaseFencing {
				claims++
			}
		}
		s.members[0].alive = false
		for _, in := range s.instances {
			in.runInput(func() { in.group.SuspectMember(s.now, session.MemberSuspected{Member: "m0"}) })
		}
		require.True(t, s.runUntil(4*time.Second, func() bool { return s.allServe(2) }))
		terms += s.currentPrimary().term - 1
		s.requireSafe(t)
	}
	require.Less(t, terms, core.Term(24))
	require.Less(t, claims, 50)
}

// Guards against a group that waits forever for a decider that has stopped, also
// when the old primary still responds because it was never fenced.
func TestDeciderDies(t *testing.T) {
	for _, planned := range []bool{false, true} {
		s := startedSim(t, 6, 3)
		s.onSwap = func(c RecordSwap) {
			for _, in := range s.instances {
				if in.id == c.Record.Decider && c.Record.Term == 2 {
					s.after(time.Millisecond/10, func() { in.stopped = true })
				}
			}
		}
		if planned {
			require.NoError(t, s.instances[0].group.Switchover(s.now, "m2"))
		}
		s.members[0].alive = planned
		require.True(t, s.runUntil(6*time.Second, func() bool { return s.allServe(3) }), s.describe())
		s.requireSafe(t)
	}
}

// Guards against a planned change that loses writes or does not promote the
// requested member.
func TestSwitchover(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(200+seed, 2)
		s.run(time.Second)
		require.Error(t, s.instances[0].group.Switchover(s.now, "m0"))
		require.NoError(t, s.instances[0].group.Switchover(s.now, "m2"))
		require.True(t, s.runUntil(time.Second, func() bool { return s.allServe(2) }))
		require.Equal(t, core.MemberID("m2"), s.currentPrimary().id)
		s.run(time.Second)
		require.Equal(t, ReasonPlanned, s.reports[0].Reason)
		require.Equal(t, core.RoleReplica, s.members[0].role)
	}
	s := startedSim(t, 7, 2)
	require.NoError(t, s.instances[0].group.Switchover(s.now, "m1"))
	require.True(t, s.runUntil(time.Second, func() bool { return s.allServe(2) }))
	s.run(time.Second)
	s.requireSafe(t)
}

// Guards against a floor that does not cover a write acknowledged before its round
// began, also while the primary changes.
func TestFloorCoversAcknowledgedWrites(t *testing.T) {
	s := startedSim(t, 8, 3)
	reader := s.instances[2]
	s.setCut("m0", "m2", true)
	for round := uint64(1); round < 60; round++ {
		if round == 20 {
			s.members[0].alive = false
		}
		last := s.acked[len(s.acked)-1].position
		reader.runInput(func() { reader.group.RequestFloor(s.now, session.FloorRequest{Round: round}) })
		require.True(t, s.runUntil(time.Second, func() bool { return reader.floor.Round >= round }))
		require.False(t, last.After(reader.floor.Position))
		s.run(40 * time.Millisecond)
	}
}

// Guards against an age bound that is lower than the actual staleness.
func TestAgeBoundOfALaggingReplica(t *testing.T) {
	s := startedSim(t, 9, 1)
	s.setCut("m0", "m2", true)
	lost := s.now
	s.run(450 * time.Millisecond)
	in := s.instances[0]
	age := in.view.Members[2].AgeBound + s.now.Sub(in.view.Members[2].RespondedAt)
	require.GreaterOrEqual(t, age, s.now.Sub(lost))
	require.Less(t, in.view.Members[1].AgeBound, 450*time.Millisecond)
	// The age bound also grows for a primary that may have been replaced.
	s.setCut("i0", "m1", true)
	s.setCut("i0", "m2", true)
	lost = s.now
	s.run(800 * time.Millisecond)
	age = in.view.Members[0].AgeBound + s.now.Sub(in.view.Members[0].RespondedAt)
	require.GreaterOrEqual(t, age, s.now.Sub(lost))
}

// Guards against one wait call for each pending write.
func TestOneWaitCoversPendingWrites(t *testing.T) {
	s := startedSim(t, 11, 1)
	in := s.instances[0]
	before, acked := in.calls[MethodWait], len(s.acked)
	for range 500 {
		in.write()
	}
	s.run(100 * time.Millisecond)
	require.GreaterOrEqual(t, len(s.acked)-acked, 500)
	require.Less(t, in.calls[MethodWait]-before, 60)
}
