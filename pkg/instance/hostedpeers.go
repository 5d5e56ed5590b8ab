package instance

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/relay"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
)

// Tags that identify calls to other instances in their results.
type (
	relayTag struct {
		id      session.RelayID
		address session.PeerAddress
	}
	configurationTag struct{}
	livenessTag      struct {
		subject session.LivenessSubject
		node    string
	}
	pingTag          struct{ address session.PeerAddress }
	instanceProbeTag struct{ sentAt time.Time }
	revocationTag    struct {
		node   string
		member core.MemberID
	}
	endSessionTag        struct{}
	releaseConnectionTag struct{}
)

const (
	// relayTimeoutMargin is how much longer the call of a relayed request may take than
	// session waits for it.
	relayTimeoutMargin = time.Second
	// shortCallTimeout bounds calls that the other instance answers at once.
	shortCallTimeout = 500 * time.Millisecond
)

// Peer encodes and queues a command to another instance.
func (o *hostedSessionOutputs) Peer(c session.PeerCommand) bool {
	switch m := c.(type) {
	case session.RelayRequest:
		params := relay.NewRequest(o.hosted.self.ID, session.PeerAddress(o.hosted.self.Peer), m, clock.Now())
		o.peers.send(rpc.Call{
			Tag: relayTag{id: m.ID, address: m.Address}, Address: string(m.Address),
			Method: relay.MethodRelay, Params: params, Timeout: m.Timeout + relayTimeoutMargin,
		})
	case session.RelayEnd:
		params := relay.EndSession{Instance: o.hosted.self.ID, Caller: uint64(m.Caller), Sequence: m.Sequence}
		o.peers.send(rpc.Call{Tag: endSessionTag{}, Address: string(m.Address), Method: relay.MethodEndSession, Params: params, Timeout: shortCallTimeout})
	case session.ReleaseConnectionRequest:
		o.peers.send(rpc.Call{
			Tag: releaseConnectionTag{}, Address: string(m.Address), Method: relay.MethodReleaseConnection,
			Params: relay.ReleaseConnection{Member: m.Member}, Timeout: shortCallTimeout,
		})
	case session.PeerProbe:
		o.peers.send(o.hosted.ping(pingTag{address: m.Address}, m.Address))
	case session.LivenessReport:
		if to, ok := m.ReplyTo.(replyHandle); ok {
			o.peers.send(rpc.Reply{Conn: to.conn, ID: to.id, Result: relay.LivenessResponse{
				Known: m.Known, UnresponsiveMillis: m.UnresponsiveFor.Milliseconds(), SinceContactMillis: m.SinceContact.Milliseconds(),
			}})
		}
	case session.RevocationConfirmed:
		if to, ok := m.ReplyTo.(replyHandle); ok {
			o.peers.send(rpc.Reply{Conn: to.conn, ID: to.id, Result: struct{}{}})
		}
	case session.RelayResponse:
		if to, ok := m.ReplyTo.(replyHandle); ok {
			o.peers.send(rpc.Reply{Conn: to.conn, ID: to.id, Result: relay.NewResponse(m)})
		}
	}
	return true
}

// ping returns the call that pings another instance.
func (h *Hosted) ping(tag any, address session.PeerAddress) rpc.Call {
	return rpc.Call{
		Tag: tag, Address: string(address), Method: relay.MethodPing, Params: relay.Ping{Instance: h.self.ID}, Timeout: shortCallTimeout,
	}
}

// deliverPeer decodes an event of the rpc duty and passes it to session. It reports
// false when session's ring is full; the rpc duty is then woken once there is free
// space, and offers the event again.
func (h *Hosted) deliverPeer(event rpc.Event) bool {
	in := h.peerInput(event)
	if in == nil {
		return true
	}
	if !pushOrNotify(h.sessionDuty.input, in, h.rpc) {
		return false
	}
	h.acknowledge(event)
	return true
}

