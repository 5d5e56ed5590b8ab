package session

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Range of the latency histograms, in microseconds, and their significant
// digits.
const (
	minLatency = 1
	maxLatency = 120_000_000
	digits     = 2
)

// Metrics counts what the engine decided. It belongs to the session duty: call
// Engine.Metrics only there, and copy what is passed on.
type Metrics struct {
	ReplicaReads uint64
	PrimaryReads uint64
	// WritesAcknowledged counts commits that were confirmed by a majority, or
	// by the primary alone with Config.AckAtCommit.
	WritesAcknowledged uint64
	// WritesUncertain counts statements that may have written and were answered
	// as uncertain.
	WritesUncertain uint64
	// Refusals counts the proxy's own refusals by reason.
	Refusals map[core.Reason]uint64
	// RefusalsWithoutShare counts rate refusals while no share was usable on this
	// instance, so that it is not known whether the account was within its
	// rate.
	RefusalsWithoutShare uint64
	// Retries counts statements that were sent again after a part may have been
	// sent, Requeued those of which nothing had run.
	Retries  uint64
	Requeued uint64
	// HomesLost counts how often a home became unresponsive or its host refused
	// a connection.
	HomesLost uint64
	// RefusedAtLimit counts connections that a member refused for its
	// connection limit, ConnectionsReleased unused connections that were closed
	// because another instance requested it.
	RefusedAtLimit      uint64
	ConnectionsReleased uint64
	// Callers, Connections and Queued are current values.
	Callers     int
	Connections int
	Queued      int
	Accounts    map[core.AccountName]*AccountMetrics
	// Pace describes how much work the members of each database get.
	Pace map[core.DatabaseName]PaceMetrics
}

// AccountMetrics counts the requests of one client account.
type AccountMetrics struct {
	Admitted uint64
	Refused  uint64
	// Latency is the time from arrival to answer, in microseconds.
	Latency *hdrhistogram.Histogram
}

func newMetrics() Metrics {
	return Metrics{
		Refusals: map[core.Reason]uint64{},
		Accounts: map[core.AccountName]*AccountMetrics{},
	}
}

// account returns the counters of the account; it creates them on first use.
func (m *Metrics) account(name core.AccountName) *AccountMetrics {
	a, ok := m.Accounts[name]
	if !ok {
		a = &AccountMetrics{Latency: hdrhistogram.New(minLatency, maxLatency, digits)}
		m.Accounts[name] = a
	}
	return a
}

// answered records the latency of an answer; values outside the histogram's
// range are clamped.
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
	e.metrics.Pace = e.paceMetrics()
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
