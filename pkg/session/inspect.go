package session

import (
	"sort"
	"strconv"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Inspect requests a copy of the counters and explanations. The reply channel
// must have space for one item.
type Inspect struct {
	// Account is the account whose explanations are returned; empty for no
	// explanations.
	Account core.AccountName
	Reply   chan<- Inspection
}

func (Inspect) sessionInput() {}

// Inspection answers Inspect.
type Inspection struct {
	ReplicaReads         uint64                 `json:"replica_reads"`
	PrimaryReads         uint64                 `json:"primary_reads"`
	WritesAcknowledged   uint64                 `json:"writes_acknowledged"`
	WritesUncertain      uint64                 `json:"writes_uncertain"`
	Refusals             map[core.Reason]uint64 `json:"refusals"`
	RefusalsWithoutShare uint64                 `json:"rate_refusals_without_share"`
	Retries              uint64                 `json:"retries"`
	Requeued             uint64                 `json:"requeued"`
	HomesLost            uint64                 `json:"homes_lost"`
	RefusedAtLimit       uint64                 `json:"refused_full"`
	ConnectionsReleased  uint64                 `json:"room_given"`
	Callers              int                    `json:"callers"`
	Connections          int                    `json:"connections"`
	Queued               int                    `json:"queued"`
	// ConfigurationVersion is the version of the operator's configuration in force.
	ConfigurationVersion uint64                                 `json:"configuration_version"`
	Accounts             map[core.AccountName]AccountInspection `json:"accounts"`
	// Pace describes how much work the members of each database get.
	Pace map[core.DatabaseName]PaceMetrics `json:"pace"`
	// Transitions counts the transitions taken, by chart.
	Transitions map[string]map[string]uint64 `json:"transitions"`
	// Explanations holds one line for each caller of the requested account: why
	// its last statement was routed as it was.
	Explanations []string `json:"-"`
}

// AccountInspection is the copy of one account's counters.
type AccountInspection struct {
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	// P50 and P99 are latencies in microseconds.
	P50 int64 `json:"p50_us"`
	P99 int64 `json:"p99_us"`
	// Latencies counts the answers up to each bound, in microseconds.
	Latencies []LatencyBucket `json:"latencies"`
}

// LatencyBucket counts the answers that took at most a given time.
type LatencyBucket struct {
	UpTo  int64 `json:"up_to_us"`
	Count int64 `json:"count"`
}

// latencyBounds holds the upper bounds of the latency buckets, in microseconds.
var latencyBounds = []int64{1_000, 2_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000, 1_000_000, 2_000_000, maxLatency}

// buckets returns the number of answers that took at most each of
// latencyBounds.
func (a *AccountMetrics) buckets() []LatencyBucket {
	list := make([]LatencyBucket, len(latencyBounds))
	for i, bound := range latencyBounds {
		list[i].UpTo = bound
	}
	for _, bar := range a.Latency.Distribution() {
		for i, bound := range latencyBounds {
			if bar.To <= bound {
				list[i].Count += bar.Count
			}
		}
	}
	return list
}

const (
	// median and ninetyNinth are percentiles.
	median      = 50
	ninetyNinth = 99
	// maxExplanations limits the lines in Inspection.Explanations.
	maxExplanations = 100
)

// answerInspect replies to Inspect.
func (e *Engine) answerInspect(in Inspect) {
	m := e.Metrics()
	answer := Inspection{
		ReplicaReads: m.ReplicaReads, PrimaryReads: m.PrimaryReads,
		WritesAcknowledged: m.WritesAcknowledged, WritesUncertain: m.WritesUncertain,
		Refusals: make(map[core.Reason]uint64, len(m.Refusals)), RefusalsWithoutShare: m.RefusalsWithoutShare,
		Retries: m.Retries, Requeued: m.Requeued, HomesLost: m.HomesLost, RefusedAtLimit: m.RefusedAtLimit, ConnectionsReleased: m.ConnectionsReleased,
		Callers: m.Callers, Connections: m.Connections, Queued: m.Queued,
		ConfigurationVersion: e.operatorVersion(),
		Accounts:             make(map[core.AccountName]AccountInspection, len(m.Accounts)),
		Pace:                 m.Pace,
		Transitions:          e.charts.transitionCounts(),
	}
	for reason, n := range m.Refusals {
		answer.Refusals[reason] = n
	}
	for name, a := range m.Accounts {
		answer.Accounts[name] = AccountInspection{
			Admitted: a.Admitted, Refused: a.Refused,
			P50: a.Latency.ValueAtQuantile(median), P99: a.Latency.ValueAtQuantile(ninetyNinth),
			Latencies: a.buckets(),
		}
	}
	if in.Account != "" {
		answer.Explanations = e.explanations(in.Account)
	}
	in.Reply <- answer
}

// explanations returns one sorted line for each caller of the account, at most
// maxExplanations.
func (e *Engine) explanations(account core.AccountName) []string {
	var lines []string
	for id, c := range e.callers {
		if c.account.name == account && len(lines) < maxExplanations {
			lines = append(lines, "caller "+strconv.FormatUint(uint64(id), 10)+": "+e.Explain(id))
		}
	}
	sort.Strings(lines)
	return lines
}

// transitionCounts returns how often each transition was taken, by chart.
func (t *chartTables) transitionCounts() map[string]map[string]uint64 {
	return map[string]map[string]uint64{
		"caller":      t.caller.TransitionCounts(),
		"statement":   t.statement.TransitionCounts(),
		"target":      t.target.TransitionCounts(),
		"member_pace": t.pace.TransitionCounts(),
	}
}
