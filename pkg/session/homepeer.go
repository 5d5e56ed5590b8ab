package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

const (
	// peerProbeInterval is the longest time without a message in either
	// direction while a home has requests to respond to or its accounts are in use.
	// A request and its response count as messages, so a busy home is seldom
	// probed. The round trip between failure domains is about 2 ms.
	peerProbeInterval = 200 * time.Millisecond
	// peerTimeout is the time without a message after which a probed home is
	// unresponsive.
	peerTimeout = 480 * time.Millisecond
	// peerUseWindow is the time after its last use during which a home is probed.
	peerUseWindow = 3 * time.Second
	// relayMargin is added to the deadline of a relayed request, so that the
	// home gives up before this instance does. The home counts the same time limit from
	// the arrival of the request, and may answer at its end: the margin covers a round trip
	// between failure domains (7 ms) and the time for which two small instances under load
	// handle the messages. It is less than the 100 ms that a planned stop leaves between the
	// last deadline and the end of all statements.
	relayMargin = 80 * time.Millisecond
	// lateCheck is how late a check of a home may be before it counts as a pause of this
	// process. The messages of the pause have not been read then.
	lateCheck = 100 * time.Millisecond
)

// homePeer is the state of an instance that is the home of accounts.
type homePeer struct {
	e       *Engine
	address PeerAddress
	// relayed holds the unanswered requests, by caller.
	relayed map[CallerID]*statement
	// lastContact is the time of the last message received, lastUsed of the last
	// use, lastSent of the last request or probe and lastProbed of the last
	// probe. Probing starts with lastContact set to the current time.
	lastContact time.Time
	lastUsed    time.Time
	lastSent    time.Time
	lastProbed  time.Time
	// lost is set when the home is unresponsive or its host refuses a
	// connection, until the next message from it.
	lost bool
	// refusedConnection is set when the home's host refused a connection.
	refusedConnection bool
	// probing is set while the probe timer runs.
	probing bool
	// checkAt is the time for which the timer is armed.
	checkAt   time.Time
	timerItem timerq.Item[timed]
}

// peer returns the state of the home at the address; it creates it on first
// use.
func (e *Engine) peer(address PeerAddress) *homePeer {
	p := e.peers[address]
	if p == nil {
		p = &homePeer{e: e, address: address, relayed: map[CallerID]*statement{}}
		p.timerItem.Value = p
		e.peers[address] = p
	}
	return p
}

// recordUse records that a caller needs the home, which is then probed for
// peerUseWindow.
func (p *homePeer) recordUse() {
	p.lastUsed = p.e.now
	if p.probing {
		return
	}
	p.probing = true
	p.lastContact = p.e.now
	p.probe()
}

// probe sends a probe to the home.
func (p *homePeer) probe() {
	p.e.outbox.out.Peer(PeerProbe{Address: p.address})
	p.lastSent, p.lastProbed = p.e.now, p.e.now
	p.arm()
}

// arm sets the timer for the time at which the next probe is due if no messages
// are exchanged until then.
func (p *homePeer) arm() {
	p.checkAt = p.lastExchange().Add(peerProbeInterval)
	p.e.timers.Arm(&p.timerItem, p.checkAt)
}

// lastExchange returns the time up to which messages went in both directions,
// but not before the last probe, whose reply may be under way.
func (p *homePeer) lastExchange() time.Time {
	return clock.Later(clock.Earlier(p.lastContact, p.lastSent), p.lastProbed)
}

// timeOut implements timed. It probes a home without recent messages and marks
// an unresponsive one as lost, unless this process was paused: then the home has until the
// next check to respond.
func (p *homePeer) timeOut() {
	if len(p.relayed) == 0 && p.e.now.Sub(p.lastUsed) > peerUseWindow {
		p.probing = false
		return
	}
	paused := p.e.now.Sub(p.checkAt) > lateCheck
	if p.e.now.Sub(p.lastContact) > peerTimeout && !paused {
		p.markLost()
		p.endRelayed()
	}
	if p.e.now.Before(p.lastExchange().Add(peerProbeInterval)) {
		p.arm()
		return
	}
	p.probe()
}

// markLost marks the home as lost, so that no further request is relayed to it.
func (p *homePeer) markLost() {
	if p.lost {
		return
	}
	p.lost = true
	p.e.metrics.HomesLost++
	p.e.outbox.out.Control(HomeUnresponsive{Address: p.address})
	p.e.updateLostHomes()
}

// endRelayed ends the requests relayed to a home that does not respond; they may
// have run there.
func (p *homePeer) endRelayed() {
	e := p.e
	for id, s := range p.relayed {
		delete(p.relayed, id)
		e.outbox.out.Peer(RelayEnd{Address: p.address, Caller: id, Sequence: s.sequence})
		s.unsent = false
		s.fire(e.charts.onStatement.relayLost)
	}
}

// recordResponse records the response to a request. The response to a request that
// the home accepted before it refused a connection does not show that it accepts
// another one.
func (p *homePeer) recordResponse() {
	if p.refusedConnection {
		p.lastContact = p.e.now
		return
	}
	p.recordContact()
}

// recordContact records a message from the home.
func (p *homePeer) recordContact() {
	p.lastContact = p.e.now
	p.refusedConnection = false
	if p.lost {
		p.lost = false
		p.e.updateLostHomes()
	}
}

// updateLostHomes lets accounts without a home, or with a lost one, be served
// locally, and ends that for accounts whose home responds again.
func (e *Engine) updateLostHomes() {
	for name, a := range e.accounts {
		home, known := e.homes[name]
		p := e.peers[home.Address]
		if !known || !home.Local && p != nil && p.lost {
			a.loseHome()
			continue
		}
		a.regainHome()
	}
}

// homesUpdate replaces the homes. Relayed requests under way stay with their
// home.
func (e *Engine) homesUpdate(in HomesUpdate) {
	for name, a := range e.accounts {
		home, known := e.homes[name]
		if next, stays := in.Homes[name]; known && stays && next != home && !a.homeLost {
			a.handover.Begin(e.now, e.rateWindow)
		}
	}
	e.homes, e.anonymousHomes = in.Homes, in.Anonymous
	e.updateHomeAddresses()
	e.updateLostHomes()
	e.retryPendingAdmissions()
}

// peerProbeReply records a message from the instance at the address.
func (e *Engine) peerProbeReply(address PeerAddress) {
	if p := e.peers[address]; p != nil {
		p.recordContact()
	}
}
