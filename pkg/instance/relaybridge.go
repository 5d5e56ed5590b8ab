package instance

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/clock"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fleet"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/relay"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/rpc"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/telemetry"
)

// Tags of calls to other instances.
type (
	relayTag struct {
		id      session.RelayID
		address session.PeerAddress
	}
	configurationTag struct{}
	opinionTag       struct {
		subject session.Subject
		node    string
	}
	pingTag  struct{ address session.PeerAddress }
	reachTag struct{}
	leaveTag struct{}
	roomTag  struct{}
)

const (
	// relaySlack is how much longer a relayed request may take than session waits for it.
	relaySlack = time.Second
	// shortCall bounds calls that take no time at the other instance.
	shortCall = 500 * time.Millisecond
)

// Peer encodes a command to another instance.
func (o *hostedSession) Peer(c session.PeerCommand) bool {
	switch m := c.(type) {
	case session.RelayRequest:
		params := relay.NewRequest(o.hosted.self.ID, session.PeerAddress(o.hosted.self.Peer), m, clock.Now())
		o.peers.send(rpc.Call{
			Tag: relayTag{id: m.ID, address: m.Address}, Address: string(m.Address),
			Method: relay.MethodRelay, Params: params, Timeout: m.Within + relaySlack,
		})
	case session.RelayEnd:
		params := relay.Leave{Instance: o.hosted.self.ID, Caller: uint64(m.Caller)}
		o.peers.send(rpc.Call{Tag: leaveTag{}, Address: string(m.Address), Method: relay.MethodLeave, Params: params, Timeout: shortCall})
	case session.RoomRequest:
		o.peers.send(rpc.Call{
			Tag: roomTag{}, Address: string(m.Address), Method: relay.MethodRoom, Params: relay.Room{Member: m.Member}, Timeout: shortCall,
		})
	case session.PeerProbe:
		o.peers.send(o.hosted.ping(pingTag{address: m.Address}, m.Address))
	case session.Heard:
		if to, ok := m.Reply.(replyTo); ok {
			o.peers.send(rpc.Reply{Conn: to.conn, ID: to.id, Result: relay.HeardAnswer{
				Known: m.Known, SilenceMillis: m.Silence.Milliseconds(), AgoMillis: m.Ago.Milliseconds(),
			}})
		}
	case session.RelayAnswer:
		if to, ok := m.Reply.(replyTo); ok {
			o.peers.send(rpc.Reply{Conn: to.conn, ID: to.id, Result: relay.NewAnswer(m)})
		}
	}
	return true
}

// ping asks another instance for a sign of life.
func (h *Hosted) ping(tag any, address session.PeerAddress) rpc.Call {
	return rpc.Call{
		Tag: tag, Address: string(address), Method: relay.MethodPing, Params: relay.Ping{Instance: h.self.ID}, Timeout: shortCall,
	}
}

// deliverPeer decodes an event of the rpc duty for session.
func (h *Hosted) deliverPeer(event rpc.Event) bool {
	in := h.peerInput(event)
	return in == nil || deliver(h.sessions.input, in, h.rpc)
}

func (h *Hosted) peerInput(event rpc.Event) session.Input {
	switch e := event.(type) {
	case rpc.Request:
		return h.peerRequest(e)
	case rpc.Result:
		switch tag := e.Tag.(type) {
		case relayTag:
			return relayResult(tag, e)
		case opinionTag:
			h.takeOpinion(tag, e)
		case reachTag:
			if e.Err == nil {
				h.fleets.input.TryPush(fleet.InstanceHeard{})
			}
		case configurationTag:
			h.takeConfiguration(e)
		case feedTag:
			h.feedCalls.take(tag, e)
		case pingTag:
			if e.Err == nil {
				return session.PeerAlive{Address: tag.address}
			}
		}
	}
	return nil
}

