// Package session decides what happens to callers, their statements and the
// target connections: admission, classification, routing, pooling and answers.
// It runs on the session duty and contains no codec: results pass through it as
// opaque frames.
package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// CallerID identifies a caller connection within one run of the instance.
type CallerID uint64

// TargetID identifies a target connection within one run of the instance.
type TargetID uint64

// Input is an item of the session duty's ring.
type Input interface {
	sessionInput()
}

// CallerOpened reports a caller that has proved its key, or that uses an open
// entry.
type CallerOpened struct {
	Caller  CallerID
	Account core.AccountName
	Entry   core.EntryName
	// Key is empty on open entries.
	Key core.KeyID
	// InitialPosition is the log position that the caller gave at startup, zero
	// if none.
	InitialPosition core.Position
	// TraceParent is the W3C traceparent that the caller gave at startup, empty
	// if none.
	TraceParent string
}

// Request is one unit of work: a simple query, or an extended-query batch up to
// and including Sync.
type Request struct {
	// Texts are the SQL texts that the request executes, for classification.
	Texts []string
	// Simple marks the simple query protocol.
	Simple bool
	// PreparesOnly marks a request that executes nothing: it creates or describes
	// prepared statements.
	PreparesOnly bool
	// Classification is set when the caller's protocol says what the request
	// does; the request is not classified then.
	Classification *Classification
	// Payload is the encoded request; decisions do not read it.
	Payload *Payload
	// Arrived is when the request was received completely.
	Arrived time.Time
	// Deadline is the latest time of its answer if that is earlier than the time limit of
	// its entry; zero otherwise.
	Deadline time.Time
}

// Payload carries encoded protocol messages from callerio to targetio.
type Payload struct {
	// Frames are complete frontend messages.
	Frames []byte
	// ID is the caller's identifier of the request, where its protocol has one.
	ID string
	// Settings holds the session's settings, where the caller's protocol keeps
	// them apart from its statements. The list must not be changed any more.
	Settings []Setting
	// Prepared lists the named statements that the frames refer to.
	Prepared []PreparedStatement
}

// Setting is one setting of a session.
type Setting struct {
	Name  string
	Value string
}

// PreparedStatement is a statement that must exist on the target connection.
type PreparedStatement struct {
	// Name is unique for the text and parameter types over all callers.
	Name string
	// ParseFrame is the complete Parse message that creates it.
	ParseFrame []byte
	// Explicit is set when the caller itself sent Parse in this request and
	// therefore expects a ParseComplete at that position.
	Explicit bool
}

// CallerRequest reports a complete request. A caller has at most one unanswered
// request in the engine; callerio buffers pipelined ones.
type CallerRequest struct {
	Caller  CallerID
	Request *Request
}

// CallerCancel reports a cancel request that named this caller.
type CallerCancel struct {
	Caller CallerID
}

// CallerClosed reports that the caller's connection was closed.
type CallerClosed struct {
	Caller CallerID
}

// CallerBlocked reports that the caller's output buffer rose above its
// high-water mark.
type CallerBlocked struct {
	Caller CallerID
}

// CallerWritable reports that the caller's output buffer fell below its
// low-water mark.
type CallerWritable struct {
	Caller CallerID
}

// TargetOpened reports a target connection that is ready for its first request.
type TargetOpened struct {
	Target TargetID
}

// TargetData carries result frames of an unfinished request.
type TargetData struct {
	Target TargetID
	Frames []byte
}

// TargetReady reports the end of a request (ReadyForQuery).
type TargetReady struct {
	Target TargetID
	// Frames are the last frames of the answer, ReadyForQuery included.
	Frames []byte
	// TxStatus is 'I', 'T' or 'E'.
	TxStatus byte
	// Position is the log position reported with this answer, zero if none.
	Position core.Position
	// ErrorCode is the member's code for an error in the answer, empty if
	// there is none.
	ErrorCode string
	// ReadOnly is set when the error says that the member accepts no writes.
	ReadOnly bool
	// Rejection is set when the member rejected the request without running it.
	Rejection Rejection
	// LogEnd is the end of the member's log, zero if not reported.
	LogEnd core.Position
	// VerifiedPrimary is set when the answer proves that the member was the
	// primary when it reported LogEnd.
	VerifiedPrimary bool
}

// Rejection is the reason for which a member rejected a request without running
// it.
type Rejection uint8

// Reasons of a member's rejection.
const (
	RejectionNone Rejection = iota
	// RejectionBusy means that all slots and the member's own queue are full.
	RejectionBusy
	// RejectionLagging means that the member's log has not reached the required
	// position.
	RejectionLagging
	// RejectionNotPrimary means that the request needs the primary and the
	// member is not the primary.
	RejectionNotPrimary
	// RejectionUnknownStatement means that a prepared statement does not exist
	// on the connection.
	RejectionUnknownStatement
)

// TargetClosed reports a target connection that failed or was closed.
type TargetClosed struct {
	Target TargetID
	// Unsent is set when no byte of the current request was written.
	Unsent bool
	// Reason is for logs.
	Reason string
	// Refused is set when the member refused a new connection or its startup.
	Refused bool
	// ConnectionLimit is set when the member refused the connection because of
	// its connection limit.
	ConnectionLimit bool
}

// ClassifyResult answers a ClassifyRequest.
type ClassifyResult struct {
	Caller         CallerID
	Sequence       uint64
	Classification Classification
}

// CatalogueUpdate publishes a new catalogue.
type CatalogueUpdate struct {
	Catalogue *catalogue.Catalogue
	// PublishedAt is when it was published, zero if that is not known.
	PublishedAt time.Time
}

