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

func (r *Rules) compileGroup(d *chart.Definition) error {
	c := r.config
	table, err := chart.Compile(d, chart.Registry[*Group]{
		Guards: map[string]func(*Group) bool{
			"may_claim":     (*Group).mayClaim,
			"is_planned":    (*Group).isPlanned,
			"unannounced":   (*Group).unannounced,
			"record_behind": (*Group).recordBehind,
		},
		Actions: groupActions(),
		Timeouts: map[string]time.Duration{
			"watch":    watchPeriod,
			"suspect":  c.Heartbeat,
			"platform": c.PlatformTimeout,
			"backoff":  c.PlatformBackoff,
			"promote":  c.PromoteBound,
			"patience": c.DeciderPatience,
		},
	})
	if err != nil {
		return err
	}
	r.group = table
	r.events = resolveGroupEvents(table)
	r.healthy = table.StateID("healthy")
	return nil
}

func groupActions() map[string]func(*Group) {
	return map[string]func(*Group){
		"settle_healthy":      (*Group).settleHealthy,
		"suspect":             (*Group).suspect,
		"hurry":               (*Group).hurry,
		"read_record":         (*Group).readRecord,
		"read_unknown_record": (*Group).readUnknownRecord,
		"claim":               (*Group).sendClaim,
		"begin_fencing":       (*Group).beginFencing,
		"promote":             (*Group).promote,
		"give_up_member":      (*Group).giveUpMember,
		"finish_promotion":    (*Group).finishPromotion,
		"announce":            (*Group).announce,
		"report":              (*Group).report,
		"wait_for_decider":    (*Group).waitForDecider,
		"decider_stopped":     (*Group).deciderStopped,
		"back_off":            (*Group).backOff,
		"note_heard":          (*Group).noteHeard,
		"note_lost":           (*Group).noteLost,
		"note_unknown":        (*Group).noteUnknown,
		"note_no_platform":    (*Group).noteNoPlatform,
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

func (r *Rules) compileMember(d *chart.Definition) error {
	table, err := chart.Compile(d, chart.Registry[*member]{
		Guards: map[string]func(*member) bool{},
		Actions: map[string]func(*member){
			"changed": (*member).changed,
			"rearm":   (*member).rearm,
		},
		Timeouts: map[string]time.Duration{"silence": r.config.SilenceBound},
	})
	if err != nil {
		return err
	}
	r.member = table
	r.reachable = table.StateID("reachable")
	r.reports = memberEvents{
		answered:   table.Event("answered"),
		fellBehind: table.Event("fell_behind"),
		failed:     table.Event("failed"),
		timedOut:   table.Event(chart.TimeoutEvent),
	}
	return nil
}
