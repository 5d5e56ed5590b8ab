package session

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// cachingDriver behaves like pgx: it prepares a text before the first
// execution, and discards the prepared statement when an execution is refused.
type cachingDriver struct {
	*harness
	prepared bool
	served   int
}

func (d *cachingDriver) request(preparesOnly bool) bool {
	sent := d.countSent()
	classified := len(d.classify)
	d.do(CallerRequest{Caller: 1, Request: &Request{
		Texts: []string{"select 1"}, PreparesOnly: preparesOnly,
		Payload: &Payload{Frames: []byte("select 1")}, Arrived: d.now,
	}})
	if len(d.classify) == classified {
		d.requireRefused(core.ReasonRateExceeded, core.OutcomeNotRun)
		return false
	}
	d.do(ClassifyResult{Caller: 1, Sequence: d.classify[classified].Sequence, Classification: read})
	d.connect()
	require.Greater(d.t, d.countSent(), sent)
	d.ready(d.lastSent().Target, 'I', core.Position{})
	return true
}

func (d *cachingDriver) execute() {
	if !d.prepared {
		d.prepared = d.request(true)
	}
	if !d.prepared {
		return
	}
	d.prepared = d.request(false)
	if d.prepared {
		d.served++
	}
}

// Guards against an account that is served at a fraction of its rate because
// preparing refused statements again uses up the tokens.
func TestPreparationsDoNotUseUpTheRate(t *testing.T) {
	const (
		seconds = 20
		every   = 37 * time.Millisecond
	)
	d := &cachingDriver{harness: newHarness(t, nil)}
	share := RateShare{Rate: 80.0 / 15, Burst: 80.0 / 15}
	d.do(ShareUpdate{
		Accounts:    map[core.AccountName]RateShare{"acct": share},
		Connections: map[core.DatabaseName]int{"db": 6},
		ValidUntil:  d.now.Add(time.Hour),
	})
	d.open(1, at100)
	from := d.now
	for d.now.Sub(from) < seconds*time.Second {
		d.execute()
		d.wait(every)
	}
	t.Logf("%d statements served in %d s at a rate of %.2f/s", d.served, seconds, share.Rate)
	require.GreaterOrEqual(t, float64(d.served), 0.95*share.Rate*seconds)
	require.LessOrEqual(t, float64(d.served), share.Rate*seconds+share.Burst)
}