func (h *Hosted) peerRequest(r rpc.Request) session.Input {
	switch r.Method {
	case relay.MethodPing:
		var ping relay.Ping
		if !h.acknowledge(r, &ping) {
			return nil
		}
		return session.OriginAlive{Instance: ping.Instance}
	case relay.MethodRoom:
		var room relay.Room
		if !h.acknowledge(r, &room) {
			return nil
		}
		return session.RoomAsked{Member: room.Member}
	case relay.MethodHeard:
		var question relay.HeardQuestion
		if !h.decodePeer(r, &question) {
			return nil
		}
		return session.HeardAsked{
			Reply: replyTo{conn: r.Conn, id: r.ID}, Subject: session.Subject{Member: question.Member, Home: question.Home},
		}
	case relay.MethodFeed:
		h.askFeed(r)
		return nil
	case relay.MethodConfiguration:
		if !h.fleets.input.TryPush(fleet.ConfigurationAsked{Reply: replyTo{conn: r.Conn, id: r.ID}}) {
			h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Error: &rpc.RemoteError{Message: "overloaded"}})
		}
		return nil
	case relay.MethodLeave:
		var leave relay.Leave
		if !h.acknowledge(r, &leave) {
			return nil
		}
		return session.RemoteGone{Caller: session.RemoteID{Instance: leave.Instance, Caller: session.CallerID(leave.Caller)}}
	case relay.MethodRelay:
		var request relay.Request
		if !h.decodePeer(r, &request) {
			return nil
		}
		in, err := request.Input(replyTo{conn: r.Conn, id: r.ID}, clock.Now())
		if err != nil {
			h.refusePeer(r, err)
			return nil
		}
		return in
	}
	h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Error: &rpc.RemoteError{Message: "unknown method " + r.Method}})
	return nil
}

// takeOpinion hands what another instance has heard of the subject to the fleet
// duty. One that does not answer says nothing.
func (h *Hosted) takeOpinion(tag opinionTag, r rpc.Result) {
	var a relay.HeardAnswer
	if r.Err != nil || json.Unmarshal(r.Raw, &a) != nil {
		return
	}
	h.fleets.input.TryPush(fleet.Opinion{
		Subject: tag.subject, Node: tag.node, Known: a.Known,
		Silence: time.Duration(a.SilenceMillis) * time.Millisecond, Ago: time.Duration(a.AgoMillis) * time.Millisecond,
	})
}

// takeConfiguration hands another instance's configuration to the fleet duty. A
// full ring drops it; it is asked for again.
func (h *Hosted) takeConfiguration(r rpc.Result) {
	var c fleet.Configuration
	if r.Err != nil || json.Unmarshal(r.Raw, &c) != nil || c.Version == 0 {
		h.log(logrus.WarnLevel, "configuration_not_fetched", "another instance did not give its configuration", nil)
		return
	}
	h.fleets.input.TryPush(fleet.ConfigurationGiven{Configuration: &c})
}

// decodePeer answers a request that cannot be decoded with an error.
func (h *Hosted) decodePeer(r rpc.Request, params any) bool {
	err := json.Unmarshal(r.Params, params)
	if err == nil {
		return true
	}
	h.refusePeer(r, err)
	return false
}

// acknowledge decodes a request whose answer says only that it has arrived.
func (h *Hosted) acknowledge(r rpc.Request, params any) bool {
	if !h.decodePeer(r, params) {
		return false
	}
	h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Result: struct{}{}})
	return true
}

func (h *Hosted) refusePeer(r rpc.Request, err error) {
	h.log(logrus.WarnLevel, "peer_request_invalid", err.Error(), telemetry.Fields{"method": r.Method})
	h.rpc.Send(rpc.Reply{Conn: r.Conn, ID: r.ID, Error: &rpc.RemoteError{Message: err.Error()}})
}

// relayResult decodes the answer to a relayed request, or tells what is known of one
// without an answer.
func relayResult(tag relayTag, r rpc.Result) session.Input {
	lost := session.RelayLost{ID: tag.id, Address: tag.address}
	if r.Err == nil {
		var encoded relay.Answer
		if json.Unmarshal(r.Raw, &encoded) != nil {
			return lost
		}
		answer, err := encoded.Decode()
		if err != nil {
			return lost
		}
		return session.RelayResult{ID: tag.id, Address: tag.address, Answer: answer}
	}
	lost.Refused = errors.As(r.Err, new(*rpc.RefusedError))
	lost.Unsent = lost.Refused || errors.As(r.Err, new(*rpc.OverloadError)) || errors.As(r.Err, new(*rpc.EncodeError)) ||
		errors.As(r.Err, new(*rpc.RemoteError))
	return lost
}
