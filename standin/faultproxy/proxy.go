// Package faultproxy is a TCP proxy that injects faults: a link can be cut in one or
// both directions, delayed, reset and restored.
//
// One duty owns every socket. A cut queues the bytes instead of dropping them: in a
// network partition, TCP retransmits what was lost, so after the restore the stream
// continues without a gap unless an endpoint has closed the connection.
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
	// stopRingCapacity is the number of stop requests that can wait.
	stopRingCapacity = 4
	// idlePollTimeout limits a poll while no timer is armed.
	idlePollTimeout = time.Minute
)

// LinkOptions is the configuration of one link.
type LinkOptions struct {
	Name string
	// Listen is the address on which the link accepts connections, Target the
	// address to which it forwards them; both are IP:port.
	Listen string
	Target string
}

// OptionError reports an invalid description of a link.
type OptionError struct {
	Text string
}

func (e *OptionError) Error() string {
	return "invalid link " + e.Text + ", expected name=listen-address,target-address"
}

// ParseLink parses "name=listen-address,target-address". It returns an *OptionError
// for any other text.
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

// timeoutHandler is notified when its timer is due.
type timeoutHandler interface {
	timedOut()
}

// timer is an entry of the proxy's timer queue.
type timer = timerq.Item[timeoutHandler]

// Proxy is the proxy duty. New builds it on the caller's thread; once started, only
// the duty uses its state.
type Proxy struct {
	loop           *netloop.Loop
	timers         timerq.Queue[timeoutHandler]
	links          map[string]*link
	pairs          pairChart
	stop           *ring.Ring[struct{}]
	controlAddress netip.AddrPort
}

// pairChart is the compiled chart of a pair.
type pairChart struct {
	table                             *chart.Table[*pair]
	released, opened, ended, timedOut chart.Event
}

// New returns a proxy that listens on the addresses of the links and on the control
// address. It returns a *netloop.OpError when an address cannot be bound, and the
// error of an invalid pair chart.
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

// ControlAddress returns the address of the JSON-RPC control endpoint.
func (p *Proxy) ControlAddress() netip.AddrPort {
	return p.controlAddress
}

// Address returns the address on which a link listens, or the zero value for an
// unknown link.
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

// Stop ends the duty, which closes every connection. It is safe for concurrent use.
func (p *Proxy) Stop() {
	p.stop.TryPush(struct{}{})
}

// run is the proxy duty.
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

// pollTimeout returns the time until the next timer is due.
func (p *Proxy) pollTimeout() time.Duration {
	next, ok := p.timers.Next()
	if !ok {
		return idlePollTimeout
	}
	return max(time.Until(next), 0)
}
