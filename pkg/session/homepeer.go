package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

const (
	// peerProbeEvery is the longest time between two signs of life in either
	// direction while a home owes answers or its accounts are in use. A request
	// and its answer are such signs, so a busy home is seldom probed. The round
	// trip between failure domains is about 2 ms.
	peerProbeInterval = 200 * time.Millisecond
	// peerSilence is how long a home that is probed may give no sign of life.
	peerTimeout = 480 * time.Millisecond
	// peerUse is how long after its last use a home is probed.
	peerUseWindow = 3 * time.Second
	// relayMargin is how much later than the home this instance gives up.
	relayMargin = 30 * time.Millisecond
)

// homePeer is what is known of an instance that is the home of accounts.
type homePeer struct {
	e       *Engine
	address PeerAddress
	// relayed are the unanswered requests, by caller.
	relayed map[CallerID]*statement
	// heard is the last sign of life, used the last use, both of which begin with
	// the first probe; sent is the last request or probe, probed the last probe.
	lastHeard  time.Time
	lastUsed   time.Time
	lastSent   time.Time
	lastProbed time.Time
	// lost is set from the silence of the home until its next sign of life.
	lost bool
	// refused is set when the home's host refused a connection.
	refusedConnection bool
	// probing is set while the timer of the probes runs.
	probing   bool
	timerItem timerq.Item[timed]
}

func (e *Engine) peer(address PeerAddress) *homePeer {
	p := e.peers[address]
	if p == nil {
		p = &homePeer{e: e, address: address, relayed: map[CallerID]*statement{}}
		p.timerItem.Value = p
		e.peers[address] = p
	}
	return p
}

// use notes that a caller needs the home, and keeps probing it for a while.
func (p *homePeer) recordUse() {
	p.lastUsed = p.e.now
	if p.probing {
		return
	}
	p.probing = true
	p.lastHeard = p.e.now
	p.probe()
}

func (p *homePeer) probe() {
	p.e.outbox.out.Peer(PeerProbe{Address: p.address})
	p.lastSent, p.lastProbed = p.e.now, p.e.now
	p.arm()
}

// arm sets the time at which one direction may have been quiet for too long.
func (p *homePeer) arm() {
	p.e.timers.Arm(&p.timerItem, p.lastExchange().Add(peerProbeInterval))
}

// quietSince is the last time before which both sides had a sign of life, but
// not before the last probe, which may be on its way.
func (p *homePeer) lastExchange() time.Time {
	return clock.Later(clock.Earlier(p.lastHeard, p.lastSent), p.lastProbed)
}

// timeOut probes a quiet home and gives up on a silent one.
func (p *homePeer) timeOut() {
	if len(p.relayed) == 0 && p.e.now.Sub(p.lastUsed) > peerUseWindow {
		p.probing = false
		return
	}
	if p.e.now.Sub(p.lastHeard) > peerTimeout {
		p.markLost()
	}
	if p.e.now.Before(p.lastExchange().Add(peerProbeInterval)) {
		p.arm()
		return
	}
	p.probe()
}

// giveUp ends the requests relayed to a silent home; what they asked for may have run.
func (p *homePeer) markLost() {
	e := p.e
	if !p.lost {
		p.lost = true
		e.metrics.HomesLost++
		e.outbox.out.Control(HomeSilent{Address: p.address})
		e.updateLostHomes()
	}
	for id, s := range p.relayed {
		delete(p.relayed, id)
		e.outbox.out.Peer(RelayEnd{Address: p.address, Caller: id})
		s.unsent = false
		s.fire(e.charts.onStatement.relayLost)
	}
}

// alive notes a sign of life.
func (p *homePeer) markAlive() {
	p.lastHeard = p.e.now
	p.refusedConnection = false
	if p.lost {
		p.lost = false
		p.e.updateLostHomes()
	}
}

// homesChanged lets the accounts of lost homes be served here.
func (e *Engine) updateLostHomes() {
	for name, a := range e.accounts {
		home, known := e.homes[name]
		p := e.peers[home.Address]
		if !known || !home.Here && p != nil && p.lost {
			a.loseHome()
			continue
		}
		a.regainHome()
	}
}

// homesInForce replaces the homes. Relayed requests under way go on where they are.
func (e *Engine) homesInForce(in HomesInForce) {
	e.homes, e.openHomes = in.Homes, in.Open
	e.updateHomeAddresses()
	e.updateLostHomes()
	e.retryPendingAdmissions()
}

func (e *Engine) peerAlive(address PeerAddress) {
	if p := e.peers[address]; p != nil {
		p.markAlive()
	}
}
