package failover

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// UnknownAge is the AgeBound of a member whose staleness is not known.
const UnknownAge = 100 * 365 * 24 * time.Hour

// maxSamples bounds the samples of the primary's position. When it is reached,
// every second sample of the older half is dropped, so that a replica that lags
// by minutes still finds a sample, with a lower time resolution.
const maxSamples = 32

// sample is a position that the primary reported to a call sent at sentAt.
type sample struct {
	sentAt   time.Time
	position core.Position
}

// viewState determines when the view is published next.
type viewState struct {
	// urgent publishes the view at once, dirty at the end of ViewPeriod.
	urgent    bool
	dirty     bool
	published time.Time
	// rejectedAt is when the outputs did not accept the view; zero if they did.
	rejectedAt time.Time
}

// addSample adds the primary's position unless its request is older than the
// newest sample.
func (g *Group) addSample(in MemberResponded) {
	position := core.Position{Term: in.Status.Term, LSN: in.Status.Received}
	if n := len(g.samples); n > 0 && !in.SentAt.After(g.samples[n-1].sentAt) {
		return
	}
	if len(g.samples) == maxSamples {
		g.thinSamples()
	}
	g.samples = append(g.samples, sample{sentAt: in.SentAt, position: position})
}

// thinSamples drops every second sample of the older half.
func (g *Group) thinSamples() {
	kept := g.samples[:0]
	for i, s := range g.samples {
		if i%2 == 0 || i >= maxSamples/2 {
			kept = append(kept, s)
		}
	}
	g.samples = kept
}

// primaryVerifiedAt returns the newest time at which the primary had certainly
// not been replaced: a majority whose requests were sent at that time or later had
// not accepted a newer term. It is zero if that is not known.
func (g *Group) primaryVerifiedAt() time.Time {
	sentAt := make([]time.Time, 0, len(g.members))
	for _, m := range g.members {
		if m.hasStatus && m.status.Term == g.term {
			sentAt = append(sentAt, m.statusSentAt)
		}
	}
	if len(sentAt) < g.majority() {
		return time.Time{}
	}
	slices.SortFunc(sentAt, time.Time.Compare)
	return sentAt[len(sentAt)-g.majority()]
}

// ageBound returns an upper bound of the staleness of reads on m at the time of
// its last response. It uses this instance's clock only: m cannot lack what the
// primary had when a sample's request was sent if m has applied that sample,
// unless the primary had been replaced by then.
func (g *Group) ageBound(m *member, verifiedAt time.Time) time.Duration {
	asOf := verifiedAt
	if m != g.primary {
		asOf = earlierOrUnknown(verifiedAt, g.newestCoveredSample(m))
	}
	if !m.hasStatus || asOf.IsZero() {
		return UnknownAge
	}
	return max(m.statusReceivedAt.Sub(asOf), 0)
}

// earlierOrUnknown returns the earlier time, or zero if either is zero.
func earlierOrUnknown(a, b time.Time) time.Time {
	if a.IsZero() || b.IsZero() {
		return time.Time{}
	}
	return earlier(a, b)
}

// newestCoveredSample returns the time of the newest sample that m has applied;
// zero if there is none.
func (g *Group) newestCoveredSample(m *member) time.Time {
	for _, s := range slices.Backward(g.samples) {
		if m.status.Covers(s.position) {
			return s.sentAt
		}
	}
	return time.Time{}
}

// publish publishes the view if it is due.
func (g *Group) publish() {
	if !g.viewIsDue() {
		return
	}
	if !g.out.View(g.buildView()) {
		g.view.rejectedAt = g.now
		return
	}
	g.view = viewState{published: g.now}
}

func (g *Group) viewIsDue() bool {
	due := g.viewDue()
	return !due.IsZero() && !due.After(g.now)
}

// viewDue returns when the view is published next; zero if nothing has changed.
func (g *Group) viewDue() time.Time {
	if !g.view.rejectedAt.IsZero() {
		return g.view.rejectedAt.Add(g.config.FastHeartbeat)
	}
	if g.view.urgent {
		return g.now
	}
	if g.view.dirty {
		return g.view.published.Add(g.config.ViewPeriod)
	}
	return time.Time{}
}

// retryDue returns when a confirmation or floor that was not accepted is
// published again; zero if there is none.
func (g *Group) retryDue() time.Time {
	if g.confirm.unsent || g.floor.unsent {
		return g.now.Add(g.config.FastHeartbeat)
	}
	return time.Time{}
}

func (g *Group) buildView() session.GroupView {
	view := session.GroupView{Database: g.database.Name, Term: g.newestTerm}
	if g.hasPrimary() {
		view.Primary = g.primary.id
	}
	verifiedAt := g.primaryVerifiedAt()
	for _, m := range g.members {
		view.Members = append(view.Members, session.MemberView{
			Status:      m.viewStatus(),
			Reachable:   m.reachable(),
			Latency:     m.latency,
			AgeBound:    g.ageBound(m, verifiedAt),
			RespondedAt: m.statusReceivedAt,
		})
	}
	return view
}

// viewStatus returns the newest status, with the member's ID even before its
// first response.
func (m *member) viewStatus() core.MemberStatus {
	s := m.status
	s.Member = m.id
	return s
}
