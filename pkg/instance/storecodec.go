package instance

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/failover"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/store"
)

// Keys of the records in the platform's key-value service.
const (
	keyCatalogue   store.Key = "catalogue"
	keyTable       store.Key = "shares"
	keyAllocator   store.Key = "allocator"
	keyGroupPrefix store.Key = "group/"
	keySlotPrefix  store.Key = "slot/"
)

// storeCodec encodes the store operations of control as platform calls and decodes
// their results.
type storeCodec struct {
	self        control.Identity
	callTimeout time.Duration
	leaseTTL    time.Duration
}

// encode returns the platform call of an operation. It returns the encoder's error
// for a record that cannot be encoded.
func (c *storeCodec) encode(operation control.StoreOperation) (store.Call, error) {
	op, err := c.operation(operation)
	return store.Call{Tag: operation, Timeout: c.callTimeout, Op: op}, err
}

// operation returns the store operation of a control operation.
func (c *storeCodec) operation(operation control.StoreOperation) (store.Operation, error) {
	switch o := operation.(type) {
	case control.Watch:
		return store.WatchOp{WatchRequest: store.WatchRequest{
			After: store.Revision(o.After), Timeout: o.Wait,
		}}, nil
	case control.ReadCatalogue:
		return store.GetOp{Key: keyCatalogue}, nil
	case control.ReadGroup:
		return store.GetOp{Key: keyGroupPrefix + store.Key(o.Database)}, nil
	case control.CreateLease:
		return store.CreateLeaseOp{TTL: c.leaseTTL}, nil
	case control.RenewLease:
		return store.RenewLeaseOp{Lease: store.LeaseID(o.Lease)}, nil
	case control.RevokeLease:
		return store.RevokeLeaseOp{Lease: store.LeaseID(o.Lease)}, nil
	case control.ListInstances:
		return store.InstancesOp{}, nil
	case control.Announce:
		return store.AnnounceOp{Instance: c.announcement(o)}, nil
	}
	return c.put(operation)
}

// announcement returns the entry that this instance registers in the store.
func (c *storeCodec) announcement(a control.Announce) store.Instance {
	state := store.InstanceLive
	if a.Leaving {
		state = store.InstanceLeaving
	}
	return store.Instance{
		ID: c.self.Instance, PeerAddress: c.self.PeerAddress, Domain: c.self.Domain, State: state,
	}
}

// put returns the operation that writes a record if its revision is still the
// given one.
func (c *storeCodec) put(operation control.StoreOperation) (store.Operation, error) {
	var request store.PutRequest
	var err error
	switch o := operation.(type) {
	case control.SwapCatalogue:
		request = store.PutRequest{Key: keyCatalogue, Revision: store.Revision(o.Revision)}
		request.Value, err = o.Catalogue.Encode()
	case control.SwapGroup:
		request = store.PutRequest{Key: keyGroupPrefix + store.Key(o.Database), Revision: store.Revision(o.RecordSwap.Revision)}
		request.Value, err = failover.EncodeRecord(o.Record)
	case control.SwapTable:
		request = store.PutRequest{Key: keyTable, Revision: store.Revision(o.Revision)}
		request.Value, err = o.Table.Encode()
	case control.PutClaim:
		request = store.PutRequest{Key: slotKey(o.Claim.Slot), Revision: store.Revision(o.Revision)}
		if !o.Claim.Released {
			request.Lease = store.LeaseID(o.Claim.Lease)
		}
		request.Value, err = json.Marshal(o.Claim)
	case control.PutAllocator:
		request = store.PutRequest{Key: keyAllocator, Revision: store.Revision(o.Revision), Lease: store.LeaseID(o.Lease)}
		request.Value, err = json.Marshal(o.Allocator)
	}
	return store.PutOp{PutRequest: request}, err
}

// slotKey returns the key of the claim of a slot.
func slotKey(slot int) store.Key {
	return keySlotPrefix + store.Key(strconv.Itoa(slot))
}

// decode converts a platform result to an input of control. A conflict carries the
// current record.
func (c *storeCodec) decode(r store.Result) control.Input {
	operation := r.Tag.(control.StoreOperation)
	response := control.StoreResponse{Operation: operation, SentAt: r.SentAt, Outcome: outcomeOf(r.Err)}
	var conflict *store.ConflictError
	if errors.As(r.Err, &conflict) {
		response.Records = decodeRecords([]store.Record{conflict.Current})
	}
	switch v := r.Value.(type) {
	case store.Record:
		response.Revision = control.Revision(v.Revision)
		response.Records = decodeRecords([]store.Record{v})
	case store.WatchResult:
		response.Revision = control.Revision(v.Revision)
		response.Records = decodeRecords(v.Records)
	case store.LeaseID:
		response.Lease = share.LeaseID(v)
	case []store.Instance:
		response.Instances = decodeInstances(v)
	}
	return control.FromStore{Response: response}
}

