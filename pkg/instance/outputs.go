package instance

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/callerio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/targetio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
)

// sessionOutputs writes the outputs of the session engine to the rings of other
// duties.
type sessionOutputs struct {
	callers   *ringWriter[callerio.Input]
	targets   *ringWriter[targetio.Input]
	classify  *ringWriter[session.ClassifyRequest]
	control   *ring.Ring[control.Input]
	telemetry *telemetry.Duty
}

// Caller queues a command to the caller sockets. It always succeeds; a full ring
// pauses the session duty instead.
func (o *sessionOutputs) Caller(c session.CallerCommand) bool {
	o.callers.send(callerio.SessionInput(c))
	return true
}

// Target queues a command to the target sockets, like Caller.
func (o *sessionOutputs) Target(c session.TargetCommand) bool {
	o.targets.send(targetio.SessionInput(c))
	return true
}

// Classify queues statement texts for classification, like Caller.
func (o *sessionOutputs) Classify(r session.ClassifyRequest) bool {
	o.classify.send(r)
	return true
}

// Control passes a report to the control duty, and reports false when its ring is
// full: session never waits for control, and offers the latest report again later.
func (o *sessionOutputs) Control(r session.ControlReport) bool {
	return o.control.TryPush(control.SessionReport{Report: r})
}

// Span queues a trace span when an exporter is configured.
func (o *sessionOutputs) Span(s session.Span) {
	if !o.telemetry.Tracing() {
		return
	}
	attributes := map[string]string{"caller": strconv.FormatUint(uint64(s.Caller), 10)}
	for key, value := range s.Attributes {
		attributes[key] = value
	}
	o.telemetry.Span(telemetry.Span{
		Parent: s.TraceParent, Name: s.Name, Start: s.Start, End: s.End, Attributes: attributes,
	})
}

// Peer is not used: this kind of instance runs the requests of its own callers itself.
func (o *sessionOutputs) Peer(session.PeerCommand) bool {
	return false
}

// LogDecision logs the decision on a request, such as a refusal. Refusals are also counted
// in the metrics.
func (o *sessionOutputs) LogDecision(d session.Decision) {
	o.telemetry.Log(logrus.InfoLevel, eventRequest, decisionMessage(&d), decisionFields(&d))
}

// LogMemberPace is not used: this kind of instance has no pacers.
func (o *sessionOutputs) LogMemberPace(session.MemberPace) {}

// LogConfiguration is not used: control logs the adopted configuration.
func (o *sessionOutputs) LogConfiguration(session.ConfigurationApplied) {}

// controlOutputs writes the outputs of the control engine to the rings of other
// duties.
type controlOutputs struct {
	instance *Instance
	codec    storeCodec
	rpc      *ringWriter[rpc.Command]
	calls    *ringWriter[store.Call]
	watches  *ringWriter[store.Call]
	callers  *ringWriter[callerio.Input]
	session  *ring.Ring[session.Input]
}

// controlOutputs returns the outputs of this instance's control engine.
func (i *Instance) controlOutputs() *controlOutputs {
	return &controlOutputs{
		instance: i,
		codec: storeCodec{
			self: i.self, callTimeout: i.settings.PlatformCallTimeout, leaseTTL: i.settings.LeaseTTL,
		},
		rpc:     &ringWriter[rpc.Command]{ring: i.rpc.Commands()},
		calls:   &ringWriter[store.Call]{ring: i.platform.Calls()},
		watches: &ringWriter[store.Call]{ring: i.platform.Watches()},
		callers: &ringWriter[callerio.Input]{ring: i.callers.Ring()},
		session: i.sessionDuty.input,
	}
}

// CallStore queues a platform operation: watches on one ring, all other calls on
// another. An operation that cannot be encoded is answered as unavailable, unless
// control's own ring is full.
func (o *controlOutputs) CallStore(operation control.StoreOperation) {
	call, err := o.codec.encode(operation)
	if err != nil {
		o.instance.log(logrus.ErrorLevel, "record_not_encoded", err.Error(), nil)
		response := control.StoreResponse{Operation: operation, Outcome: control.Unavailable}
		o.instance.controlDuty.input.TryPush(control.FromStore{Response: response})
		return
	}
	if _, ok := operation.(control.Watch); ok {
		o.watches.send(call)
		return
	}
	o.calls.send(call)
}

// CallMember queues a call to a member's status endpoint.
func (o *controlOutputs) CallMember(c failover.MemberCall) {
	o.rpc.send(encodeMemberCall(c))
}

