package fleet

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/placement"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// In a large failure domain one instance, the first feeder, watches the store and
// forwards its changes to the other feeders, and all feeders forward them to the other
// instances, their followers. Otherwise the store would have to send each change to
// each instance, and the rates that it can serve grow more slowly than the fleet. All
// instances of a domain select the same feeders from the registrations. A follower
// whose feeder does not serve asks a second one, the standby, and reads the store
// itself for a while if that does not serve either. The chart is "news"; in its terms a
// feeder other than the first relays.

// ChangeSource states where the watcher reads the store's changes.
type ChangeSource struct {
	// Feeder is the instance to follow, empty to read the store.
	Feeder session.PeerAddress
	// Standby is the instance to follow while the feeder does not serve, empty for none.
	Standby session.PeerAddress
	// Feeding is set when other instances follow this one.
	Feeding bool
}

// FeederFailed reports that neither the feeder nor its standby delivered changes in time.
type FeederFailed struct {
	Feeder session.PeerAddress
	Reason string
}

func (FeederFailed) fleetInput() {}

const (
	// maxDirectInstances is the size of a failure domain up to which every instance
	// reads the store. Feeders would save little there.
	maxDirectInstances = 8
	// followersPerFeeder is the number of followers that one feeder serves.
	followersPerFeeder = 12
	// minFeeders is the minimum number of feeders, so that followers have another
	// one when a feeder is lost.
	minFeeders = 2
	// feederRetryDelay is how long an instance reads the store after its feeder
	// failed. The registration of a feeder that crashed outlasts it.
	feederRetryDelay = 3 * time.Second
	// feederRankKey is the key by which nodes are ranked to select the feeders.
	feederRankKey = "news"
)

// sourceSelector selects where this instance reads the store's changes from. It
// runs the chart "news".
type sourceSelector struct {
	e     *Engine
	table *chart.Table[*sourceSelector]
	state chart.State
	timer timerq.Item[func()]
	// feeder and standby are the instances to follow, as determined by reselect.
	feeder, standby session.PeerAddress
	// current is the source last sent to the watcher.
	current ChangeSource

	// Compiled events of the chart.
	alone, chosen, relays, assigned, failed, timedOut chart.Event
}

// load compiles the chart and looks up its events.
func (s *sourceSelector) load(e *Engine, d *chart.Definition) error {
	table, err := chart.Compile(d, chart.Registry[*sourceSelector]{
		Actions: map[string]func(*sourceSelector){
			"serve_followers": func(s *sourceSelector) {
				s.e.feed.start()
				s.setSource(ChangeSource{Feeding: true})
			},
			"relay_changes": func(s *sourceSelector) {
				s.e.feed.start()
				s.setSource(ChangeSource{Feeder: s.feeder, Standby: s.standby, Feeding: true})
			},
			"reject_followers": func(s *sourceSelector) { s.e.feed.stop() },
			"follow_feeder": func(s *sourceSelector) {
				s.setSource(ChangeSource{Feeder: s.feeder, Standby: s.standby})
			},
			"read_store": func(s *sourceSelector) { s.setSource(ChangeSource{}) },
		},
		Timeouts: map[string]time.Duration{"steady": steadyTimeout, "feeder_retry": feederRetryDelay},
	})
	if err != nil {
		return err
	}
	s.e, s.table, s.state = e, table, table.Initial()
	s.alone, s.chosen, s.relays, s.assigned = table.Event("alone"), table.Event("chosen"), table.Event("relays"), table.Event("assigned")
	s.failed, s.timedOut = table.Event("failed"), table.Event(chart.TimeoutEvent)
	s.timer.Value = func() { s.fire(s.timedOut) }
	return nil
}

func (s *sourceSelector) fire(event chart.Event) {
	previous := s.state
	s.table.Fire(s, &s.state, event)
	if s.state != previous || event == s.timedOut {
		s.e.timers.Arm(&s.timer, s.e.now.Add(s.table.Timeout(s.state)))
	}
}

// setSource sends the watcher its source if it has changed.
func (s *sourceSelector) setSource(source ChangeSource) {
	if source == s.current {
		return
	}
	s.current = source
	s.e.out.SetChangeSource(source)
	s.e.out.Log(LogEvent{Event: "news_from", Message: "source of store changes selected", Fields: map[string]any{
		"feeder": source.Feeder, "standby": source.Standby, "feeding": source.Feeding,
	}})
}

// reselect selects the source after a change of the instances or of this instance's
// state.
func (s *sourceSelector) reselect() {
	feeders := s.e.currentTopology().feeders
	own := s.e.config.Self.Node
	rank := slices.Index(feeders, own)
	switch {
	case len(feeders) == 0 || s.e.state != s.e.servingState:
		s.fire(s.alone)
	case rank == 0:
		s.fire(s.chosen)
	case rank > 0:
		// Feeders follow only those before them, so that they do not follow each other.
		s.follow(feeders[0], feeders[:min(rank, 2)])
		s.fire(s.relays)
	default:
		s.follow(placement.Owner(own, feeders), feeders)
		s.fire(s.assigned)
	}
}

// follow sets the feeder, and the standby from the others.
func (s *sourceSelector) follow(feeder string, feeders []string) {
	s.feeder, s.standby = s.peer(feeder), ""
	others := slices.DeleteFunc(slices.Clone(feeders), func(node string) bool { return node == feeder })
	if len(others) > 0 {
		s.standby = s.peer(placement.Owner(s.e.config.Self.Node, others))
	}
}

func (s *sourceSelector) peer(node string) session.PeerAddress {
	return session.PeerAddress(s.e.instances[node].Peer)
}

// feederFailed handles the watcher's report. A report about an earlier feeder is
// ignored.
func (s *sourceSelector) feederFailed(in FeederFailed) {
	if in.Feeder != s.current.Feeder {
		return
	}
	// The feeder may have lost the store without this instance noticing, and leases
	// of running members and instances may have ended meanwhile. Restart the grace
	// period.
	s.e.storeRestoredAt = s.e.now
	s.e.out.Log(LogEvent{Warning: true, Event: "feeder_failed", Message: in.Reason, Fields: map[string]any{"feeder": in.Feeder}})
	s.fire(s.failed)
}

// feederCount returns the number of feeders in a failure domain with the given number of
// instances, 0 if every instance reads the store.
func feederCount(instances int) int {
	if instances <= maxDirectInstances {
		return 0
	}
	return max((instances+followersPerFeeder)/(followersPerFeeder+1), minFeeders)
}
