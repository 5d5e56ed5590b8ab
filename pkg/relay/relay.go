// Package relay holds the JSON-RPC messages with which an instance lets the home
// of an account run the requests of its callers.
package relay

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
)

// Methods of the protocol between instances.
const (
	// MethodRelay runs a request: Request -> Answer.
	MethodRelay = "relay"
	// MethodLeave ends a relayed session or transaction: Leave -> {}.
	MethodLeave = "leave"
	// MethodConfiguration asks for the configuration in force: {} ->
	// fleet.Configuration.
	MethodConfiguration = "configuration"
	// MethodFeed asks a feeder for the store's changes: FeedQuestion ->
	// fleet.FeedAnswer.
	MethodFeed = "feed"
	// MethodHeard asks what the instance has heard of a member or of a home:
	// HeardQuestion -> HeardAnswer.
	MethodHeard = "heard"
	// MethodRoom asks to close an unused connection to a full member: Room -> {}.
	MethodRoom = "room"
	// MethodPing asks for a sign of life: Ping -> {}.
	MethodPing = "ping"
)

// Request is a request of a caller of another instance. Names are short because
// relayed requests are most of the bytes between failure domains.
type Request struct {
	// Instance is the run of the sender, From its address, Caller its caller.
	Instance core.InstanceID     `json:"i"`
	From     session.PeerAddress `json:"f"`
	Caller   uint64              `json:"c"`
	Entry    core.EntryName      `json:"e"`
	// Key identifies the caller's key; it is not the key.
	Key core.KeyID `json:"k,omitempty"`
	// Floor is a position as "term/lsn", empty for none.
	Floor   string `json:"p,omitempty"`
	Version uint64 `json:"v"`
	// Sequence, Begins, Transaction, Opens and ReadOnly are those of
	// session.RemoteRequest.
	Sequence    uint64 `json:"s"`
	Begins      bool   `json:"b,omitempty"`
	Transaction uint64 `json:"t,omitempty"`
	Opens       bool   `json:"o,omitempty"`
	ReadOnly    bool   `json:"r,omitempty"`
	// ElapsedMicros is the time since the request arrived at the sender.
	ElapsedMicros int64        `json:"u"`
	Kind          session.Kind `json:"q,omitempty"`
	// Ends names the end of a transaction.
	Ends     string                      `json:"n,omitempty"`
	Commit   bool                        `json:"m,omitempty"`
	ID       string                      `json:"d"`
	Text     string                      `json:"x"`
	Settings []session.Setting           `json:"w,omitempty"`
	Prepared []session.PreparedStatement `json:"a,omitempty"`
}

// Answer is the answer to a Request.
type Answer struct {
	Elsewhere bool   `json:"e,omitempty"`
	Version   uint64 `json:"v,omitempty"`
	Frames    string `json:"f,omitempty"`
	TxStatus  string `json:"t,omitempty"`
	// Position is as "term/lsn", empty for none.
	Position string `json:"p,omitempty"`
	// Proof is a position as "term/lsn", empty for none; ProofAgeMicros is the time
	// since the primary was asked for it.
	Proof          string        `json:"n,omitempty"`
	ProofAgeMicros int64         `json:"a,omitempty"`
	ErrorState     string        `json:"s,omitempty"`
	Refusal        *core.Refusal `json:"r,omitempty"`
	Closing        bool          `json:"c,omitempty"`
}

// FeedQuestion asks for the changes after a revision of the store, and bounds the
// wait for them.
type FeedQuestion struct {
	After      uint64 `json:"after"`
	WaitMillis int64  `json:"wait_ms"`
}

// Room names a member that takes no more connections.
type Room struct {
	Member core.MemberID `json:"m"`
}

// HeardQuestion names a member or the address of a home.
type HeardQuestion struct {
	Member core.MemberID       `json:"member,omitempty"`
	Home   session.PeerAddress `json:"home,omitempty"`
}

// HeardAnswer is what an instance has heard of the subject, as in session.Heard.
type HeardAnswer struct {
	Known         bool  `json:"known"`
	SilenceMillis int64 `json:"silence_ms"`
	AgoMillis     int64 `json:"ago_ms"`
}

