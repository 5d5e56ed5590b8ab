package instance

import (
	"expvar"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// inspectBound is how long a page waits for a duty.
const inspectBound = time.Second

// Ask hands an operator's request to the control duty.
func (i *Instance) Ask(request control.OperatorRequest, reply chan<- control.OperatorAnswer) bool {
	return i.controls.input.TryPush(control.FromOperator{Request: request, Reply: reply})
}

// Explain asks the session duty why the last statements of an account went
// where they went.
func (i *Instance) Explain(account string) ([]string, bool) {
	inspection, ok := i.inspect(core.AccountName(account))
	return inspection.Explanations, ok
}

func (i *Instance) inspect(account core.AccountName) (session.Inspection, bool) {
	return inspectSession(i.sessions.input, account)
}

// inspectSession asks the session duty for a copy of its counters, with the
// explanations of one account; empty for none.
func inspectSession(input *ring.Ring[session.Input], account core.AccountName) (session.Inspection, bool) {
	return inspect(input, func(reply chan<- session.Inspection) session.Input {
		return session.Inspect{Account: account, Reply: reply}
	})
}

// inspect puts a question with room for its answer into the ring of a duty, and
// reports false when there is no answer within inspectBound.
func inspect[I, A any](input *ring.Ring[I], question func(reply chan<- A) I) (A, bool) {
	var none A
	reply := make(chan A, 1)
	if !input.TryPush(question(reply)) {
		return none, false
	}
	bound := time.NewTimer(inspectBound)
	defer bound.Stop()
	select {
	case answer := <-reply:
		return answer, true
	case <-bound.C:
		return none, false
	}
}

// metrics is the value of the variable "sassafrasshunt" of the expvar page.
type metrics struct {
	Instance core.InstanceID       `json:"instance"`
	Domain   core.Domain           `json:"domain"`
	Ready    bool                  `json:"ready"`
	Duties   []string              `json:"duties"`
	Session  *session.Inspection   `json:"session"`
	Rings    map[string]ring.Stats `json:"rings"`
}

func (i *Instance) metrics() any {
	m := metrics{
		Instance: i.self.Instance,
		Domain:   i.self.Domain,
		Ready:    i.Ready(),
		Duties:   append(i.logging.Names(), i.duties.Names()...),
		Rings: map[string]ring.Stats{
			"session":        i.sessions.input.Stats(),
			"control":        i.controls.input.Stats(),
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

// publishMetrics registers the variable once; expvar's registry is global.
func (i *Instance) publishMetrics() {
	if expvar.Get("sassafrasshunt") == nil {
		expvar.Publish("sassafrasshunt", expvar.Func(i.metrics))
	}
}
