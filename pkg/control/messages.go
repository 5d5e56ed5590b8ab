package control

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/membership"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// Input is an item of the control duty's ring.
type Input interface {
	controlInput()
}

// SessionReport is a report of the session duty.
type SessionReport struct {
	Report session.ControlReport
}

// FromStore is the response to a platform call.
type FromStore struct {
	Response StoreResponse
}

// FromMember is the status with which a member answered a call.
type FromMember struct {
	Database core.DatabaseName
	Response failover.MemberResponded
}

// FromMemberFailed is a call of a member that returned no status.
type FromMemberFailed struct {
	Database core.DatabaseName
	Failed   failover.MemberFailed
}

// FromPeer is a request of another instance.
type FromPeer struct {
	Reply   ReplyTo
	Message PeerMessage
}

// FromPeerResponse is the result of a PeerCall.
type FromPeerResponse struct {
	Call PeerCall
	// Response is nil when the call failed.
	Response PeerMessage
	// Refused is set when the host refused the connection.
	Refused bool
	// SentAt is when the request was sent or the connection was attempted.
	SentAt time.Time
}

// FromOperator is a request of the administration API. The response is sent to
// Reply, a channel with space for one item.
type FromOperator struct {
	Request OperatorRequest
	Reply   chan<- OperatorResponse
}

// StopRequested starts the planned stop of the instance.
type StopRequested struct{}

func (SessionReport) controlInput()    {}
func (FromStore) controlInput()        {}
func (FromMember) controlInput()       {}
func (FromMemberFailed) controlInput() {}
func (FromPeer) controlInput()         {}
func (FromPeerResponse) controlInput() {}
func (FromOperator) controlInput()     {}
func (StopRequested) controlInput()    {}

// Outputs receives the decisions of the control duty. SendSession reports false
// if the ring of the session duty is full; the other methods accept every item.
type Outputs interface {
	CallStore(StoreOperation)
	CallMember(failover.MemberCall)
	CallPeer(PeerCall)
	Reply(ReplyTo, PeerMessage)
	SendSession(session.Input) bool
	// PublishCatalogue passes the catalogue to the duty that authenticates callers.
	PublishCatalogue(*catalogue.Catalogue)
	// StopAccepting closes the listening socket for callers.
	StopAccepting()
	// SetReady sets the readiness that the instance reports.
	SetReady(bool)
	// ChangeFinished reports a finished change of primary.
	ChangeFinished(failover.Report)
	Log(LogEvent)
	// Stopped reports that the planned stop is complete.
	Stopped()
}

// ReplyTo identifies a peer's request. Control passes it back without using its
// value.
type ReplyTo any

// LogEvent is one line of the log.
type LogEvent struct {
	// Event is a stable name in snake case.
	Event   string
	Message string
	Warning bool
	Fields  map[string]any
}

// PeerMessage is a typed message between instances.
type PeerMessage interface {
	peerMessage()
}

// PeerCall sends a message to an instance. Every call is answered by one
// FromPeerResponse.
type PeerCall struct {
	Address string
	Message PeerMessage
}

// Versions reports to a linked peer which versions this instance has. The
// response is Acknowledged.
type Versions struct {
	From        core.InstanceID `json:"from"`
	PeerAddress string          `json:"peer_address"`
	Domain      core.Domain     `json:"domain"`
	// To is the instance that the sender expects at the address.
	To       core.InstanceID     `json:"to"`
	Versions membership.Versions `json:"versions"`
}

// CatalogueRequest requests the current catalogue. The response is a
// CatalogueMessage.
type CatalogueRequest struct{}

// CatalogueMessage carries a catalogue.
type CatalogueMessage struct {
	Catalogue *catalogue.Catalogue `json:"catalogue"`
}

// TableRequest requests the share table. The response is a TableMessage.
type TableRequest struct{}

// TableMessage carries the share table of its sender.
type TableMessage struct {
	Table *share.Table
	// Age is the time since the platform last confirmed the table.
	Age time.Duration
	// Authoritative is set if the table names the sender, which therefore
	// acknowledges it. Other tables must not be inherited from.
	Authoritative bool
}

