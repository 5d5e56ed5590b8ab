package faultproxy

import (
	"embed"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/lib/netloop"
)

//go:embed charts/*.toml
var chartFiles embed.FS

const pairChartPath = "charts/pair.toml"

// Timeouts that the chart refers to.
const (
	holdTimeout = time.Hour
	dialTimeout = 10 * time.Second
	idleTimeout = 24 * time.Hour
)

// pair is a client connection and the connection to the target that belongs to it.
type pair struct {
	link   *link
	state  chart.State
	timer  timer
	client *netloop.Conn
	target *netloop.Conn
	// up carries bytes from the client to the target, down in the other
	// direction.
	up   *pipe
	down *pipe
}

func compilePair() (pairChart, error) {
	text, err := chartFiles.ReadFile(pairChartPath)
	if err != nil {
		return pairChart{}, err
	}
	definition, err := chart.Parse(pairChartPath, text)
	if err != nil {
		return pairChart{}, err
	}
	table, err := chart.Compile(definition, chart.Registry[*pair]{
		Actions: map[string]func(*pair){
			"dial":            (*pair).dial,
			"forward_pending": (*pair).forwardPending,
			"close":           (*pair).close,
		},
		Timeouts: map[string]time.Duration{"hold": holdTimeout, "dial": dialTimeout, "idle": idleTimeout},
	})
	if err != nil {
		return pairChart{}, err
	}
	return pairChart{
		table:    table,
		released: table.Event("released"),
		opened:   table.Event("opened"),
		ended:    table.Event("ended"),
		timedOut: table.Event(chart.TimeoutEvent),
	}, nil
}

func (p *pair) fire(event chart.Event) {
	proxy := p.link.proxy
	proxy.pairs.table.Fire(p, &p.state, event)
	if proxy.pairs.table.Final(p.state) {
		proxy.timers.Disarm(&p.timer)
		return
	}
	proxy.timers.Arm(&p.timer, time.Now().Add(proxy.pairs.table.Timeout(p.state)))
}

func (p *pair) timedOut() {
	p.fire(p.link.proxy.pairs.timedOut)
}

func (p *pair) dial() {
	conn, err := p.link.proxy.loop.Connect(p.link.options.Target, p.down)
	if err != nil {
		// The pair cannot be closed here, because the loop has no handler for the
		// client socket yet; the timer closes it.
		p.down.sourceClosed = true
		p.link.proxy.timers.Arm(&p.down.timer, time.Now())
		return
	}
	p.target = conn
	p.down.from, p.up.to = conn, conn
}

func (p *pair) forwardPending() {
	p.up.forwardPending()
	p.down.forwardPending()
}

// close closes both connections after the forwarded bytes have been sent.
func (p *pair) close() {
	delete(p.link.pairs, p)
	p.link.proxy.timers.Disarm(&p.up.timer)
	p.link.proxy.timers.Disarm(&p.down.timer)
	p.client.CloseAfterFlush()
	if p.target != nil {
		p.target.CloseAfterFlush()
	}
}

// reset closes both connections at once.
func (p *pair) reset() {
	p.fire(p.link.proxy.pairs.ended)
	p.client.Close()
	if p.target != nil {
		p.target.Close()
	}
}
