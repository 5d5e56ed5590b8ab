package instance

import (
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
)

// PathStatus is where a hosted instance tells what it believes, at the address
// of its metrics.
const PathStatus = "/status"

// HostedStatus is the body of the status page of a hosted instance.
type HostedStatus struct {
	fleet.Status
	Ready bool `json:"ready"`
	// Callers, Connections and Queued are those of the session duty: sessions,
	// connections to members and waiting statements.
	Callers     int `json:"callers"`
	Connections int `json:"connections"`
	Queued      int `json:"queued"`
}

func (h *Hosted) serveStatus(w http.ResponseWriter, _ *http.Request) {
	believed, ok := h.inspectFleet()
	inspection, inspected := inspectSession(h.sessions.input, "")
	if !ok || !inspected {
		http.Error(w, "a duty did not answer in time", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(HostedStatus{
		Status: believed, Ready: h.ready.Load(),
		Callers: inspection.Callers, Connections: inspection.Connections, Queued: inspection.Queued,
	})
	if err != nil {
		h.log(logrus.InfoLevel, "status_not_sent", err.Error(), nil)
	}
}

// inspectFleet asks the fleet duty for what it believes.
func (h *Hosted) inspectFleet() (fleet.Status, bool) {
	return inspect(h.fleets.input, func(reply chan<- fleet.Status) fleet.Input { return fleet.Inspect{Reply: reply} })
}
