package e2e

import "testing"

// Guards against lost or repeated writes and a long gap after a primary's death.
func TestFailoverKill(t *testing.T) { runScript(t, "failover_kill") }

// Guards against a primary that acknowledges after it was replaced while paused.
func TestFailoverFreeze(t *testing.T) { runScript(t, "failover_freeze") }

// Guards against an acknowledgement by a primary that is cut off with one instance.
func TestFailoverCutBoth(t *testing.T) { runScript(t, "failover_cut_both") }

// Guards against a primary that receives and cannot answer, or the reverse.
func TestFailoverCutOneWay(t *testing.T) { runScript(t, "failover_cut_oneway") }

// Guards against a claim that nobody completes after its holder has died.
func TestFailoverClaimantKilled(t *testing.T) { runScript(t, "failover_claimant_killed") }

// Guards against a holder that completes its old claim after a pause.
func TestFailoverClaimantFrozen(t *testing.T) { runScript(t, "failover_claimant_frozen") }

// Guards against a failover that needs the instance that dies with the primary.
func TestFailoverTwoFailures(t *testing.T) { runScript(t, "failover_two_failures") }

// Guards against a claim that is held for refused because its answer was lost.
func TestFailoverLostAnswers(t *testing.T) { runScript(t, "failover_lost_answers") }

// Guards against a change of primary, or an untrue refusal, without the platform.
func TestFailoverPlatformDown(t *testing.T) { runScript(t, "failover_platform_down") }

// Guards against a needless promotion for a pause below the detection bound.
func TestNoNeedlessPromotion(t *testing.T) { runScript(t, "no_needless_promotion") }
