package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// InstanceHeard reports that another instance has answered a probe.
type InstanceHeard struct{}

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
	// checked is set once the store was read because of this doubt.
	checked bool
	// homesSilent is the latest news of the session.
	homesSilent bool
	// offset rotates the instances that are probed.
	offset int
	// answered counts the answers since the last round ended, misses the rounds in
	// a row without any.
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
		r.probing, r.checked = true, false
		r.ask()
	}
}

func (r *reach) homeSilent() {
	r.homesSilent = true
	r.doubt()
}

// homesSeen takes the session's regular report.
func (r *reach) homesSeen(d session.Demand) {
	r.homesSilent = len(d.SilentHomes) > 0
	if r.homesSilent {
		r.doubt()
	}
}

// storeLost decides at once if the rounds before have gone without an answer.
func (r *reach) storeLost() {
	r.doubt()
	r.cutOff()
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
		r.e.out.ProbeInstance(session.PeerAddress(other.Peer))
	}
	r.offset += reachAsked
	r.e.timers.Arm(&r.timer, r.e.now.Add(opinionWait))
}

// otherDomains returns the instances of other failure domains in order.
func (r *reach) otherDomains() []Instance {
	var list []Instance
	for _, node := range r.e.names().nodes {
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
		r.checkStore()
		r.cutOff()
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

// checkStore lets the store tell whether the other instances are dead or this
// one is cut off.
func (r *reach) checkStore() {
	if !r.e.storeLost && !r.checked {
		r.checked = true
		r.e.out.CheckStore()
	}
}

// cutOff decides once the store and enough rounds have gone without an answer.
func (r *reach) cutOff() {
	e := r.e
	if !e.storeLost || r.misses < reachRounds || e.state != e.servingState {
		return
	}
	e.out.Log(LogEvent{Warning: true, Event: "cut_off",
		Message: "neither the store nor an instance of another failure domain answers", Fields: map[string]any{"rounds": r.misses}})
	e.fire(e.on.cutOff)
}
