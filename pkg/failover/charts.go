package failover

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
)

// groupEvents are the events of the chart "group".
type groupEvents struct {
	primaryFound, primaryHeard, primarySilent, checked, planned       chart.Event
	claimWon, claimAbsent, swapLost, swapUnknown, platformFailed      chart.Event
	fenced, promoted, announced, deciderChanged, termPassed, timedOut chart.Event
}

// memberEvents are the events of the chart "member".
type memberEvents struct {
	answered, fellBehind, failed, timedOut chart.Event
}

// compileGroup binds the chart "group" to its guards, actions and timeouts.
func (r *Rules) compileGroup(d *chart.Definition) error {
	c := r.config
	table, err := chart.Compile(d, chart.Registry[*Group]{
		Guards: map[string]func(*Group) bool{
			"may_claim":           (*Group).mayClaim,
			"is_planned":          (*Group).isPlanned,
			"primary_unannounced": (*Group).primaryUnannounced,
			"record_stale":        (*Group).recordIsStale,
		},
		Actions: groupActions(),
		Timeouts: map[string]time.Duration{
			"record_check":      recordCheckPeriod,
			"claim_check":       c.Heartbeat,
			"platform_response": c.PlatformTimeout,
			"backoff":           c.PlatformBackoff,
			"promotion":         c.PromoteTimeout,
			"decider":           c.DeciderTimeout,
		},
	})
	if err != nil {
		return err
	}
	r.group = table
	r.groupEvents = resolveGroupEvents(table)
	r.healthy = table.StateID("healthy")
	return nil
}

// groupActions returns the actions of the chart "group".
func groupActions() map[string]func(*Group) {
	return map[string]func(*Group){
		"reset_primary_change":       (*Group).resetPrimaryChange,
		"suspect_primary":            (*Group).suspectPrimary,
		"use_fast_heartbeat":         (*Group).useFastHeartbeat,
		"read_record":                (*Group).readRecord,
		"read_record_if_unknown":     (*Group).readRecordIfUnknown,
		"send_claim":                 (*Group).sendClaim,
		"begin_fencing":              (*Group).beginFencing,
		"promote":                    (*Group).promote,
		"give_up_chosen_member":      (*Group).giveUpChosenMember,
		"finish_promotion":           (*Group).finishPromotion,
		"announce":                   (*Group).announce,
		"report_primary_change":      (*Group).reportPrimaryChange,
		"wait_for_decider":           (*Group).waitForDecider,
		"handle_decider_stopped":     (*Group).handleDeciderStopped,
		"back_off":                   (*Group).backOff,
		"log_primary_responds_again": (*Group).logPrimaryRespondsAgain,
		"log_claim_lost":             (*Group).logClaimLost,
		"log_claim_answer_lost":      (*Group).logClaimAnswerLost,
		"log_platform_unavailable":   (*Group).logPlatformUnavailable,
	}
}

func resolveGroupEvents(t *chart.Table[*Group]) groupEvents {
	return groupEvents{
		primaryFound:   t.Event("primary_found"),
		primaryHeard:   t.Event("primary_heard"),
		primarySilent:  t.Event("primary_silent"),
		checked:        t.Event("checked"),
		planned:        t.Event("planned"),
		claimWon:       t.Event("claim_won"),
		claimAbsent:    t.Event("claim_absent"),
		swapLost:       t.Event("swap_lost"),
		swapUnknown:    t.Event("swap_unknown"),
		platformFailed: t.Event("platform_failed"),
		fenced:         t.Event("fenced"),
		promoted:       t.Event("promoted"),
		announced:      t.Event("announced"),
		deciderChanged: t.Event("decider_changed"),
		termPassed:     t.Event("term_passed"),
		timedOut:       t.Event(chart.TimeoutEvent),
	}
}

// compileMember binds the chart "member" to its actions and timeout.
func (r *Rules) compileMember(d *chart.Definition) error {
	table, err := chart.Compile(d, chart.Registry[*member]{
		Guards: map[string]func(*member) bool{},
		Actions: map[string]func(*member){
			"publish_state":   (*member).publishState,
			"restart_timeout": (*member).restartTimeout,
		},
		Timeouts: map[string]time.Duration{"status": r.config.DetectionBound},
	})
	if err != nil {
		return err
	}
	r.member = table
	r.reachable = table.StateID("reachable")
	r.memberEvents = memberEvents{
		answered:   table.Event("answered"),
		fellBehind: table.Event("fell_behind"),
		failed:     table.Event("failed"),
		timedOut:   table.Event(chart.TimeoutEvent),
	}
	return nil
}
