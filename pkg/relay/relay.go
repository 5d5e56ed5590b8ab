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
	// MethodVisit runs a request: Visit -> Answer.
	MethodVisit = "visit"
	// MethodLeave ends a visitor's session or transaction: Leave -> {}.
	MethodLeave = "leave"
	// MethodConfiguration asks for the configuration in force: {} ->
	// fleet.Configuration.
	MethodConfiguration = "configuration"
	// MethodMember asks what the instance has heard of a member: MemberQuestion ->
	// MemberAnswer.
	MethodMember = "member"
	// MethodPing asks for a sign of life: Ping -> {}.
	MethodPing = "ping"
)

// Visit is a request of a caller of another instance.
type Visit struct {
	// Instance is the run of the sender, Caller its caller.
	Instance core.InstanceID `json:"instance"`
	Caller   uint64          `json:"caller"`
	// From is the sender's address.
	From  session.PeerAddress `json:"from"`
	Entry core.EntryName      `json:"entry"`
	// Key identifies the caller's key; it is not the key.
	Key     core.KeyID    `json:"key"`
	Floor   core.Position `json:"floor"`
	Version uint64        `json:"version"`
	// Sequence, Begins and Transaction are those of session.VisitorRequest.
	Sequence    uint64 `json:"sequence"`
	Begins      bool   `json:"begins"`
	Transaction uint64 `json:"transaction"`
	Opens       bool   `json:"opens,omitempty"`
	ReadOnly    bool   `json:"read_only,omitempty"`
	// ElapsedMicros is the time since the request arrived at the sender.
	ElapsedMicros int64                       `json:"elapsed_us"`
	Verdict       session.Verdict             `json:"verdict"`
	ID            string                      `json:"id"`
	Text          string                      `json:"text"`
	Settings      []session.Setting           `json:"settings,omitempty"`
	Prepared      []session.PreparedStatement `json:"prepared,omitempty"`
}

// Answer is the answer to a Visit.
type Answer struct {
	Elsewhere  bool          `json:"elsewhere,omitempty"`
	Version    uint64        `json:"version,omitempty"`
	Frames     string        `json:"frames,omitempty"`
	TxStatus   string        `json:"tx"`
	Position   core.Position `json:"position"`
	ErrorState string        `json:"error,omitempty"`
	Refusal    *core.Refusal `json:"refusal,omitempty"`
	Closing    bool          `json:"closing,omitempty"`
}

// MemberQuestion names a member.
type MemberQuestion struct {
	Member core.MemberID `json:"member"`
}

// MemberAnswer is what an instance has heard of a member, as in
// session.MemberHeard.
type MemberAnswer struct {
	Known         bool  `json:"known"`
	SilenceMillis int64 `json:"silence_ms"`
	AgoMillis     int64 `json:"ago_ms"`
}

// Ping tells that its sender lives.
type Ping struct {
	Instance core.InstanceID `json:"instance"`
}

// Leave ends a visitor's session or transaction.
type Leave struct {
	Instance core.InstanceID `json:"instance"`
	Caller   uint64          `json:"caller"`
}

// NewVisit encodes a visit of the given instance; now is the time of its clock.
func NewVisit(self core.InstanceID, from session.PeerAddress, v session.Visit, now time.Time) Visit {
	p := v.Request.Payload
	return Visit{
		Instance: self, From: from, Caller: uint64(v.ID.Caller), Entry: v.Entry, Key: v.Key, Floor: v.Floor,
		Version: v.Version, Sequence: v.ID.Sequence, Begins: v.Begins, Transaction: v.Transaction, Opens: v.Opens, ReadOnly: v.ReadOnly, ElapsedMicros: now.Sub(v.Request.Arrived).Microseconds(),
		Verdict: *v.Request.Verdict, ID: p.ID, Text: string(p.Frames), Settings: p.Settings, Prepared: p.Prepared,
	}
}

// Input decodes a visit; reply comes back in the answer.
func (v *Visit) Input(reply any, now time.Time) session.VisitorRequest {
	return session.VisitorRequest{
		Visitor: session.VisitorID{Instance: v.Instance, Caller: session.CallerID(v.Caller)},
		From:    v.From, Reply: reply, Entry: v.Entry, Key: v.Key, Floor: v.Floor, Version: v.Version, Sequence: v.Sequence, Begins: v.Begins, Transaction: v.Transaction,
		Opens: v.Opens, ReadOnly: v.ReadOnly,
		Request: &session.Request{
			Simple: true, Verdict: &v.Verdict,
			Payload: &session.Payload{ID: v.ID, Frames: []byte(v.Text), Settings: v.Settings, Prepared: v.Prepared},
			Arrived: now.Add(-time.Duration(v.ElapsedMicros) * time.Microsecond),
		},
	}
}

// NewAnswer encodes an answer.
func NewAnswer(a session.VisitAnswer) Answer {
	return Answer{
		Elsewhere: a.Elsewhere, Version: a.Version, Frames: string(a.Frames), TxStatus: string(rune(a.TxStatus)), Position: a.Position,
		ErrorState: a.ErrorState, Refusal: a.Refusal, Closing: a.Closing,
	}
}

// Decode returns the answer.
func (a *Answer) Decode() session.VisitAnswer {
	status := byte(session.TxIdle)
	if len(a.TxStatus) == 1 {
		status = a.TxStatus[0]
	}
	return session.VisitAnswer{
		Elsewhere: a.Elsewhere, Version: a.Version, Frames: []byte(a.Frames), TxStatus: status, Position: a.Position,
		ErrorState: a.ErrorState, Refusal: a.Refusal, Closing: a.Closing,
	}
}
