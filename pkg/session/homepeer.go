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
	peerProbeEvery = 200 * time.Millisecond
	// peerSilence is how long a home that is probed may give no sign of life.
	peerSilence = 480 * time.Millisecond
	// peerUse is how long after its last use a home is probed.
	peerUse = 3 * time.Second
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
	heard  time.Time
	used   time.Time
	sent   time.Time
	probed time.Time
	// lost is set from the silence of the home until its next sign of life.
	lost bool
	// refused is set when the home's host refused a connection.
	refused bool
	// probing is set while the timer of the probes runs.
	probing bool
	item    timerq.Item[timed]
}

func (e *Engine) peer(address PeerAddress) *homePeer {
	p := e.peers[address]
	if p == nil {
		p = &homePeer{e: e, address: address, relayed: map[CallerID]*statement{}}
		p.item.Value = p
		e.peers[address] = p
	}
	return p
}

// use notes that a caller needs the home, and keeps probing it for a while.
func (p *homePeer) use() {
	p.used = p.e.now
	if p.probing {
		return
	}
	p.probing = true
	p.heard = p.e.now
	p.probe()
}

func (p *homePeer) probe() {
	p.e.box.out.Peer(PeerProbe{Address: p.address})
	p.sent, p.probed = p.e.now, p.e.now
	p.arm()
}

// arm sets the time at which one direction may have been quiet for too long.
func (p *homePeer) arm() {
	p.e.timers.Arm(&p.item, p.quietSince().Add(peerProbeEvery))
}

// quietSince is the last time before which both sides had a sign of life, but
// not before the last probe, which may be on its way.
func (p *homePeer) quietSince() time.Time {
	return clock.Later(clock.Earlier(p.heard, p.sent), p.probed)
}

// timeOut probes a quiet home and gives up on a silent one.
func (p *homePeer) timeOut() {
	if len(p.relayed) == 0 && p.e.now.Sub(p.used) > peerUse {
		p.probing = false
		return
	}
	if p.e.now.Sub(p.heard) > peerSilence {
		p.giveUp()
	}
	if p.e.now.Before(p.quietSince().Add(peerProbeEvery)) {
		p.arm()
		return
	}
	p.probe()
}

// giveUp ends the requests relayed to a silent home; what they asked for may have run.
func (p *homePeer) giveUp() {
	e := p.e
	if !p.lost {
		p.lost = true
		e.metrics.HomesLost++
		e.box.out.Control(HomeSilent{Address: p.address})
		e.homesChanged()
	}
	for id, s := range p.relayed {
		delete(p.relayed, id)
		e.box.out.Peer(RelayEnd{Address: p.address, Caller: id})
		s.unsent = false
		s.fire(e.charts.stmt.relayLost)
	}
}

// alive notes a sign of life.
func (p *homePeer) alive() {
	p.heard = p.e.now
	p.refused = false
	if p.lost {
		p.lost = false
		p.e.homesChanged()
	}
}

// homesChanged lets the accounts of lost homes be served here.
func (e *Engine) homesChanged() {
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
	e.listHomes()
	e.homesChanged()
	e.reviewArrivals()
}

func (e *Engine) peerAlive(address PeerAddress) {
	if p := e.peers[address]; p != nil {
		p.alive()
	}
}
