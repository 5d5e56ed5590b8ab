package instance

import (
	"encoding/json"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/relay"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
)

// handoverTag identifies the call of a step of a handover in its result.
type handoverTag struct {
	node    string
	request fleet.HandoverRequest
}

// RequestHandover sends a step of a handover to the successor of a home. The request is
// dropped when the rpc ring is full; the fleet engine then goes on without an answer.
func (o *hostedFleetOutputs) RequestHandover(to fleet.Instance, request fleet.HandoverRequest) {
	o.hosted.rpc.Send(rpc.Call{
		Tag: handoverTag{node: to.Node, request: request}, Address: to.Peer,
		Method: relay.MethodHandover, Params: request, Timeout: shortCallTimeout,
	})
}

// AnswerHandover answers another instance's step of a handover.
func (o *hostedFleetOutputs) AnswerHandover(replyTo any, response fleet.HandoverResponse) {
	if to, ok := replyTo.(replyHandle); ok {
		o.hosted.rpc.Send(rpc.Reply{Conn: to.conn, ID: to.id, Result: response})
	}
}

// handleHandoverRequest passes another instance's step of a handover to the fleet duty.
func (h *Hosted) handleHandoverRequest(r rpc.Request) {
	var request fleet.HandoverRequest
	if !h.decodeOrReject(r, &request) {
		return
	}
	if !h.fleetDuty.input.TryPush(fleet.HandoverRequested{Request: request, ReplyTo: replyHandle{conn: r.Conn, id: r.ID}}) {
		h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Error: &rpc.RemoteError{Message: "overloaded"}})
	}
}

// handleHandoverResponse passes the successor's answer to the fleet duty. An instance that
// does not respond, or does not know handovers, has not accepted.
func (h *Hosted) handleHandoverResponse(tag handoverTag, r rpc.Result) {
	var response fleet.HandoverResponse
	if r.Err != nil || json.Unmarshal(r.Raw, &response) != nil {
		response = fleet.HandoverResponse{}
	}
	h.fleetDuty.input.TryPush(fleet.HandoverAnswered{Node: tag.node, Request: tag.request, Response: response})
}
