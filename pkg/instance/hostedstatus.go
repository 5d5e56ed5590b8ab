package instance

import (
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
)

// PathStatus is the HTTP path of the status page of a hosted instance, at the
// address of its metrics. The page shows the instance's current view of the fleet.
const PathStatus = "/status"

// HostedStatus is the body of the status page of a hosted instance.
type HostedStatus struct {
	fleet.Status
	Ready bool `json:"ready"`
	// Callers, Connections and Queued are counted by the session duty: open sessions,
	// connections to members, and statements that wait in a queue.
	Callers     int `json:"callers"`
	Connections int `json:"connections"`
	Queued      int `json:"queued"`
}

// serveStatus answers with HostedStatus as JSON, or with 503 when a duty does not
// answer in time.
func (h *Hosted) serveStatus(w http.ResponseWriter, _ *http.Request) {
	view, ok := h.inspectFleet()
	inspection, inspected := inspectSession(h.sessionDuty.input, "")
	if !ok || !inspected {
		http.Error(w, "a duty did not answer in time", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(HostedStatus{
		Status: view, Ready: h.ready.Load(),
		Callers: inspection.Callers, Connections: inspection.Connections, Queued: inspection.Queued,
	})
	if err != nil {
		h.log(logrus.InfoLevel, "status_not_sent", err.Error(), nil)
	}
}

// inspectFleet asks the fleet duty for its current view. It reports false when the
// duty does not answer in time.
func (h *Hosted) inspectFleet() (fleet.Status, bool) {
	return inspect(h.fleetDuty.input, func(reply chan<- fleet.Status) fleet.Input { return fleet.Inspect{Reply: reply} })
}