// acknowledge answers a request that session has accepted and does not answer itself
// with an empty result. It must be called once for a request.
func (h *Hosted) acknowledge(event rpc.Event) {
	r, ok := event.(rpc.Request)
	if !ok {
		return
	}
	switch r.Method {
	case relay.MethodPing, relay.MethodReleaseConnection, relay.MethodEndSession:
		h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Result: struct{}{}})
	}
}

// peerInput decodes an event of the rpc duty. It returns the input for session, or
// nil when the event was handled here or passed to another duty. It may be called
// several times for an event that has an input.
func (h *Hosted) peerInput(event rpc.Event) session.Input {
	switch e := event.(type) {
	case rpc.Request:
		return h.peerRequest(e)
	case rpc.Result:
		switch tag := e.Tag.(type) {
		case relayTag:
			return relayResult(tag, e)
		case livenessTag:
			h.handleLivenessReport(tag, e)
		case instanceProbeTag:
			if e.Err == nil {
				h.fleetDuty.input.TryPush(fleet.ProbeResponse{SentAt: tag.sentAt})
			}
		case revocationTag:
			if e.Err == nil {
				h.fleetDuty.input.TryPush(fleet.RevocationConfirmed{Node: tag.node, Member: tag.member})
			}
		case handoverTag:
			h.handleHandoverResponse(tag, e)
		case configurationTag:
			h.handleConfiguration(e)
		case feedTag:
			h.feedClient.complete(tag, e)
		case pingTag:
			if e.Err == nil {
				return session.PeerProbeReply{Address: tag.address}
			}
		}
	}
	return nil
}

// peerRequest decodes a request of another instance. It returns the input for session,
// or nil when the request was answered here or passed to the fleet duty.
func (h *Hosted) peerRequest(r rpc.Request) session.Input {
	switch r.Method {
	case relay.MethodPing:
		var ping relay.Ping
		if !h.decodeOrReject(r, &ping) {
			return nil
		}
		return session.OriginHeartbeat{Instance: ping.Instance}
	case relay.MethodReleaseConnection:
		var release relay.ReleaseConnection
		if !h.decodeOrReject(r, &release) {
			return nil
		}
		return session.ReleaseConnectionRequested{Member: release.Member}
	case relay.MethodLiveness:
		var query relay.LivenessRequest
		if !h.decodeOrReject(r, &query) {
			return nil
		}
		return session.LivenessQuery{
			ReplyTo: replyHandle{conn: r.Conn, id: r.ID}, Subject: session.LivenessSubject{Member: query.Member, Home: query.Home},
		}
	case relay.MethodRevokePrimary:
		var revoke relay.RevokePrimary
		if !h.decodeOrReject(r, &revoke) {
			return nil
		}
		return session.PrimaryRevoked{ReplyTo: replyHandle{conn: r.Conn, id: r.ID}, Database: revoke.Group, Member: revoke.Member}
	case relay.MethodFeed:
		h.handleFeedRequest(r)
		return nil
	case relay.MethodHandover:
		h.handleHandoverRequest(r)
		return nil
	case relay.MethodConfiguration:
		h.handleConfigurationRequest(r)
		return nil
	case relay.MethodEndSession:
		var end relay.EndSession
		if !h.decodeOrReject(r, &end) {
			return nil
		}
		caller := session.RemoteID{Instance: end.Instance, Caller: session.CallerID(end.Caller)}
		return session.RemoteClosed{Caller: caller, Sequence: end.Sequence}
	case relay.MethodRelay:
		var request relay.Request
		if !h.decodeOrReject(r, &request) {
			return nil
		}
		in, err := request.Decode(replyHandle{conn: r.Conn, id: r.ID}, r.ReceivedAt)
		if err != nil {
			h.rejectRequest(r, err)
			return nil
		}
		return in
	}
	h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Error: &rpc.RemoteError{Message: "unknown method " + r.Method}})
	return nil
}