// MemberView is what control knows about one member.
type MemberView struct {
	Status core.MemberStatus
	// Reachable is false when the member is suspected or its status is
	// outdated.
	Reachable bool
	// Latency is the smoothed round trip of its status endpoint.
	Latency time.Duration
	// AgeBound is an upper bound of how far reads on the member lag behind the
	// primary.
	AgeBound time.Duration
	// Announced orders the announcements of the group's members; a larger value
	// is newer. It is zero where members are polled for their status.
	Announced uint64
	// RespondedAt is when the status was received.
	RespondedAt time.Time
	// SendUntil is the time after which no request may be sent to the member, zero if
	// there is no limit. Withdrawn is set once that time has passed: transactions that
	// are open on the member end, and its connections close.
	SendUntil time.Time
	Withdrawn bool
	// Started is when the member's process started by the member's own clock, zero
	// if unknown; a later value shows a restart.
	Started time.Time
	// JustStarted is set if that was a few seconds before the announcement was read.
	JustStarted bool
	// ColdUntil is the time until which the bound catalogue.Database.WarmupPerSecond
	// applies to the member; zero if it does not.
	ColdUntil time.Time
}

// GroupView publishes the state of one database group.
type GroupView struct {
	Database core.DatabaseName
	// Term is the newest term known.
	Term core.Term
	// Primary is empty while there is none.
	Primary core.MemberID
	Members []MemberView
	// PrimaryWithheld is set while no member may be used as the primary and none may
	// become it, so that statements which need the primary are refused at once.
	PrimaryWithheld bool
}

// FloorResult publishes the position that a majority of members held in a round
// of status requests. The round began after the FloorRequest for Round.
type FloorResult struct {
	Database core.DatabaseName
	Round    uint64
	Position core.Position
}

// ConfirmedUpTo publishes that a majority of the group received the log up to
// Position in its term.
type ConfirmedUpTo struct {
	Database core.DatabaseName
	Position core.Position
}

// ShareUpdate publishes the current shares of this instance.
type ShareUpdate struct {
	// Revision is the revision of the share table; ShareApplied returns it.
	Revision uint64
	// Grant identifies the claim of the slot. Buckets are emptied when it
	// changes.
	Grant    uint64
	Accounts map[core.AccountName]RateShare
	// Connections limits the target connections of this instance, by database.
	Connections map[core.DatabaseName]int
	// IdleTimeouts holds the time after which unused target connections are
	// closed, by database, where it is shorter than Bounds.ConnectionIdle.
	IdleTimeouts map[core.DatabaseName]time.Duration
	// ValidUntil is the time after which nothing of the share may be used.
	ValidUntil time.Time
	// RateWindow is the time over which the rates are enforced.
	RateWindow time.Duration
	// Instances holds the registered instances.
	Instances map[core.InstanceID]bool
}

// RateShare is this instance's part of an account's rate and burst. A share
// that grows adds no tokens to the bucket.
type RateShare struct {
	// Rate is in statements per second.
	Rate float64
	// Burst is in statements.
	Burst float64
	// AccountRate is the account's rate over all instances, in statements per second; zero
	// if it is not known.
	AccountRate float64
	// Advance is the time, in seconds, for whose requests the instance may have tokens
	// at once when the account's home changes; see usage.Handover.
	Advance float64
	// ValidUntil is the time after which this share may not be used; zero if only
	// ShareUpdate.ValidUntil applies.
	ValidUntil time.Time
}

// LimitsUpdate publishes the operator's current limits.
type LimitsUpdate struct {
	// TransactionIdle bounds the pauses of callers inside a transaction; zero
	// leaves the bound unchanged.
	TransactionIdle time.Duration
}

func (LimitsUpdate) sessionInput() {}

// KeysValidUntil publishes the time until which keys may be honoured without
// newer information about revocations. Before the first one, keys are honoured
// without limit.
type KeysValidUntil struct {
	// Time is the time after which no key may be honoured.
	Time time.Time
}

// KeysRevoked ends the sessions of keys whose revocation is known before the
// catalogue that contains it.
type KeysRevoked struct {
	Keys []core.KeyID
}

// ReleaseIdle ends the sessions of callers that are outside a transaction and
// have no request, so that they reconnect to an instance that can serve them.
type ReleaseIdle struct{}

// Drain starts the graceful stop: new callers are refused, and connected
// callers are told to reconnect at the next clean boundary.
type Drain struct {
	// StatementsEnd is the latest deadline of a statement, so that each is answered
	// before the instance ends; zero sets no limit.
	StatementsEnd time.Time
}

// EndTransactions ends the open transactions of a stopping instance between two
// statements. The next request of such a caller is refused as not run.
type EndTransactions struct{}

// EndStatements answers the statements that still run on a stopping instance, and ends
// all sessions.
type EndStatements struct{}

func (CallerOpened) sessionInput()    {}
func (CallerRequest) sessionInput()   {}
func (CallerCancel) sessionInput()    {}
func (CallerClosed) sessionInput()    {}
func (CallerBlocked) sessionInput()   {}
func (CallerWritable) sessionInput()  {}
func (TargetOpened) sessionInput()    {}
func (TargetData) sessionInput()      {}
func (TargetReady) sessionInput()     {}
func (TargetClosed) sessionInput()    {}
func (ClassifyResult) sessionInput()  {}
func (CatalogueUpdate) sessionInput() {}
func (GroupView) sessionInput()       {}
func (FloorResult) sessionInput()     {}
func (ConfirmedUpTo) sessionInput()   {}
func (ShareUpdate) sessionInput()     {}
func (KeysValidUntil) sessionInput()  {}
func (KeysRevoked) sessionInput()     {}
func (ReleaseIdle) sessionInput()     {}
func (Drain) sessionInput()           {}
func (EndTransactions) sessionInput() {}
func (EndStatements) sessionInput()   {}
