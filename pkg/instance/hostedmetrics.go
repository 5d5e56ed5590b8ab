package instance

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/linkio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// pathMetrics is the HTTP path of the metrics of a hosted instance. They are served
// on the port after FirstPort, the second of the ports between instances.
const pathMetrics = "/metrics"

// buildMetricsServer binds the address of the metrics and status pages.
func (h *Hosted) buildMetricsServer() error {
	port := h.settings.FirstPort + 1
	if h.settings.FirstPort == 0 {
		// The kernel chooses the port of an instance that is built only to check its
		// charts.
		port = 0
	}
	listener, err := net.Listen("tcp4", net.JoinHostPort(h.settings.IP, strconv.Itoa(port)))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathMetrics, h.serveMetrics)
	mux.HandleFunc("GET "+PathStatus, h.serveStatus)
	h.metricsListener = listener
	h.metricsServer = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return nil
}

// serveMetrics writes one line for each value, as NAME{LABELS} VALUE.
func (h *Hosted) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	page := &metricsPage{}
	inspection, ok := inspectSession(h.sessionDuty.input, "")
	page.add("sassafrasshunt_inspected", "", boolToFloat(ok))
	if ok {
		page.session(&inspection)
	}
	page.add("sassafrasshunt_ready", "", boolToFloat(h.ready.Load()))
	page.add("sassafrasshunt_callers_open", "", float64(h.callers.Open()))
	page.add("sassafrasshunt_callers_refused_total", "", float64(h.callers.Refused()))
	page.closes(h.callers.CloseCounts())
	page.storeCalls(h.storeCalls)
	page.add("sassafrasshunt_targets_open", "", float64(h.targets.Open()))
	page.add("sassafrasshunt_targets_opened_total", "", float64(h.targets.Opened()))
	page.rings(map[string]ring.Stats{
		"session": h.sessionDuty.input.Stats(), "fleet": h.fleetDuty.input.Stats(), "caller_io": h.callers.Commands.Stats(),
		"target_io": h.targets.Commands.Stats(), "rpc": h.rpc.Commands().Stats(), "telemetry": h.telemetry.Stats(),
	})
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A write error means that the client has disconnected.
	_, _ = w.Write([]byte(page.text.String()))
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// metricsPage collects the lines of the metrics page.
type metricsPage struct {
	text strings.Builder
}

// add appends a line. labels is a list of label pairs without braces; empty for none.
func (p *metricsPage) add(name, labels string, value float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(&p.text, "%s%s %s\n", name, labels, strconv.FormatFloat(value, 'g', -1, 64))
}

// label returns a label pair as NAME="VALUE".
func label(name, value string) string {
	return name + "=" + strconv.Quote(value)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K ~string, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// session adds the counters of the session duty.
func (p *metricsPage) session(i *session.Inspection) {
	counters := map[string]float64{
		"reads_by_replicas_total": float64(i.ReplicaReads), "reads_by_primaries_total": float64(i.PrimaryReads),
		"writes_acknowledged_total": float64(i.WritesAcknowledged), "writes_uncertain_total": float64(i.WritesUncertain),
		"retries_total": float64(i.Retries), "requeued_total": float64(i.Requeued), "homes_lost_total": float64(i.HomesLost),
		"connections_refused_full_total": float64(i.RefusedAtLimit), "connections_given_total": float64(i.ConnectionsReleased),
		"callers": float64(i.Callers), "connections": float64(i.Connections), "queued": float64(i.Queued),
		"configuration_version": float64(i.ConfigurationVersion),
	}
	for _, name := range sortedKeys(counters) {
		p.add("sassafrasshunt_"+name, "", counters[name])
	}
	for _, reason := range sortedKeys(i.Refusals) {
		p.add("sassafrasshunt_refusals_total", label("reason", string(reason)), float64(i.Refusals[reason]))
	}
	for _, account := range sortedKeys(i.Accounts) {
		p.account(account, i.Accounts[account])
	}
	for _, name := range sortedKeys(i.Transitions) {
		for _, transition := range sortedKeys(i.Transitions[name]) {
			labels := label("chart", name) + "," + label("transition", transition)
			p.add("sassafrasshunt_transitions_total", labels, float64(i.Transitions[name][transition]))
		}
	}
	for _, group := range sortedKeys(i.Pace) {
		labels := label("group", string(group))
		p.add("sassafrasshunt_pace_allowance", labels, i.Pace[group].Allowance)
		p.add("sassafrasshunt_pace_limited", labels, float64(i.Pace[group].Limited))
		p.add("sassafrasshunt_pace_delayed_total", labels, float64(i.Pace[group].Delayed))
	}
}

// closes adds the counters of caller connections that ended before everything was delivered.
func (p *metricsPage) closes(c linkio.CloseCounts) {
	for _, by := range sortedKeys(c.Unanswered) {
		p.add("sassafrasshunt_requests_unanswered_total", label("closed_by", by), float64(c.Unanswered[by]))
		p.add("sassafrasshunt_caller_data_lost_total", label("closed_by", by), float64(c.DataLost[by]))
	}
	p.add("sassafrasshunt_late_answers_total", "", float64(c.LateAnswers))
}

// storeCalls adds the counters of the calls to the store. Those that are zero are left
// out.
func (p *metricsPage) storeCalls(calls *fleet.StoreCalls) {
	calls.Visit(func(kind fleet.StoreCallKind, outcome fleet.StoreCallOutcome, count uint64) {
		if count > 0 {
			p.add("sassafrasshunt_store_calls", label("kind", string(kind))+","+label("outcome", string(outcome)), float64(count))
		}
	})
}

// account adds the counters and latencies of one account.
func (p *metricsPage) account(name core.AccountName, a session.AccountInspection) {
	labels := label("account", string(name))
	p.add("sassafrasshunt_admitted_total", labels, float64(a.Admitted))
	p.add("sassafrasshunt_refused_total", labels, float64(a.Refused))
	for _, b := range a.Latencies {
		p.add("sassafrasshunt_latency_microseconds_bucket", labels+","+label("le", strconv.FormatInt(b.UpTo, 10)), float64(b.Count))
	}
	p.add("sassafrasshunt_latency_p50_microseconds", labels, float64(a.P50))
	p.add("sassafrasshunt_latency_p99_microseconds", labels, float64(a.P99))
}

// rings adds the depth and the refused pushes of each ring.
func (p *metricsPage) rings(stats map[string]ring.Stats) {
	for _, name := range sortedKeys(stats) {
		labels := label("ring", name)
		p.add("sassafrasshunt_ring_depth", labels, float64(stats[name].Depth))
		p.add("sassafrasshunt_ring_refused_total", labels, float64(stats[name].Refusals))
	}
}