// CallPeer queues a call to another instance. A message that cannot be encoded is
// answered as if the peer had not replied, unless control's own ring is full.
func (o *controlOutputs) CallPeer(c control.PeerCall) {
	call, err := encodePeerCall(c)
	if err != nil {
		o.instance.log(logrus.ErrorLevel, "peer_message_not_encoded", err.Error(), nil)
		o.instance.controlDuty.input.TryPush(control.FromPeerResponse{Call: c})
		return
	}
	o.rpc.send(call)
}

// Reply queues the reply to a peer's request. Notifications take no reply.
func (o *controlOutputs) Reply(to control.ReplyTo, m control.PeerMessage) {
	address, ok := to.(replyHandle)
	if !ok || address.id.IsNotification() {
		return
	}
	reply := rpc.Reply{Conn: address.conn, ID: address.id}
	result, err := encodePeerMessage(m)
	if err != nil {
		reply.Error = &rpc.RemoteError{Code: codeInvalidParams, Message: err.Error()}
	}
	reply.Result = result
	o.rpc.send(reply)
}

// SendSession passes an input to the session duty and reports false when its
// ring is full.
func (o *controlOutputs) SendSession(in session.Input) bool {
	return o.session.TryPush(in)
}

// PublishCatalogue gives the caller sockets the catalogue to authenticate against.
func (o *controlOutputs) PublishCatalogue(c *catalogue.Catalogue) {
	o.callers.send(callerio.Input{Control: callerio.CatalogueUpdate{Catalogue: c}})
}

// StopAccepting makes the caller sockets accept no further connections.
func (o *controlOutputs) StopAccepting() {
	o.callers.send(callerio.Input{Control: callerio.StopAccepting{}})
}

// SetReady sets what the readiness probe answers.
func (o *controlOutputs) SetReady(ready bool) {
	o.instance.ready.Store(ready)
}

// ChangeFinished logs a completed failover or switchover with the duration of
// its phases.
func (o *controlOutputs) ChangeFinished(r failover.Report) {
	o.instance.log(logrus.WarnLevel, "primary_changed", "change of primary finished", telemetry.Fields{
		"database": r.Database, "term": r.Term, "previous": r.Previous, "primary": r.Primary,
		"reason": r.Reason, "gap_ms": r.Gap().Milliseconds(),
		"detection_us": r.Detection.Microseconds(), "decision_us": r.Decision.Microseconds(),
		"fencing_us": r.Fencing.Microseconds(), "promotion_us": r.Promotion.Microseconds(),
		"announcement_us": r.Announcement.Microseconds(),
	})
}

// Log queues a log line.
func (o *controlOutputs) Log(l control.LogEvent) {
	o.instance.log(logLevel(l.Warning), l.Event, l.Message, telemetry.Fields(l.Fields))
}

// logLevel returns the level of a line that is a warning or not.
func logLevel(warning bool) logrus.Level {
	if warning {
		return logrus.WarnLevel
	}
	return logrus.InfoLevel
}

// Stopped ends the run: the planned stop is complete.
func (o *controlOutputs) Stopped() {
	o.instance.finish()
}

// deliverRPC decodes an event of the rpc duty and passes it to control. It reports
// false when control's ring is full; the rpc duty is then woken once there is free space.
func (i *Instance) deliverRPC(event rpc.Event) bool {
	in := i.rpcInput(event)
	return in == nil || pushOrNotify(i.controlDuty.input, in, i.rpc)
}

// rpcInput decodes an event of the rpc duty; nil for an event that control does not
// get. It answers invalid requests itself.
func (i *Instance) rpcInput(event rpc.Event) control.Input {
	switch e := event.(type) {
	case rpc.Request:
		message, remote := decodePeerRequest(e.Method, e.Params)
		if remote != nil {
			i.rpc.Send(rpc.Reply{Conn: e.Conn, ID: e.ID, Error: remote})
			return nil
		}
		return control.FromPeer{Reply: replyHandle{conn: e.Conn, id: e.ID}, Message: message}
	case rpc.Result:
		switch tag := e.Tag.(type) {
		case memberTag:
			return decodeMemberResult(tag, e)
		case control.PeerCall:
			return decodePeerResult(tag, e)
		}
	}
	return nil
}

// deliverPlatform decodes a result of the platform duty and passes it to control. It
// reports false when control's ring is full; the thread that made the call is then woken
// once there is free space.
func (i *Instance) deliverPlatform(r store.Result) bool {
	in := (&storeCodec{}).decode(r)
	waker := i.callSpace
	if _, ok := r.Op.(store.WatchOp); ok {
		waker = i.watchSpace
	}
	return pushOrNotify(i.controlDuty.input, in, waker)
}
