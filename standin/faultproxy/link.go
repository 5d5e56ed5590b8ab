package faultproxy

import (
	"net/netip"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
)

// direction holds the faults and the counter of one direction of a link.
type direction struct {
	cut   bool
	delay time.Duration
	// bytes counts the forwarded bytes.
	bytes uint64
}

// link forwards the connections accepted on one address.
type link struct {
	proxy   *Proxy
	options LinkOptions
	address netip.AddrPort
	up      direction
	down    direction
	pairs   map[*pair]bool
}

func (l *link) accept(c *netloop.Conn) netloop.Handler {
	p := &pair{link: l, client: c}
	p.state = l.proxy.pairs.table.Initial()
	p.timer.Value = p
	p.up = &pipe{pair: p, direction: &l.up, from: c}
	p.down = &pipe{pair: p, direction: &l.down, to: c}
	p.up.reverse, p.down.reverse = p.down, p.up
	p.up.timer.Value = p.up
	p.down.timer.Value = p.down
	l.pairs[p] = true
	l.proxy.timers.Arm(&p.timer, time.Now().Add(holdTimeout))
	l.release(p)
	return p.up
}

// release lets a pair connect to its target unless the direction Up is cut.
func (l *link) release(p *pair) {
	if !l.up.cut {
		p.fire(l.proxy.pairs.released)
	}
}

// forwardPending connects held pairs and forwards queued bytes as far as the faults
// allow.
func (l *link) forwardPending() {
	for p := range l.pairs {
		l.release(p)
		p.forwardPending()
	}
}

func (l *link) reset() {
	for p := range l.pairs {
		p.reset()
	}
}