// Ping tells that its sender lives.
type Ping struct {
	Instance core.InstanceID `json:"instance"`
}

// Leave ends a relayed session or transaction.
type Leave struct {
	Instance core.InstanceID `json:"instance"`
	Caller   uint64          `json:"caller"`
}

// NewRequest encodes a request of the given instance; now is the time of its clock.
func NewRequest(self core.InstanceID, from session.PeerAddress, v session.RelayRequest, now time.Time) Request {
	p := v.Request.Payload
	return Request{
		Instance: self, From: from, Caller: uint64(v.ID.Caller), Entry: v.Entry, Key: v.Key, Floor: encodePosition(v.Floor),
		Version: v.Version, Sequence: v.ID.Sequence, Begins: v.Begins, Transaction: v.Transaction,
		Opens: v.Opens, ReadOnly: v.ReadOnly, ElapsedMicros: now.Sub(v.Request.Arrived).Microseconds(),
		Kind: v.Request.Verdict.Kind, Ends: v.Request.Verdict.Name, Commit: v.Request.Verdict.Commit,
		ID: p.ID, Text: string(p.Frames), Settings: p.Settings, Prepared: p.Prepared,
	}
}

// Input decodes a request; reply comes back in the answer. It returns a
// *core.PositionError for a position that cannot be read.
func (v *Request) Input(reply any, now time.Time) (session.RemoteRequest, error) {
	floor, err := decodePosition(v.Floor)
	if err != nil {
		return session.RemoteRequest{}, err
	}
	return session.RemoteRequest{
		Caller: session.RemoteID{Instance: v.Instance, Caller: session.CallerID(v.Caller)},
		From:   v.From, Reply: reply, Entry: v.Entry, Key: v.Key, Floor: floor, Version: v.Version,
		Sequence: v.Sequence, Begins: v.Begins, Transaction: v.Transaction, Opens: v.Opens, ReadOnly: v.ReadOnly,
		Request: &session.Request{
			Simple:  true,
			Verdict: &session.Verdict{Kind: v.Kind, Name: v.Ends, Commit: v.Commit, Hints: session.Hints{MaxAge: noOwnAge}},
			Payload: &session.Payload{ID: v.ID, Frames: []byte(v.Text), Settings: v.Settings, Prepared: v.Prepared},
			Arrived: now.Add(-time.Duration(v.ElapsedMicros) * time.Microsecond),
		},
	}, nil
}

// noOwnAge leaves the accepted age to the entry.
const noOwnAge time.Duration = -1

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

// NewAnswer encodes an answer.
func NewAnswer(a session.RelayAnswer) Answer {
	encoded := Answer{
		Elsewhere: a.Elsewhere, Version: a.Version, Frames: string(a.Frames), Position: encodePosition(a.Position),
		Proof: encodePosition(a.Proof.Position), ProofAgeMicros: ceilMicros(a.Proof.Age),
		ErrorState: a.ErrorState, Refusal: a.Refusal, Closing: a.Closing,
	}
	if a.TxStatus != session.TxIdle && a.TxStatus != 0 {
		encoded.TxStatus = string(rune(a.TxStatus))
	}
	return encoded
}

// ceilMicros rounds up: a proof may be taken for older than it is, never for
// younger.
func ceilMicros(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

// Decode returns the answer. It returns a *core.PositionError for a position
// that cannot be read.
func (a *Answer) Decode() (session.RelayAnswer, error) {
	status := byte(session.TxIdle)
	if len(a.TxStatus) == 1 {
		status = a.TxStatus[0]
	}
	position, err := decodePosition(a.Position)
	if err != nil {
		return session.RelayAnswer{}, err
	}
	proven, err := decodePosition(a.Proof)
	return session.RelayAnswer{
		Proof:     session.Proof{Position: proven, Age: time.Duration(a.ProofAgeMicros) * time.Microsecond},
		Elsewhere: a.Elsewhere, Version: a.Version, Frames: []byte(a.Frames), TxStatus: status, Position: position,
		ErrorState: a.ErrorState, Refusal: a.Refusal, Closing: a.Closing,
	}, err
}
