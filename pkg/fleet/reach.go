package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// InstanceHeard reports that another instance has answered a probe.
type InstanceHeard struct {
	Node string
}

func (InstanceHeard) fleetInput() {}

const (
	// reachAsked bounds the instances that are probed in one round.
	reachAsked = 6
	// reachPause is the time between two rounds.
	reachPause = 250 * time.Millisecond
	// reachRounds is how many rounds in a row must stay without an answer; one
	// may fall into a pause of this process.
	reachRounds = 2
)

// reach finds out whether this instance is cut off: neither the store nor an
// instance of another failure domain answers. Its callers are served better
// elsewhere then, and the balancer sends them to other domains once no instance
// of this one is ready.
//
// Rounds of probes run while the store cannot be read, homes are silent, or the
// instance is cut off.
type reach struct {
	e     *Engine
	timer timerq.Item[func()]
	// probing is set while rounds run, waiting while answers of one are awaited.
	probing, waiting bool
	// homesSilent is the latest news of the session.
	homesSilent bool
	// offset rotates the instances that are probed.
	offset int
	// answered counts the answers since the last round ended, misses the rounds in a row
	// without any.
	answered int
	misses   int
}

func (r *reach) init(e *Engine) {
	r.e = e
	r.timer.Value = r.next
}

// doubt begins rounds unless they run.
func (r *reach) doubt() {
	if !r.probing {
		r.probing = true
		r.ask()
	}
}

// homesSeen takes the session's news of silent homes.
func (r *reach) homesSeen(d session.Demand) {
	r.homesSilent = d.HomesSilent > 0
	if r.homesSilent {
		r.doubt()
	}
}

// next concludes a round or begins another.
func (r *reach) next() {
	if r.waiting {
		r.conclude()
		return
	}
	r.ask()
}

func (r *reach) ask() {
	others := r.otherDomains()
	if len(others) == 0 {
		r.probing = false
		r.restored()
		return
	}
	r.waiting = true
	for i := range min(len(others), reachAsked) {
		other := others[(r.offset+i)%len(others)]
		r.e.out.ProbeInstance(other.Node, session.PeerAddress(other.Peer))
	}
	r.offset += reachAsked
	r.e.timers.Arm(&r.timer, r.e.now.Add(opinionWait))
}

// otherDomains returns the instances of other failure domains in order.
func (r *reach) otherDomains() []Instance {
	var list []Instance
	for _, node := range r.e.liveNodes() {
		if i := r.e.instances[node]; i.Domain != r.e.config.Self.Domain {
			list = append(list, i.Instance)
		}
	}
	return list
}

func (r *reach) conclude() {
	e := r.e
	r.waiting = false
	if r.answered > 0 {
		r.answered = 0
		r.restored()
		r.probing = e.storeLost || r.homesSilent
	} else {
		r.misses++
		r.missed()
	}
	if r.probing {
		e.timers.Arm(&r.timer, e.now.Add(reachPause))
	}
}

// restored notes that the store or another failure domain answers.
func (r *reach) restored() {
	r.misses = 0
	r.e.fire(r.e.on.reconnected)
}

// missed decides after a round without an answer.
func (r *reach) missed() {
	e := r.e
	if !e.storeLost {
		// The other instances may be dead; the store tells.
		if r.misses == 1 {
			e.out.CheckStore()
		}
		return
	}
	if r.misses < reachRounds || e.state != e.servingState {
		return
	}
	e.out.Log(LogEvent{Warning: true, Event: "cut_off",
		Message: "neither the store nor an instance of another failure domain answers", Fields: map[string]any{"rounds": r.misses}})
	e.fire(e.on.cutOff)
}
