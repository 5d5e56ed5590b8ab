package failover

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// UnknownAge is the AgeBound of a member of whose state nothing is known.
const UnknownAge = 100 * 365 * 24 * time.Hour

// maxSamples bounds the remembered positions of the primary. When it is
// reached, every second old sample goes, so that a replica that lags by
// minutes still finds one, only coarser.
const maxSamples = 32

// sample is a position that the primary reported to a call asked at asked.
type sample struct {
	asked    time.Time
	position core.Position
}

// viewState tells when the view is published.
type viewState struct {
	// urgent publishes at once, dirty at the end of the period.
	urgent    bool
	dirty     bool
	published time.Time
	// refusedAt is when the view was offered in vain, zero if it was taken.
	refusedAt time.Time
}

func (g *Group) addSample(in MemberAnswered) {
	p := core.Position{Term: in.Status.Term, LSN: in.Status.Received}
	if n := len(g.samples); n > 0 && !in.Asked.After(g.samples[n-1].asked) {
		return
	}
	if len(g.samples) == maxSamples {
		g.thinSamples()
	}
	g.samples = append(g.samples, sample{asked: in.Asked, position: p})
}

func (g *Group) thinSamples() {
	kept := g.samples[:0]
	for i, s := range g.samples {
		if i%2 == 0 || i >= maxSamples/2 {
			kept = append(kept, s)
		}
	}
	g.samples = kept
}

// leadership returns the newest time at which the primary had certainly not
// been replaced: a majority that was asked since then had accepted no newer
// term. It is zero when that is not known.
func (g *Group) leadership() time.Time {
	asked := make([]time.Time, 0, len(g.members))
	for _, m := range g.members {
		if m.seen && m.status.Term == g.term {
			asked = append(asked, m.asked)
		}
	}
	if len(asked) < g.majority() {
		return time.Time{}
	}
	slices.SortFunc(asked, time.Time.Compare)
	return asked[len(asked)-g.majority()]
}

// ageBound bounds the staleness of reads on m at the time of its last answer.
// It uses this instance's clock only: what the primary had when it was asked
// and m has applied by now cannot be missing, unless the primary had been
// replaced by then.
func (g *Group) ageBound(m *member, leadership time.Time) time.Duration {
	asOf := leadership
	if m != g.primary {
		asOf = earlierKnown(leadership, g.newestCovered(m))
	}
	if !m.seen || asOf.IsZero() {
		return UnknownAge
	}
	return max(m.answered.Sub(asOf), 0)
}

// earlierKnown returns the earlier time, or zero when one is not known.
func earlierKnown(a, b time.Time) time.Time {
	if a.IsZero() || b.IsZero() {
		return time.Time{}
	}
	return earlier(a, b)
}

func (g *Group) newestCovered(m *member) time.Time {
	for _, s := range slices.Backward(g.samples) {
		if m.status.Covers(s.position) {
			return s.asked
		}
	}
	return time.Time{}
}

func (g *Group) publish() {
	if !g.viewIsDue() {
		return
	}
	if !g.out.View(g.buildView()) {
		g.view.refusedAt = g.now
		return
	}
	g.view = viewState{published: g.now}
}

func (g *Group) viewIsDue() bool {
	due := g.viewDue()
	return !due.IsZero() && !due.After(g.now)
}

// viewDue returns when the view is published next; zero when nothing changed.
func (g *Group) viewDue() time.Time {
	if !g.view.refusedAt.IsZero() {
		return g.view.refusedAt.Add(g.config.FastHeartbeat)
	}
	if g.view.urgent {
		return g.now
	}
	if g.view.dirty {
		return g.view.published.Add(g.config.ViewPeriod)
	}
	return time.Time{}
}

// retryDue returns when a confirmation or floor that was not taken is offered
// again.
func (g *Group) retryDue() time.Time {
	if g.confirm.unsent || g.floor.unsent {
		return g.now.Add(g.config.FastHeartbeat)
	}
	return time.Time{}
}

func (g *Group) buildView() session.GroupView {
	view := session.GroupView{Database: g.database.Name, Term: g.known}
	if g.hasPrimary() {
		view.Primary = g.primary.id
	}
	leadership := g.leadership()
	for _, m := range g.members {
		view.Members = append(view.Members, session.MemberView{
			Status:    m.viewStatus(),
			Reachable: m.reachable(),
			Latency:   m.latency,
			AgeBound:  g.ageBound(m, leadership),
			SeenAt:    m.answered,
		})
	}
	return view
}

// viewStatus names the member also before its first answer.
func (m *member) viewStatus() core.MemberStatus {
	s := m.status
	s.Member = m.id
	return s
}
