package session

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Bounds of the latency histograms, in microseconds.
const (
	minLatency = 1
	maxLatency = 120_000_000
	digits     = 2
)

// Metrics counts what the engine decided. It belongs to the session duty; use
// Engine.Metrics there and copy what is passed on.
type Metrics struct {
	ReplicaReads uint64
	PrimaryReads uint64
	// WritesAcknowledged were confirmed by a majority.
	WritesAcknowledged uint64
	// WritesUncertain were answered as uncertain.
	WritesUncertain uint64
	// Refusals counts the answers of the proxy itself by reason.
	Refusals map[core.Reason]uint64
	// RateUnknown counts rate refusals while no share was in force here, so
	// that it is not known whether the account was within its rate.
	RateUnknown uint64
	// Retries counts statements that were sent again, Requeued those of which
	// nothing had been sent.
	Retries  uint64
	Requeued uint64
	// HomesLost counts how often the home of an account was given up as silent.
	HomesLost uint64
	// RefusedFull counts connections that a member refused for its bound, RoomGiven
	// unused ones that were closed because another instance asked for room.
	RefusedFull uint64
	RoomGiven   uint64
	// Callers, Connections and Queued are current numbers.
	Callers     int
	Connections int
	Queued      int
	Accounts    map[core.AccountName]*AccountMetrics
}

// AccountMetrics counts the requests of one client account.
type AccountMetrics struct {
	Admitted uint64
	Refused  uint64
	// Latency is from arrival to answer, in microseconds.
	Latency *hdrhistogram.Histogram
}

func newMetrics() Metrics {
	return Metrics{
		Refusals: map[core.Reason]uint64{},
		Accounts: map[core.AccountName]*AccountMetrics{},
	}
}

func (m *Metrics) account(name core.AccountName) *AccountMetrics {
	a, ok := m.Accounts[name]
	if !ok {
		a = &AccountMetrics{Latency: hdrhistogram.New(minLatency, maxLatency, digits)}
		m.Accounts[name] = a
	}
	return a
}

// answered records the latency of an answer; values beyond the histogram's
// range count as its maximum.
func (a *AccountMetrics) answered(latency time.Duration) {
	micros := min(max(latency.Microseconds(), minLatency), maxLatency)
	_ = a.Latency.RecordValue(micros)
}

// Metrics returns the counters. The result is shared with the engine.
func (e *Engine) Metrics() *Metrics {
	e.metrics.Callers = len(e.callers)
	e.metrics.Connections = len(e.targets)
	e.metrics.Queued = 0
	for _, db := range e.databases {
		for _, m := range db.members {
			e.metrics.Queued += m.waitingCount()
		}
	}
	return &e.metrics
}

// countRead counts an answered read by the role of the member that served it.
func (m *Metrics) countRead(s *statement) {
	if s.classification.Kind != KindRead {
		return
	}
	if s.member == s.c.db.primary {
		m.PrimaryReads++
		return
	}
	m.ReplicaReads++
}