// handleLivenessReport passes another instance's liveness report about the subject to the
// fleet duty. An instance that does not respond is ignored.
func (h *Hosted) handleLivenessReport(tag livenessTag, r rpc.Result) {
	var response relay.LivenessResponse
	if r.Err != nil || json.Unmarshal(r.Raw, &response) != nil {
		return
	}
	h.fleetDuty.input.TryPush(fleet.LivenessReport{
		Subject: tag.subject, Node: tag.node, Known: response.Known,
		UnresponsiveFor: time.Duration(response.UnresponsiveMillis) * time.Millisecond,
		SinceContact:    time.Duration(response.SinceContactMillis) * time.Millisecond,
	})
}

// handleConfigurationRequest passes another instance's request for the configuration to the
// fleet duty. Earlier versions send no parameters.
func (h *Hosted) handleConfigurationRequest(r rpc.Request) {
	var params relay.ConfigurationRequest
	if len(r.Params) > 0 && !h.decodeOrReject(r, &params) {
		return
	}
	request := fleet.ConfigurationRequest{ReplyTo: replyHandle{conn: r.Conn, id: r.ID, packed: params.Packed}}
	if !h.fleetDuty.input.TryPush(request) {
		h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Error: &rpc.RemoteError{Message: "overloaded"}})
	}
}

// handleConfiguration passes another instance's configuration to the fleet duty. It
// is dropped when the ring is full; the fleet duty requests it again.
func (h *Hosted) handleConfiguration(r rpc.Result) {
	err := r.Err
	var c *fleet.Configuration
	if err == nil {
		c, err = unpackConfiguration(r.Raw)
	}
	switch {
	case err != nil:
		h.log(logrus.WarnLevel, "configuration_not_fetched", err.Error(), nil)
	case c.Version == 0:
		h.log(logrus.WarnLevel, "configuration_not_fetched", "another instance has no configuration", nil)
	default:
		h.fleetDuty.input.TryPush(fleet.ConfigurationReceived{Configuration: c})
	}
}

// decodeOrReject decodes the parameters of a request into params. When they cannot
// be decoded it answers the request with an error and reports false.
func (h *Hosted) decodeOrReject(r rpc.Request, params any) bool {
	err := json.Unmarshal(r.Params, params)
	if err == nil {
		return true
	}
	h.rejectRequest(r, err)
	return false
}

// rejectRequest logs an invalid request and answers it with the error.
func (h *Hosted) rejectRequest(r rpc.Request, err error) {
	h.log(logrus.WarnLevel, "peer_request_invalid", err.Error(), telemetry.Fields{"method": r.Method})
	h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Error: &rpc.RemoteError{Message: err.Error()}})
}

// rejectedRequest reports whether the other instance rejected the request without
// executing it.
func rejectedRequest(err error) bool {
	var remote *rpc.RemoteError
	return errors.As(err, &remote) && remote.Code != rpc.CodeInternal
}

// relayResult decodes the response to a relayed request. Without a valid response it
// returns a session.RelayLost, which says whether the request may have run.
func relayResult(tag relayTag, r rpc.Result) session.Input {
	lost := session.RelayLost{ID: tag.id, Address: tag.address}
	if r.Err == nil {
		var encoded relay.Response
		if json.Unmarshal(r.Raw, &encoded) != nil {
			return lost
		}
		response, err := encoded.Decode()
		if err != nil {
			return lost
		}
		return session.RelayResult{ID: tag.id, Address: tag.address, Response: response}
	}
	lost.Refused = errors.As(r.Err, new(*rpc.RefusedError))
	lost.Unsent = lost.Refused || errors.As(r.Err, new(*rpc.NotAcceptedError)) || errors.As(r.Err, new(*rpc.OverloadError)) ||
		errors.As(r.Err, new(*rpc.EncodeError)) || rejectedRequest(r.Err)
	return lost
}
