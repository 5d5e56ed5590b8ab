// Package faultproxy forwards TCP connections and fails on request: a link can
// be cut in one or both directions, delayed, reset and restored.
//
// One duty owns every socket. A cut holds the bytes back instead of dropping
// them, as a network partition does for a TCP stream: after the restore the
// stream goes on without a gap, unless an endpoint has given up.
package faultproxy

import (
	"net/netip"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/lib/timerq"
)

const (
	// commandRing holds commands from other threads; there is only Stop.
	stopRingCapacity = 4
	idlePollTimeout  = time.Minute
)

// LinkOptions describes one link.
type LinkOptions struct {
	Name string
	// Listen and Target are IP:port.
	Listen string
	Target string
}

// OptionError reports a link that cannot be used.
type OptionError struct {
	Text string
}

func (e *OptionError) Error() string {
	return "invalid link " + e.Text + ", expected name=listen-address,target-address"
}

// ParseLink parses "name=listen,target". It returns an *OptionError.
func ParseLink(text string) (LinkOptions, error) {
	name, addresses, named := strings.Cut(text, "=")
	listen, target, found := strings.Cut(addresses, ",")
	if !named || !found || name == "" {
		return LinkOptions{}, &OptionError{Text: text}
	}
	if _, err := netip.ParseAddrPort(target); err != nil {
		return LinkOptions{}, &OptionError{Text: text}
	}
	return LinkOptions{Name: name, Listen: listen, Target: target}, nil
}

// timed is what a timer reports to.
type timeoutHandler interface {
	timedOut()
}

type timer = timerq.Item[timeoutHandler]

// Proxy is the proxy duty. It is built on the caller's thread.
type Proxy struct {
	loop           *netloop.Loop
	timers         timerq.Queue[timeoutHandler]
	links          map[string]*link
	pairs          pairChart
	stop           *ring.Ring[struct{}]
	controlAddress netip.AddrPort
}

type pairChart struct {
	table                             *chart.Table[*pair]
	released, opened, ended, timedOut chart.Event
}

// New returns a proxy that listens on the links and on the control address. It
// returns a *netloop.OpError when an address cannot be bound, and the error of
// the pair chart when that is not valid.
func New(control string, links []LinkOptions) (*Proxy, error) {
	loop, err := netloop.New()
	if err != nil {
		return nil, err
	}
	p := &Proxy{loop: loop, links: map[string]*link{}}
	p.stop = ring.New[struct{}](stopRingCapacity, loop)
	if p.pairs, err = compilePair(); err != nil {
		return nil, err
	}
	for _, o := range links {
		l := &link{proxy: p, options: o, pairs: map[*pair]bool{}}
		if l.address, err = loop.Listen(o.Listen, l.accept); err != nil {
			return nil, err
		}
		p.links[o.Name] = l
	}
	p.controlAddress, err = loop.Listen(control, p.newEndpoint().Accept)
	return p, err
}

// ControlAddress returns the bound address of the JSON-RPC control endpoint.
func (p *Proxy) ControlAddress() netip.AddrPort {
	return p.controlAddress
}

// Address returns the bound address of a link; the zero value if there is none.
func (p *Proxy) Address(link string) netip.AddrPort {
	l, ok := p.links[link]
	if !ok {
		return netip.AddrPort{}
	}
	return l.address
}

// Start starts the proxy duty in g.
func (p *Proxy) Start(g *duty.Group) {
	g.Start("fault-proxy", p.run)
}

// Stop ends the duty and closes every connection. It is safe for concurrent use.
func (p *Proxy) Stop() {
	p.stop.TryPush(struct{}{})
}

func (p *Proxy) run() {
	defer p.loop.Close()
	for {
		p.runTimers(time.Now())
		if !p.stop.Park() {
			return
		}
		err := p.loop.Poll(p.pollTimeout())
		p.stop.Unpark()
		if err != nil {
			return
		}
	}
}

func (p *Proxy) runTimers(now time.Time) {
	for {
		item, ok := p.timers.PopDue(now)
		if !ok {
			return
		}
		item.Value.timedOut()
	}
}

func (p *Proxy) pollTimeout() time.Duration {
	next, ok := p.timers.Next()
	if !ok {
		return idlePollTimeout
	}
	return max(time.Until(next), 0)
}