// ShareReport is a holder's report to the allocator. The response is
// Acknowledged.
type ShareReport struct {
	Report share.Report
}

// DeathReport reports to the allocator that an instance is dead: the host refused
// a connection to its peer address, or another instance answered there. The
// response is Acknowledged.
type DeathReport struct {
	Instance core.InstanceID `json:"instance"`
}

// Acknowledged is the response to a message that requests no data.
type Acknowledged struct {
	// Instance is the responding instance. If it differs from the expected one,
	// the expected process is dead, since only one process can own the address.
	Instance core.InstanceID `json:"instance"`
}

func (Versions) peerMessage()         {}
func (CatalogueRequest) peerMessage() {}
func (CatalogueMessage) peerMessage() {}
func (TableRequest) peerMessage()     {}
func (TableMessage) peerMessage()     {}
func (ShareReport) peerMessage()      {}
func (DeathReport) peerMessage()      {}
func (Acknowledged) peerMessage()     {}

// OperatorRequest is a request of the administration API.
type OperatorRequest interface {
	operatorRequest()
}

// GetCatalogue requests the current catalogue.
type GetCatalogue struct{}

// ApplyEdits changes the catalogue. The response is sent when the outcome is
// known.
type ApplyEdits struct {
	// Identity is chosen by the operator's client, so that a repeated request is
	// not applied twice.
	Identity string
	Edits    []catalogue.Edit
}

// GetStatus requests the state of the fleet as this instance sees it.
type GetStatus struct{}

// GetHistory requests the catalogue versions that this instance adopted, newest
// first.
type GetHistory struct{}

// Switchover starts a planned change of primary.
type Switchover struct {
	Database core.DatabaseName
	To       core.MemberID
}

func (GetCatalogue) operatorRequest() {}
func (ApplyEdits) operatorRequest()   {}
func (GetStatus) operatorRequest()    {}
func (GetHistory) operatorRequest()   {}
func (Switchover) operatorRequest()   {}

// OperatorResponse is the response to an OperatorRequest. Err is set if the
// request failed.
type OperatorResponse struct {
	Catalogue *catalogue.Catalogue
	// Version is set for ApplyEdits.
	Version uint64
	// Changes describes the differences that an edit made, one line each. It is
	// empty for an edit that had been accepted before.
	Changes []string
	Status  *Status
	History []HistoryItem
	Err     error
}

// HistoryItem is one adopted version of the catalogue.
type HistoryItem struct {
	Version uint64    `json:"version"`
	EditID  string    `json:"edit_id"`
	Adopted time.Time `json:"adopted"`
	// Changes describes the differences from the previous version.
	Changes []string `json:"changes"`
}

// Status is the state of the fleet as one instance sees it.
type Status struct {
	Instance         core.InstanceID `json:"instance"`
	Domain           core.Domain     `json:"domain"`
	State            string          `json:"state"`
	Lease            string          `json:"lease"`
	Slot             int             `json:"slot"`
	CatalogueVersion uint64          `json:"catalogue_version"`
	TableRevision    uint64          `json:"table_revision"`
	Allocator        core.InstanceID `json:"allocator"`
	Groups           []GroupStatus   `json:"groups"`
	Peers            []PeerStatus    `json:"peers"`
	Shares           ShareStatus     `json:"shares"`
	// Failovers are the last changes of primary that this instance decided.
	Failovers []failover.Report `json:"failovers"`
}

// GroupStatus is the state of a database group.
type GroupStatus struct {
	Database core.DatabaseName `json:"database"`
	State    string            `json:"state"`
	Term     core.Term         `json:"term"`
	Primary  core.MemberID     `json:"primary"`
}

// PeerStatus is the state of another instance as known to this one.
type PeerStatus struct {
	Instance    core.InstanceID `json:"instance"`
	PeerAddress string          `json:"peer_address"`
	Linked      bool            `json:"linked"`
	Catalogue   uint64          `json:"catalogue_version"`
}

// ShareStatus is what this instance may use.
type ShareStatus struct {
	Until       time.Time                    `json:"until"`
	Rates       map[core.AccountName]float64 `json:"rates_per_second"`
	Connections map[core.DatabaseName]int    `json:"connections"`
}
