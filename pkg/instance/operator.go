package instance

import (
	"expvar"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// inspectTimeout is how long a status or metrics page waits for a duty's answer.
const inspectTimeout = time.Second

// Submit passes an operator's request to the control duty, which sends the answer to
// reply. It reports false when the duty's ring is full.
func (i *Instance) Submit(request control.OperatorRequest, reply chan<- control.OperatorResponse) bool {
	return i.controlDuty.input.TryPush(control.FromOperator{Request: request, Reply: reply})
}

// Explain returns the session duty's explanations of how the last statements of an
// account were routed. It reports false when the duty does not answer in time.
func (i *Instance) Explain(account string) ([]string, bool) {
	inspection, ok := i.inspect(core.AccountName(account))
	return inspection.Explanations, ok
}

// inspect is inspectSession on this instance.
func (i *Instance) inspect(account core.AccountName) (session.Inspection, bool) {
	return inspectSession(i.sessionDuty.input, account)
}

// inspectSession asks the session duty for a copy of its counters and the routing
// explanations of one account, or of none when account is empty.
func inspectSession(input *ring.Ring[session.Input], account core.AccountName) (session.Inspection, bool) {
	return inspect(input, func(reply chan<- session.Inspection) session.Input {
		return session.Inspect{Account: account, Reply: reply}
	})
}

// inspect pushes a request with a reply channel into the ring of a duty and waits
// for the answer. It reports false when the ring is full or there is no answer
// within inspectTimeout. The channel is buffered, so a late answer does not block
// the duty.
func inspect[I, A any](input *ring.Ring[I], newRequest func(reply chan<- A) I) (A, bool) {
	var none A
	reply := make(chan A, 1)
	if !input.TryPush(newRequest(reply)) {
		return none, false
	}
	timeout := time.NewTimer(inspectTimeout)
	defer timeout.Stop()
	select {
	case response := <-reply:
		return response, true
	case <-timeout.C:
		return none, false
	}
}

// debugVars is the value of the expvar variable "sassafrasshunt".
type debugVars struct {
	Instance core.InstanceID       `json:"instance"`
	Domain   core.Domain           `json:"domain"`
	Ready    bool                  `json:"ready"`
	Duties   []string              `json:"duties"`
	Session  *session.Inspection   `json:"session"`
	Rings    map[string]ring.Stats `json:"rings"`
}

// debugVars collects the current values. Session is nil when the session duty does
// not answer in time.
func (i *Instance) debugVars() any {
	m := debugVars{
		Instance: i.self.Instance,
		Domain:   i.self.Domain,
		Ready:    i.Ready(),
		Duties:   append(i.logDuties.Names(), i.duties.Names()...),
		Rings: map[string]ring.Stats{
			"session":        i.sessionDuty.input.Stats(),
			"control":        i.controlDuty.input.Stats(),
			"classify":       i.classify.input.Stats(),
			"caller_io":      i.callers.Ring().Stats(),
			"target_io":      i.targets.Ring().Stats(),
			"rpc":            i.rpc.Commands().Stats(),
			"platform_calls": i.platform.Calls().Stats(),
			"telemetry":      i.telemetry.Stats(),
		},
	}
	if inspection, ok := i.inspect(""); ok {
		m.Session = &inspection
	}
	return m
}

// publishMetrics registers the expvar variable unless it exists: the registry is
// global to the process, and registering a name twice panics.
func (i *Instance) publishMetrics() {
	if expvar.Get("sassafrasshunt") == nil {
		expvar.Publish("sassafrasshunt", expvar.Func(i.debugVars))
	}
}
