package control

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// Revision is the platform's revision of a record; 0 means that the record does
// not exist.
type Revision uint64

// StoreOperation is a call of the platform. Each call is answered by one
// StoreResponse.
type StoreOperation interface {
	storeOperation()
}

// Watch waits for changes after a revision; revision 0 returns every record.
type Watch struct {
	After Revision
	// Wait is how long the platform may hold the call without a change.
	Wait time.Duration
}

// ReadCatalogue reads the catalogue.
type ReadCatalogue struct{}

// SwapCatalogue compare-and-swaps the catalogue.
type SwapCatalogue struct {
	EditID    string
	Catalogue *catalogue.Catalogue
	Revision  Revision
}

// ReadGroup reads the record of a database group.
type ReadGroup struct {
	failover.RecordRead
}

// SwapGroup compare-and-swaps the record of a database group.
type SwapGroup struct {
	failover.RecordSwap
}

// SwapTable compare-and-swaps the share table.
type SwapTable struct {
	Table    *share.Table
	Revision Revision
}

// CreateLease creates this instance's lease.
type CreateLease struct{}

// RenewLease renews a lease.
type RenewLease struct {
	Lease share.LeaseID
}

// RevokeLease ends a lease and deletes the records that are bound to it.
type RevokeLease struct {
	Lease share.LeaseID
}

// PutClaim writes the record of a slot. The record is bound to the claim's lease,
// unless the claim is released.
type PutClaim struct {
	Claim    share.Claim
	Revision Revision
}

// PutAllocator claims the allocator role with a record that is bound to the
// lease.
type PutAllocator struct {
	Allocator Allocator
	Lease     share.LeaseID
	Revision  Revision
}

// ListInstances reads the platform's list of instances.
type ListInstances struct{}

// Announce adds this instance to the platform's list of instances.
type Announce struct {
	Leaving bool
}

func (Watch) storeOperation()         {}
func (ReadCatalogue) storeOperation() {}
func (SwapCatalogue) storeOperation() {}
func (ReadGroup) storeOperation()     {}
func (SwapGroup) storeOperation()     {}
func (SwapTable) storeOperation()     {}
func (CreateLease) storeOperation()   {}
func (RenewLease) storeOperation()    {}
func (RevokeLease) storeOperation()   {}
func (PutClaim) storeOperation()      {}
func (PutAllocator) storeOperation()  {}
func (ListInstances) storeOperation() {}
func (Announce) storeOperation()      {}

// Allocator is the record of the instance that writes the share table.
type Allocator struct {
	Instance    core.InstanceID `json:"instance"`
	PeerAddress string          `json:"peer_address"`
}

// Outcome is the result of a platform call.
type Outcome uint8

// Outcomes of a platform call.
const (
	// Done means that the call took effect.
	Done Outcome = iota
	// Conflict means that the record has another revision; StoreResponse.Records
	// contains the current record.
	Conflict
	// NotFound means that the record is missing or the lease has ended.
	NotFound
	// Unavailable means that the call certainly had no effect.
	Unavailable
	// Unknown means that the call may or may not have taken effect.
	Unknown
)

// StoreResponse is the response to a StoreOperation.
type StoreResponse struct {
	Operation StoreOperation
	Outcome   Outcome
	// Revision is the revision written or watched up to.
	Revision Revision
	// Records are the records read, watched or found at a conflict.
	Records []Record
	// Lease is set for CreateLease.
	Lease share.LeaseID
	// Instances is set for ListInstances.
	Instances []Peer
	// SentAt is the time just before the call was sent.
	SentAt time.Time
}

// Peer is an element of the platform's list of instances.
type Peer struct {
	ID          core.InstanceID
	PeerAddress string
	Domain      core.Domain
	Leaving     bool
}

// Record is a decoded record of the platform: one of CatalogueRecord,
// GroupRecord, TableRecord, ClaimRecord, AllocatorRecord.
type Record interface {
	record()
}

// CatalogueRecord is the catalogue; nil when it does not exist.
type CatalogueRecord struct {
	Catalogue *catalogue.Catalogue
	Revision  Revision
}

// GroupRecord is the record of a database group.
type GroupRecord struct {
	Database core.DatabaseName
	Seen     failover.RecordSeen
}

// TableRecord is the share table; nil when it does not exist.
type TableRecord struct {
	Table    *share.Table
	Revision Revision
}

// ClaimRecord is the record of a slot. Deleted is set when its lease ended.
type ClaimRecord struct {
	Claim    share.Claim
	Revision Revision
	Deleted  bool
}

// AllocatorRecord is the record of the allocator role.
type AllocatorRecord struct {
	Allocator Allocator
	Revision  Revision
	Deleted   bool
}

func (CatalogueRecord) record() {}
func (GroupRecord) record()     {}
func (TableRecord) record()     {}
func (ClaimRecord) record()     {}
func (AllocatorRecord) record() {}
