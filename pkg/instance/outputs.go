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

// sessionOutputs puts the outputs of the session engine into rings.
type sessionOutputs struct {
	callers   *port[callerio.Input]
	targets   *port[targetio.Input]
	classify  *port[session.ClassifyRequest]
	control   *ring.Ring[control.Input]
	telemetry *telemetry.Duty
}

func (o *sessionOutputs) Caller(c session.CallerCommand) bool {
	o.callers.send(callerio.FromSession(c))
	return true
}

func (o *sessionOutputs) Target(c session.TargetCommand) bool {
	o.targets.send(targetio.FromSession(c))
	return true
}

func (o *sessionOutputs) Classify(r session.ClassifyRequest) bool {
	o.classify.send(r)
	return true
}

// Control hands over a report, unless the ring is full: session never waits for
// control, and offers the newest report again.
func (o *sessionOutputs) Control(r session.ControlReport) bool {
	return o.control.TryPush(control.FromSession{Report: r})
}

func (o *sessionOutputs) Span(s session.Span) {
	if !o.telemetry.Tracing() {
		return
	}
	attributes := map[string]string{"caller": strconv.FormatUint(uint64(s.Caller), 10)}
	for key, value := range s.Attributes {
		attributes[key] = value
	}
	o.telemetry.Span(telemetry.Span{
		Parent: s.Trace, Name: s.Name, Start: s.Start, End: s.End, Attributes: attributes,
	})
}

// Peer is not used: every instance runs the requests of its own callers.
func (o *sessionOutputs) Peer(session.PeerCommand) bool {
	return false
}

// Note writes the refusals; they are counted as well.
func (o *sessionOutputs) Note(d session.Decision) {
	o.telemetry.Log(logrus.InfoLevel, eventRequest, decisionMessage(&d), decisionFields(&d))
}

// controlOutputs puts the outputs of the control engine into rings.
type controlOutputs struct {
	instance *Instance
	bridge   storeBridge
	rpc      *port[rpc.Command]
	calls    *port[store.Call]
	watches  *port[store.Call]
	callers  *port[callerio.Input]
	session  *ring.Ring[session.Input]
}

func (i *Instance) controlOutputs() *controlOutputs {
	return &controlOutputs{
		instance: i,
		bridge: storeBridge{
			self: i.self, callTimeout: i.settings.PlatformCallTimeout, leaseTTL: i.settings.LeaseTTL,
		},
		rpc:     &port[rpc.Command]{ring: i.rpc.Commands()},
		calls:   &port[store.Call]{ring: i.platform.Calls()},
		watches: &port[store.Call]{ring: i.platform.Watches()},
		callers: &port[callerio.Input]{ring: i.callers.Ring()},
		session: i.sessions.input,
	}
}

func (o *controlOutputs) Store(operation control.StoreOperation) {
	call, err := o.bridge.encode(operation)
	if err != nil {
		o.instance.log(logrus.ErrorLevel, "record_not_encoded", err.Error(), nil)
		answer := control.StoreAnswer{Operation: operation, Outcome: control.Unavailable}
		o.instance.controls.input.TryPush(control.FromStore{Answer: answer})
		return
	}
	if _, ok := operation.(control.Watch); ok {
		o.watches.send(call)
		return
	}
	o.calls.send(call)
}

func (o *controlOutputs) Member(c failover.MemberCall) {
	o.rpc.send(encodeMemberCall(c))
}

func (o *controlOutputs) Peer(c control.PeerCall) {
	call, err := encodePeerCall(c)
	if err != nil {
		o.instance.log(logrus.ErrorLevel, "peer_message_not_encoded", err.Error(), nil)
		o.instance.controls.input.TryPush(control.FromPeerAnswer{Call: c})
		return
	}
	o.rpc.send(call)
}

func (o *controlOutputs) Reply(to control.ReplyTo, m control.PeerMessage) {
	address, ok := to.(replyTo)
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

func (o *controlOutputs) Session(in session.Input) bool {
	return o.session.TryPush(in)
}

func (o *controlOutputs) Callers(c *catalogue.Catalogue) {
	o.callers.send(callerio.Input{Control: callerio.Publish{Catalogue: c}})
}

func (o *controlOutputs) StopAccepting() {
	o.callers.send(callerio.Input{Control: callerio.StopAccepting{}})
}

func (o *controlOutputs) Ready(ready bool) {
	o.instance.ready.Store(ready)
}

func (o *controlOutputs) Finished(r failover.Report) {
	o.instance.log(logrus.WarnLevel, "primary_changed", "change of primary finished", telemetry.Fields{
		"database": r.Database, "term": r.Term, "previous": r.Previous, "primary": r.Primary,
		"reason": r.Reason, "gap_ms": r.Gap().Milliseconds(),
		"detection_us": r.Detection.Microseconds(), "decision_us": r.Decision.Microseconds(),
		"fencing_us": r.Fencing.Microseconds(), "promotion_us": r.Promotion.Microseconds(),
		"announcement_us": r.Announcement.Microseconds(),
	})
}

func (o *controlOutputs) Log(l control.LogEvent) {
	o.instance.log(logLevel(l.Warning), l.Event, l.Message, telemetry.Fields(l.Fields))
}

func logLevel(warning bool) logrus.Level {
	if warning {
		return logrus.WarnLevel
	}
	return logrus.InfoLevel
}

func (o *controlOutputs) Stopped() {
	o.instance.finish()
}

// deliverRPC decodes the events of the rpc duty for control.
func (i *Instance) deliverRPC(event rpc.Event) bool {
	in := i.rpcInput(event)
	return in == nil || deliver(i.controls.input, in, i.rpc)
}

func (i *Instance) rpcInput(event rpc.Event) control.Input {
	switch e := event.(type) {
	case rpc.Request:
		message, remote := decodePeerRequest(e.Method, e.Params)
		if remote != nil {
			i.rpc.Send(rpc.Reply{Conn: e.Conn, ID: e.ID, Error: remote})
			return nil
		}
		return control.FromPeer{Reply: replyTo{conn: e.Conn, id: e.ID}, Message: message}
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

// deliverPlatform decodes the results of the platform duty for control.
func (i *Instance) deliverPlatform(r store.Result) bool {
	in := (&storeBridge{}).decode(r)
	room := i.callRoom
	if _, ok := r.Op.(store.WatchOp); ok {
		room = i.watchRoom
	}
	return deliver(i.controls.input, in, room)
}
