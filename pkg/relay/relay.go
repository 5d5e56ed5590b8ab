// Package relay defines the JSON-RPC messages between instances, in particular
// those by which an instance forwards the requests of its callers to the home of
// their account.
package relay

import (
	"time"
	"unicode/utf8"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Methods of the protocol between instances.
const (
	// MethodRelay executes a request: Request -> Response.
	MethodRelay = "relay"
	// MethodEndSession ends a relayed session or transaction:
	// EndSession -> {}.
	MethodEndSession = "leave"
	// MethodConfiguration requests the current configuration: ConfigurationRequest ->
	// fleet.Configuration, or its compressed form.
	MethodConfiguration = "configuration"
	// MethodFeed requests the store's changes from a feeder: FeedRequest ->
	// fleet.FeedResponse.
	MethodFeed = "feed"
	// MethodLiveness requests a liveness report about a member or a home:
	// LivenessRequest -> LivenessResponse.
	MethodLiveness = "heard"
	// MethodReleaseConnection requests the release of an unused connection to a
	// member at its connection limit: ReleaseConnection -> {}.
	MethodReleaseConnection = "room"
	// MethodRevokePrimary ends the use of a primary that is about to be replaced:
	// RevokePrimary -> {}, sent once the receiver no longer uses it.
	MethodRevokePrimary = "revoke_primary"
	// MethodHandover is a step of the handover of a home to the receiver:
	// fleet.HandoverRequest -> fleet.HandoverResponse.
	MethodHandover = "hand_over"
	// MethodPing tells the receiver that the sender is alive, and checks that the
	// receiver is: Ping -> {}.
	MethodPing = "ping"
)

// Request is a request of another instance's caller. The JSON names are short
// because relayed requests are most of the traffic between failure domains.
type Request struct {
	// Instance identifies the run of the sending instance, From is its address, and
	// Caller identifies its caller.
	Instance core.InstanceID     `json:"i"`
	From     session.PeerAddress `json:"f"`
	Caller   uint64              `json:"c"`
	Entry    core.EntryName      `json:"e"`
	// Key identifies the caller's key. It is not the key itself.
	Key core.KeyID `json:"k,omitempty"`
	// Floor is a position in the form "term/lsn", empty for none.
	Floor   string `json:"p,omitempty"`
	Version uint64 `json:"v"`
	// Sequence, OutsideTransaction, TransactionSequence, FirstInTransaction and
	// ReadOnly are as in session.RemoteRequest.
	Sequence            uint64 `json:"s"`
	OutsideTransaction  bool   `json:"b,omitempty"`
	TransactionSequence uint64 `json:"t,omitempty"`
	FirstInTransaction  bool   `json:"o,omitempty"`
	ReadOnly            bool   `json:"r,omitempty"`
	// ElapsedMicros is the time since the request arrived at the sender, in
	// microseconds.
	ElapsedMicros int64 `json:"u"`
	// TimeoutMicros is the time that is left for the answer, in microseconds; zero leaves
	// it to the time limit of the entry.
	TimeoutMicros int64        `json:"l,omitempty"`
	Kind          session.Kind `json:"q,omitempty"`
	// Ends is the name of the statement that ends a transaction.
	Ends     string                      `json:"n,omitempty"`
	Commit   bool                        `json:"m,omitempty"`
	ID       string                      `json:"d"`
	Text     string                      `json:"x"`
	Settings []session.Setting           `json:"w,omitempty"`
	Prepared []session.PreparedStatement `json:"a,omitempty"`
	// Raw holds the texts as bytes if one of them is not valid UTF-8.
	Raw *rawTexts `json:"y,omitempty"`
}

// Response is the response to a Request. Its fields are those of session.RelayResponse.
type Response struct {
	NotServed bool   `json:"e,omitempty"`
	Version   uint64 `json:"v,omitempty"`
	Frames    string `json:"f,omitempty"`
	// RawFrames replaces Frames if these are not valid UTF-8.
	RawFrames []byte `json:"y,omitempty"`
	TxStatus  string `json:"t,omitempty"`
	// Position is a position in the form "term/lsn", empty for none.
	Position string `json:"p,omitempty"`
	// PositionProof is the proven position of the primary in the form
	// "term/lsn", empty for none. ProofAgeMicros is the time since the primary
	// was asked for it, in microseconds.
	PositionProof  string        `json:"n,omitempty"`
	ProofAgeMicros int64         `json:"a,omitempty"`
	ErrorCode      string        `json:"s,omitempty"`
	Refusal        *core.Refusal `json:"r,omitempty"`
	Closing        bool          `json:"c,omitempty"`
}

// FeedRequest requests the changes after a revision of the store. WaitMillis
// limits the wait for them.
type FeedRequest struct {
	After      uint64 `json:"after"`
	WaitMillis int64  `json:"wait_ms"`
	// Packed is set if the requester reads compressed configurations.
	Packed bool `json:"packed,omitempty"`
}

// ConfigurationRequest requests the current configuration. Packed is as in FeedRequest.
type ConfigurationRequest struct {
	Packed bool `json:"packed,omitempty"`
}

// ReleaseConnection requests the release of an unused connection to a member
// that accepts no more connections.
type ReleaseConnection struct {
	Member core.MemberID `json:"m"`
}

// LivenessRequest requests a liveness report about a member or about the home at an
// address.
type LivenessRequest struct {
	Member core.MemberID       `json:"member,omitempty"`
	Home   session.PeerAddress `json:"home,omitempty"`
}

// LivenessResponse is a liveness report: what an instance last received from the
// subject, as in session.LivenessReport.
type LivenessResponse struct {
	Known              bool  `json:"known"`
	UnresponsiveMillis int64 `json:"silence_ms"`
	SinceContactMillis int64 `json:"ago_ms"`
}

// Ping tells the receiver that the sender, Instance, is alive.
type Ping struct {
	Instance core.InstanceID `json:"instance"`
}

// RevokePrimary ends the use of a group's primary that is about to be replaced.
type RevokePrimary struct {
	Group  core.DatabaseName `json:"group"`
	Member core.MemberID     `json:"member"`
}

// EndSession ends a relayed session or transaction. Sequence is as in session.RelayEnd.
type EndSession struct {
	Instance core.InstanceID `json:"instance"`
	Caller   uint64          `json:"caller"`
	Sequence uint64          `json:"sequence,omitempty"`
}

// NewRequest encodes a request. self and from identify the sending instance; now is
// the sender's current time.
func NewRequest(self core.InstanceID, from session.PeerAddress, v session.RelayRequest, now time.Time) Request {
	p := v.Request.Payload
	request := Request{
		Instance: self, From: from, Caller: uint64(v.ID.Caller), Entry: v.Entry, Key: v.Key, Floor: encodePosition(v.Floor),
		Version: v.Version, Sequence: v.ID.Sequence, OutsideTransaction: v.OutsideTransaction, TransactionSequence: v.TransactionSequence,
		FirstInTransaction: v.FirstInTransaction, ReadOnly: v.ReadOnly, ElapsedMicros: now.Sub(v.Request.Arrived).Microseconds(),
		Kind: v.Request.Classification.Kind, Ends: v.Request.Classification.Name, Commit: v.Request.Classification.Commit,
		ID: p.ID, Text: string(p.Frames), Settings: p.Settings, Prepared: p.Prepared,
	}
	if v.ShortDeadline {
		request.TimeoutMicros = max(v.Timeout.Microseconds(), 1)
	}
	if request.hasInvalidText() {
		request.Raw = newRawTexts(&request)
	}
	return request
}

// Decode decodes a request; replyTo is returned with the response and receivedAt is when
// this instance received it. It returns a *core.PositionError for a malformed
// position and a *TextError for texts that do not match.
func (v *Request) Decode(replyTo any, receivedAt time.Time) (session.RemoteRequest, error) {
	floor, err := decodePosition(v.Floor)
	if err != nil {
		return session.RemoteRequest{}, err
	}
	if err := v.restoreTexts(); err != nil {
		return session.RemoteRequest{}, err
	}
	return session.RemoteRequest{
		Caller: session.RemoteID{Instance: v.Instance, Caller: session.CallerID(v.Caller)},
		From:   v.From, ReplyTo: replyTo, Entry: v.Entry, Key: v.Key, Floor: floor, Version: v.Version,
		Sequence: v.Sequence, OutsideTransaction: v.OutsideTransaction, TransactionSequence: v.TransactionSequence,
		FirstInTransaction: v.FirstInTransaction, ReadOnly: v.ReadOnly,
		Request: &session.Request{
			Simple:         true,
			Classification: &session.Classification{Kind: v.Kind, Name: v.Ends, Commit: v.Commit, Hints: session.Hints{MaxAge: entryMaxAge}},
			Payload:        &session.Payload{ID: v.ID, Frames: []byte(v.Text), Settings: v.Settings, Prepared: v.Prepared},
			Arrived:        receivedAt.Add(-time.Duration(v.ElapsedMicros) * time.Microsecond),
			Deadline:       v.deadline(receivedAt),
		},
	}, nil
}

// deadline returns the deadline that the sender has set, zero if it has not.
func (v *Request) deadline(receivedAt time.Time) time.Time {
	if v.TimeoutMicros <= 0 {
		return time.Time{}
	}
	return receivedAt.Add(time.Duration(v.TimeoutMicros) * time.Microsecond)
}

// entryMaxAge is the value of Hints.MaxAge that leaves the accepted staleness to
// the entry.
const entryMaxAge time.Duration = -1

// encodePosition returns the position as "term/lsn", or "" for the zero position.
func encodePosition(p core.Position) string {
	if p.IsZero() {
		return ""
	}
	return p.String()
}

func decodePosition(text string) (core.Position, error) {
	if text == "" {
		return core.Position{}, nil
	}
	return core.ParsePosition(text)
}

// NewResponse encodes a response.
func NewResponse(response session.RelayResponse) Response {
	encoded := Response{
		NotServed: response.NotServed, Version: response.Version, Frames: string(response.Frames), Position: encodePosition(response.Position),
		PositionProof: encodePosition(response.PositionProof.Position), ProofAgeMicros: ceilMicros(response.PositionProof.Age),
		ErrorCode: response.ErrorCode, Refusal: response.Refusal, Closing: response.Closing,
	}
	if !utf8.Valid(response.Frames) {
		encoded.Frames, encoded.RawFrames = "", response.Frames
	}
	if response.TxStatus != session.TxIdle && response.TxStatus != 0 {
		encoded.TxStatus = string(rune(response.TxStatus))
	}
	return encoded
}

// ceilMicros rounds up to microseconds: a proof may appear older than it is, but
// never younger.
func ceilMicros(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

// Decode decodes a response. It returns a *core.PositionError for a malformed
// position.
func (r *Response) Decode() (session.RelayResponse, error) {
	status := byte(session.TxIdle)
	if len(r.TxStatus) == 1 {
		status = r.TxStatus[0]
	}
	position, err := decodePosition(r.Position)
	if err != nil {
		return session.RelayResponse{}, err
	}
	frames := r.RawFrames
	if frames == nil {
		frames = []byte(r.Frames)
	}
	positionProof, err := decodePosition(r.PositionProof)
	return session.RelayResponse{
		PositionProof: session.PositionProof{Position: positionProof, Age: time.Duration(r.ProofAgeMicros) * time.Microsecond},
		NotServed:     r.NotServed, Version: r.Version, Frames: frames, TxStatus: status, Position: position,
		ErrorCode: r.ErrorCode, Refusal: r.Refusal, Closing: r.Closing,
	}, err
}
