package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Outputs receives the commands that a decision produces. Each method puts one
// item into the ring of a duty and reports whether the ring had free space.
type Outputs interface {
	Caller(CallerCommand) bool
	Target(TargetCommand) bool
	Classify(ClassifyRequest) bool
	Control(ControlReport) bool
	Span(Span)
	// Peer sends a command to the duty that exchanges messages with other
	// instances.
	Peer(PeerCommand) bool
	// LogDecision offers a decision to the log. It never blocks.
	LogDecision(Decision)
	// LogMemberPace offers a change of a member's pacer to the log. It never blocks.
	LogMemberPace(MemberPace)
	// LogConfiguration offers an applied configuration to the log. It never blocks.
	LogConfiguration(ConfigurationApplied)
}

// CallerCommand is an item of the callerio duty's ring.
type CallerCommand interface {
	callerCommand()
}

// CallerAdmitted completes the startup of a caller.
type CallerAdmitted struct {
	Caller CallerID
}

// CallerWrite sends result frames to a caller.
type CallerWrite struct {
	Caller CallerID
	Frames []byte
	// Done is set on the last frames of an answer; the next pipelined request
	// of the caller may then be delivered.
	Done bool
	// Position is reported as ParameterStatus before the last ReadyForQuery,
	// unless it is zero.
	Position core.Position
	// TxStatus is the transaction status after the answer: 'I', 'T' or 'E'.
	TxStatus byte
}

// CallerError answers a request with an error and ReadyForQuery.
type CallerError struct {
	Caller  CallerID
	Refusal *core.Refusal
	// TxStatus is the status that ReadyForQuery reports: 'I', 'T' or 'E'.
	TxStatus byte
}

// CallerReply answers a request that the proxy runs itself (SET and SHOW of
// its own parameters, transaction control without a target connection).
type CallerReply struct {
	Caller CallerID
	// Tag is the command tag, for example "SET".
	Tag string
	// Column and Value form a single text row; Column is empty for none.
	Column   string
	Value    string
	TxStatus byte
}

// CallerClose closes a caller's connection, after a fatal error if Refusal is
// set.
type CallerClose struct {
	Caller  CallerID
	Refusal *core.Refusal
}

func (CallerAdmitted) callerCommand() {}
func (CallerWrite) callerCommand()    {}
func (CallerError) callerCommand()    {}
func (CallerReply) callerCommand()    {}
func (CallerClose) callerCommand()    {}

// TargetCommand is an item of the targetio duty's ring.
type TargetCommand interface {
	targetCommand()
}

// TargetOpen opens a connection to a member.
type TargetOpen struct {
	Target   TargetID
	Database core.DatabaseName
	Member   core.MemberID
	// Address is IP:port.
	Address string
	// Account is the account that the connection is for; empty where
	// connections serve all accounts.
	Account core.AccountName
}

// TargetSend sends one request on an idle connection.
type TargetSend struct {
	Target  TargetID
	Payload *Payload
	// Prelude is SQL that runs before the request; its result is not forwarded.
	Prelude string
	// NotAfter is the time after which the request must not be written any
	// more; targetio then reports TargetClosed with Unsent.
	NotAfter time.Time
	// MinPosition is the log position that the member must have applied to run
	// the request; zero if there is no requirement.
	MinPosition core.Position
	// PrimaryOnly makes the member reject the request unless it is the primary.
	PrimaryOnly bool
	// Begin starts a transaction before the request; ReadOnly makes it a
	// read-only one. If the member rejects the BEGIN, the request does not run.
	Begin    bool
	ReadOnly bool
}

// TargetProbe requests, on an idle connection, a proof that the member is the
// primary. The response is a TargetReady.
type TargetProbe struct {
	Target TargetID
}

// TargetClose closes a connection.
type TargetClose struct {
	Target TargetID
}

// TargetCancel sends a cancel request for the running request.
type TargetCancel struct {
	Target TargetID
}

// TargetPause pauses reading from a connection.
type TargetPause struct {
	Target TargetID
}

// TargetResume resumes reading after a TargetPause.
type TargetResume struct {
	Target TargetID
}

func (TargetOpen) targetCommand()   {}
func (TargetSend) targetCommand()   {}
func (TargetProbe) targetCommand()  {}
func (TargetClose) targetCommand()  {}
func (TargetCancel) targetCommand() {}
func (TargetPause) targetCommand()  {}
func (TargetResume) targetCommand() {}

// ClassifyRequest requests the classification of the SQL texts of a request.
type ClassifyRequest struct {
	Caller   CallerID
	Sequence uint64
	Texts    []string
}

// Kind classifies what a request does.
type Kind uint8

