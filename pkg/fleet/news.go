package fleet

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/homing"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// In a large failure domain a few instances, the feeders, watch the store and
// pass its changes on to the others: each change would otherwise be sent to each
// instance by the store, whose rates grow more slowly than the fleet. All
// instances of the domain choose the same feeders from the registrations. One
// whose feeder is silent or has lost the store reads the store itself for a
// while. The chart is "news".

// NewsFrom tells the watcher where to have the news from.
type NewsFrom struct {
	// Feeder is the instance to follow, empty for the store.
	Feeder session.PeerAddress
	// Feeding is set when others follow this instance.
	Feeding bool
}

// FeedFailed reports a feeder that gave no news in time.
type FeedFailed struct {
	Feeder session.PeerAddress
	Reason string
}

func (FeedFailed) fleetInput() {}

const (
	// fewInstances is the size of a failure domain up to which every instance
	// reads the store: a feeder would spare little.
	fewInstances = 8
	// followersEach is how many instances one feeder serves.
	followersEach = 12
	// leastFeeders lets the followers of a lost one go on with another.
	leastFeeders = 2
	// newsDetour is how long an instance reads the store after its feeder failed;
	// a registration that has ended without notice lasts longer.
	newsDetour = 3 * time.Second
	// newsName is what the feeders are ranked by.
	newsName = "news"
)

// news is the life cycle of the source of news.
type news struct {
	e      *Engine
	table  *chart.Table[*news]
	state  chart.State
	timer  timerq.Item[func()]
	feeder session.PeerAddress
	// assigned is what the watcher was told last.
	assigned NewsFrom

	alone, chosen, follow, failed, timedOut chart.Event
}

func (n *news) load(e *Engine, d *chart.Definition) error {
	table, err := chart.Compile(d, chart.Registry[*news]{
		Actions: map[string]func(*news){
			"feed_others": func(n *news) {
				n.e.feed.serving = true
				n.tell(NewsFrom{Feeding: true})
			},
			"refuse_followers": func(n *news) { n.e.feed.stop() },
			"follow_feeder":    func(n *news) { n.tell(NewsFrom{Feeder: n.feeder}) },
			"read_store":       func(n *news) { n.tell(NewsFrom{}) },
		},
		Timeouts: map[string]time.Duration{"steady": idleLife, "detour": newsDetour},
	})
	if err != nil {
		return err
	}
	n.e, n.table, n.state = e, table, table.Initial()
	n.alone, n.chosen, n.follow = table.Event("alone"), table.Event("chosen"), table.Event("assigned")
	n.failed, n.timedOut = table.Event("failed"), table.Event(chart.TimeoutEvent)
	n.timer.Value = func() { n.fire(n.timedOut) }
	return nil
}

func (n *news) fire(event chart.Event) {
	before := n.state
	n.table.Fire(n, &n.state, event)
	if n.state != before || event == n.timedOut {
		n.e.timers.Arm(&n.timer, n.e.now.Add(n.table.Timeout(n.state)))
	}
}

func (n *news) tell(from NewsFrom) {
	if from == n.assigned {
		return
	}
	n.assigned = from
	n.e.out.News(from)
	n.e.out.Log(LogEvent{Event: "news_from", Message: "source of news chosen", Fields: map[string]any{
		"feeder": from.Feeder, "feeding": from.Feeding,
	}})
}

// review chooses the source again after a change of the instances.
func (n *news) review() {
	feeders := n.e.names().feeders
	own := n.e.config.Self.Node
	switch {
	case len(feeders) == 0 || n.e.state != n.e.servingState:
		n.fire(n.alone)
	case slices.Contains(feeders, own):
		n.fire(n.chosen)
	default:
		n.feeder = session.PeerAddress(n.e.instances[homing.First(own, feeders)].Peer)
		n.fire(n.follow)
	}
}

// failedFeeder takes the watcher's report.
func (n *news) failedFeeder(in FeedFailed) {
	if in.Feeder != n.assigned.Feeder {
		return
	}
	// The feeder may have lost the store without this instance noticing, and
	// entries may have lapsed meanwhile.
	n.e.storeBack = n.e.now
	n.e.out.Log(LogEvent{Warning: true, Event: "feeder_failed", Message: in.Reason, Fields: map[string]any{"feeder": in.Feeder}})
	n.fire(n.failed)
}

// chooseFeeders returns which of the failure domain's nodes feed the others, none
// where each reads the store.
func chooseFeeders(nodes []string) []string {
	if len(nodes) <= fewInstances {
		return nil
	}
	count := max((len(nodes)+followersEach)/(followersEach+1), leastFeeders)
	return homing.Order(newsName, nodes)[:count]
}
