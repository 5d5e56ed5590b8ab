package e2e

import "testing"

// Guards against lost or duplicated writes, and a long gap without writes, after the
// primary was killed.
func TestFailoverKill(t *testing.T) { runScript(t, "failover_kill") }

// Guards against a primary that was suspended and replaced, and acknowledges writes
// after it resumes.
func TestFailoverFreeze(t *testing.T) { runScript(t, "failover_freeze") }

// Guards against an acknowledgement by a primary that is isolated together with one
// instance.
func TestFailoverCutBoth(t *testing.T) { runScript(t, "failover_cut_both") }

// Guards against lost writes and a long gap without writes when a partition drops
// messages in one direction only.
func TestFailoverCutOneWay(t *testing.T) { runScript(t, "failover_cut_oneway") }

// Guards against a claim that is not taken over after its holder was killed.
func TestFailoverClaimantKilled(t *testing.T) { runScript(t, "failover_claimant_killed") }

// Guards against an instance that resumes after its claim was superseded and
// completes the old claim.
func TestFailoverClaimantFrozen(t *testing.T) { runScript(t, "failover_claimant_frozen") }

// Guards against a failover that depends on the instance that was killed together
// with the primary.
func TestFailoverTwoFailures(t *testing.T) { runScript(t, "failover_two_failures") }

// Guards against a claim that is treated as refused because the platform's response
// was lost.
func TestFailoverLostAnswers(t *testing.T) { runScript(t, "failover_lost_answers") }

// Guards against a failover without the platform, and against writes that are
// reported as not run during its outage although they ran.
func TestFailoverPlatformDown(t *testing.T) { runScript(t, "failover_platform_down") }

// Guards against a promotion after a pause that is shorter than the detection bound.
func TestNoNeedlessPromotion(t *testing.T) { runScript(t, "no_needless_promotion") }