// Kinds of request. A batch of several statements has the kind of its most
// demanding one.
const (
	// KindRead only reads and may run on a replica.
	KindRead Kind = iota
	// KindWrite may write.
	KindWrite
	// KindBegin starts a transaction block.
	KindBegin
	// KindEnd ends a transaction block (COMMIT, ROLLBACK).
	KindEnd
	// KindSessionSet changes a setting of the session (SET, RESET).
	KindSessionSet
	// KindProxySet sets a parameter of the proxy (SET sassafrasshunt.x).
	KindProxySet
	// KindProxyShow shows a parameter of the proxy.
	KindProxyShow
	// KindUnsupported is not supported by the proxy (COPY, LISTEN) and is
	// refused.
	KindUnsupported
	// KindEmpty has no statement.
	KindEmpty
)

// Classification describes what a request does.
type Classification struct {
	Kind Kind
	// ReadOnly is set on BEGIN READ ONLY.
	ReadOnly bool
	// Commit is set on COMMIT.
	Commit bool
	// ChangesSessionState is set when the request leaves state on the
	// connection that the proxy cannot replay (temporary tables, PREPARE,
	// advisory locks).
	ChangesSessionState bool
	// Name and Value are set for KindProxySet and KindProxyShow. Name is also the
	// parameter of a KindSessionSet; "all" stands for RESET ALL.
	Name  string
	Value string
	// Hints holds the options of a leading comment /*+ name=value ... */.
	Hints Hints
	// Reason explains the classification, for SHOW sassafrasshunt.explain and
	// traces.
	Reason string
}

// Hints holds the options of a statement.
type Hints struct {
	// MaxAge is the accepted staleness; negative when not given.
	MaxAge time.Duration
	// WriteID is the caller's identity of a write, empty when not given.
	WriteID string
	// Idempotent marks the statement as safe to run twice.
	Idempotent bool
}

// ControlReport is an item of the control duty's ring.
type ControlReport interface {
	controlReport()
}

// FloorRequest requests a FloorResult for the given round or a later one.
type FloorRequest struct {
	Database core.DatabaseName
	Round    uint64
}

// ConfirmRequest requests a ConfirmedUpTo that covers Position.
type ConfirmRequest struct {
	Database core.DatabaseName
	Position core.Position
}

// AppliedRequest asks control to refresh the view as soon as a replica has
// applied Position.
type AppliedRequest struct {
	Database core.DatabaseName
	Position core.Position
}

// MemberSuspected reports that a connection to the member failed, or that it does not
// respond.
type MemberSuspected struct {
	Database core.DatabaseName
	Member   core.MemberID
	// UnansweredFor is how long the member has left a request without a response, zero if
	// a connection failed.
	UnansweredFor time.Duration
}

// MemberResponded reports a response of a primary that had been unresponsive for long
// enough to be suspected.
type MemberResponded struct {
	Member core.MemberID
}

// TermObserved reports the term of a database's newest primary that a member has
// answered with.
type TermObserved struct {
	Database core.DatabaseName
	Term     core.Term
}

// Demand reports the demand since the last report.
type Demand struct {
	// Accounts is the demand in statements per second, admitted and refused.
	Accounts map[core.AccountName]float64
	// Connections is the number of target connections that the present work
	// could use.
	Connections map[core.DatabaseName]int
	// Isolated lists the accounts that have their home on this instance while
	// most of their usage comes from unresponsive instances.
	Isolated []core.AccountName
	// HomesUsed counts the homes in use at other instances.
	HomesUsed int
	// UnresponsiveHomes lists the unresponsive ones among the homes in use.
	UnresponsiveHomes []PeerAddress
}

// HomeUnresponsive reports that a home has been lost. The next Demand lists it
// too, unless its host refused a connection.
type HomeUnresponsive struct {
	Address PeerAddress
}

// ShareApplied reports that the share update with this revision governs every
// later admission.
type ShareApplied struct {
	Revision uint64
	// Open counts the target connections that are open or being opened.
	Open map[core.DatabaseName]int
}

// Drained reports that no caller is left after Drain.
type Drained struct{}

func (FloorRequest) controlReport()     {}
func (ConfirmRequest) controlReport()   {}
func (AppliedRequest) controlReport()   {}
func (MemberSuspected) controlReport()  {}
func (MemberResponded) controlReport()  {}
func (TermObserved) controlReport()     {}
func (Demand) controlReport()           {}
func (HomeUnresponsive) controlReport() {}
func (ShareApplied) controlReport()     {}
func (Drained) controlReport()          {}

// Span is one state of a statement, or the whole statement, for the trace
// exporter.
type Span struct {
	TraceParent string
	Name        string
	Caller      CallerID
	Start       time.Time
	End         time.Time
	Attributes  map[string]string
}