// outcomeOf maps the error of a platform call to the outcome that control acts on.
func outcomeOf(err error) control.Outcome {
	var conflict *store.ConflictError
	var missing *store.NotFoundError
	switch {
	case err == nil:
		return control.Done
	case errors.As(err, &conflict):
		return control.Conflict
	case errors.As(err, &missing):
		return control.NotFound
	case store.IsUnknownOutcome(err):
		return control.Unknown
	}
	return control.Unavailable
}

// decodeInstances converts registered instances to peers.
func decodeInstances(list []store.Instance) []control.Peer {
	peers := make([]control.Peer, 0, len(list))
	for _, i := range list {
		peers = append(peers, control.Peer{
			ID: i.ID, PeerAddress: i.PeerAddress, Domain: i.Domain, Leaving: i.State == store.InstanceLeaving,
		})
	}
	return peers
}

// decodeRecords decodes records and skips those that cannot be decoded: a record
// written by a newer release must not stop an instance.
func decodeRecords(records []store.Record) []control.Record {
	decoded := make([]control.Record, 0, len(records))
	for _, r := range records {
		if record := decodeRecord(r); record != nil {
			decoded = append(decoded, record)
		}
	}
	return decoded
}

// decodeRecord decodes a record by its key; nil when it is unknown or invalid.
func decodeRecord(r store.Record) control.Record {
	revision := control.Revision(r.Revision)
	missing := r.Deleted || r.Revision == store.NotExists
	key := string(r.Key)
	switch {
	case r.Key == keyCatalogue:
		return decodeCatalogueRecord(r, missing)
	case r.Key == keyTable:
		table, err := share.DecodeTable(r.Value)
		if err != nil || missing {
			return nil
		}
		return control.TableRecord{Table: table, Revision: revision}
	case r.Key == keyAllocator:
		var a control.Allocator
		_ = json.Unmarshal(r.Value, &a)
		return control.AllocatorRecord{Allocator: a, Revision: revision, Deleted: missing}
	case strings.HasPrefix(key, string(keyGroupPrefix)):
		return decodeGroupRecord(core.DatabaseName(strings.TrimPrefix(key, string(keyGroupPrefix))), r, missing)
	case strings.HasPrefix(key, string(keySlotPrefix)):
		return decodeClaimRecord(strings.TrimPrefix(key, string(keySlotPrefix)), r, missing)
	}
	return nil
}

// decodeCatalogueRecord decodes the catalogue; nil when it cannot be decoded. Treating
// it as empty would let the next edit overwrite it.
func decodeCatalogueRecord(r store.Record, missing bool) control.Record {
	revision := control.Revision(r.Revision)
	if missing {
		return control.CatalogueRecord{Revision: revision}
	}
	c, err := catalogue.Decode(r.Value)
	if err != nil {
		return nil
	}
	return control.CatalogueRecord{Catalogue: c, Revision: revision}
}

// decodeGroupRecord decodes the failover record of a database.
func decodeGroupRecord(database core.DatabaseName, r store.Record, missing bool) control.Record {
	if missing {
		return control.GroupRecord{Database: database}
	}
	record, err := failover.DecodeRecord(r.Value)
	if err != nil {
		return nil
	}
	seen := failover.RecordSeen{Exists: true, Record: record, Revision: uint64(r.Revision)}
	return control.GroupRecord{Database: database, Seen: seen}
}

// decodeClaimRecord decodes the claim of a slot. It accepts only the canonical form of
// the slot number, so that two keys cannot name the same slot.
func decodeClaimRecord(slot string, r store.Record, missing bool) control.Record {
	var c share.Claim
	n, err := strconv.Atoi(slot)
	if err != nil || n < 0 || strconv.Itoa(n) != slot {
		return nil
	}
	if json.Unmarshal(r.Value, &c) != nil && !missing {
		return nil
	}
	c.Slot = n
	return control.ClaimRecord{Claim: c, Revision: control.Revision(r.Revision), Deleted: missing}
}
