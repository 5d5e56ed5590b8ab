package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// ProbeResponse reports that another instance responded to a probe that was sent at
// SentAt.
type ProbeResponse struct {
	SentAt time.Time
}

func (ProbeResponse) fleetInput() {}

const (
	// probesPerRound limits the number of instances probed in one round.
	probesPerRound = 6
	// probeRoundInterval is the time between the end of a round and the next one.
	probeRoundInterval = 250 * time.Millisecond
	// requiredMissedRounds is how many consecutive rounds must get no response. A
	// single round may coincide with a pause of this process.
	requiredMissedRounds = 2
)

// isolationDetector determines whether this instance is isolated: neither the store
// nor any instance of another failure domain responds. Its callers are then better
// served elsewhere, and the balancer sends them to other domains once no instance
// of this domain is ready.
//
// Probe rounds run while the store cannot be read, a home is unresponsive, or the
// instance is isolated.
type isolationDetector struct {
	e     *Engine
	timer timerq.Item[func()]
	// probing is set while rounds run, awaitingResponses during a round.
	probing, awaitingResponses bool
	// storeChecked is set once a read of the store was requested because of a missed
	// round.
	storeChecked bool
	// homesUnresponsive is set if the session duty's latest report names an
	// unresponsive home.
	homesUnresponsive bool
	// nextProbe rotates the instances that are probed.
	nextProbe int
	// responses counts the responses since the end of the last round, missedRounds
	// the consecutive rounds without a response.
	responses    int
	missedRounds int
}

func (d *isolationDetector) init(e *Engine) {
	d.e = e
	d.timer.Value = d.timerFired
}

// startProbing begins probe rounds unless they are running.
func (d *isolationDetector) startProbing() {
	if !d.probing {
		d.probing, d.storeChecked = true, false
		d.probe()
	}
}

func (d *isolationDetector) homeUnresponsive() {
	d.homesUnresponsive = true
	d.startProbing()
}

// handleDemand processes the session duty's regular report.
func (d *isolationDetector) handleDemand(demand session.Demand) {
	d.homesUnresponsive = len(demand.UnresponsiveHomes) > 0
	if d.homesUnresponsive {
		d.startProbing()
	}
}

// storeLost starts probing. The instance is isolated at once if the preceding
// rounds got no response.
func (d *isolationDetector) storeLost() {
	d.startProbing()
	d.checkIsolation()
}

// timerFired ends the current round or begins the next.
func (d *isolationDetector) timerFired() {
	if d.awaitingResponses {
		d.endRound()
		return
	}
	d.probe()
}

// probe begins a round. Without instances in other failure domains probing stops,
// and the instance does not count as isolated.
func (d *isolationDetector) probe() {
	others := d.e.instancesOfOtherDomains()
	if len(others) == 0 {
		d.probing = false
		d.confirmReachable()
		return
	}
	d.awaitingResponses = true
	for i := range min(len(others), probesPerRound) {
		other := others[(d.nextProbe+i)%len(others)]
		d.e.out.ProbeInstance(session.PeerAddress(other.Peer))
	}
	d.nextProbe += probesPerRound
	d.e.timers.Arm(&d.timer, d.e.now.Add(pollTimeout))
}

// endRound evaluates the responses of a round.
func (d *isolationDetector) endRound() {
	e := d.e
	d.awaitingResponses = false
	if d.responses > 0 {
		d.responses = 0
		d.confirmReachable()
		d.probing = e.storeLost || d.homesUnresponsive
	} else {
		d.missedRounds++
		d.recheckStore()
		d.checkIsolation()
	}
	if d.probing {
		e.timers.Arm(&d.timer, e.now.Add(probeRoundInterval))
	}
}

// confirmReachable records that the store or another failure domain responds.
func (d *isolationDetector) confirmReachable() {
	d.missedRounds = 0
	d.e.fireLifecycle(d.e.events.reconnected)
}

// recheckStore requests an immediate read of the store, once per series of rounds.
// It shows whether the other instances are dead or this one is isolated.
func (d *isolationDetector) recheckStore() {
	if !d.e.storeLost && !d.storeChecked {
		d.storeChecked = true
		d.e.out.CheckStore()
	}
}

// checkIsolation declares the instance isolated if the store is lost and enough
// rounds got no response.
func (d *isolationDetector) checkIsolation() {
	e := d.e
	if !e.storeLost || d.missedRounds < requiredMissedRounds || e.state != e.servingState {
		return
	}
	e.out.Log(LogEvent{Warning: true, Event: "cut_off",
		Message: "neither the store nor an instance of another failure domain responds", Fields: map[string]any{"rounds": d.missedRounds}})
	e.fireLifecycle(e.events.cutOff)
}
