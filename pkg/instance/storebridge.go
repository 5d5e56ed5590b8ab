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
	"github.com/sassafrasshunt/sassafrasshunt/pkg/platform"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/share"
)

// Keys of the platform's records.
const (
	keyCatalogue   platform.Key = "catalogue"
	keyTable       platform.Key = "shares"
	keyAllocator   platform.Key = "allocator"
	keyGroupPrefix platform.Key = "group/"
	keySlotPrefix  platform.Key = "slot/"
)

// storeBridge encodes the operations of control as platform calls and decodes
// their results.
type storeBridge struct {
	self        control.Identity
	callTimeout time.Duration
	leaseTTL    time.Duration
}

// encode returns the platform call of an operation. It returns the error of
// the encoder for a record that has no stored form.
func (b *storeBridge) encode(operation control.StoreOperation) (platform.Call, error) {
	op, err := b.operation(operation)
	return platform.Call{Tag: operation, Timeout: b.callTimeout, Op: op}, err
}

func (b *storeBridge) operation(operation control.StoreOperation) (platform.Operation, error) {
	switch o := operation.(type) {
	case control.Watch:
		return platform.WatchOp{WatchRequest: platform.WatchRequest{
			After: platform.Revision(o.After), Timeout: o.Hold,
		}}, nil
	case control.ReadCatalogue:
		return platform.GetOp{Key: keyCatalogue}, nil
	case control.ReadGroup:
		return platform.GetOp{Key: keyGroupPrefix + platform.Key(o.Database)}, nil
	case control.CreateLease:
		return platform.CreateLeaseOp{TTL: b.leaseTTL}, nil
	case control.RenewLease:
		return platform.RenewLeaseOp{Lease: platform.LeaseID(o.Lease)}, nil
	case control.RevokeLease:
		return platform.RevokeLeaseOp{Lease: platform.LeaseID(o.Lease)}, nil
	case control.ListInstances:
		return platform.InstancesOp{}, nil
	case control.Announce:
		return platform.AnnounceOp{Instance: b.announcement(o)}, nil
	}
	return b.put(operation)
}

func (b *storeBridge) announcement(a control.Announce) platform.Instance {
	state := platform.InstanceLive
	if a.Leaving {
		state = platform.InstanceLeaving
	}
	return platform.Instance{
		ID: b.self.Instance, PeerAddress: b.self.PeerAddress, Domain: b.self.Domain, State: state,
	}
}

func (b *storeBridge) put(operation control.StoreOperation) (platform.Operation, error) {
	var request platform.PutRequest
	var err error
	switch o := operation.(type) {
	case control.SwapCatalogue:
		request = platform.PutRequest{Key: keyCatalogue, Revision: platform.Revision(o.Revision)}
		request.Value, err = o.Catalogue.Encode()
	case control.SwapGroup:
		request = platform.PutRequest{Key: keyGroupPrefix + platform.Key(o.Database), Revision: platform.Revision(o.RecordSwap.Revision)}
		request.Value, err = failover.EncodeRecord(o.Record)
	case control.SwapTable:
		request = platform.PutRequest{Key: keyTable, Revision: platform.Revision(o.Revision)}
		request.Value, err = o.Table.Encode()
	case control.PutClaim:
		request = platform.PutRequest{Key: slotKey(o.Claim.Slot), Revision: platform.Revision(o.Revision)}
		if !o.Claim.Released {
			request.Lease = platform.LeaseID(o.Claim.Lease)
		}
		request.Value, err = json.Marshal(o.Claim)
	case control.PutAllocator:
		request = platform.PutRequest{Key: keyAllocator, Revision: platform.Revision(o.Revision), Lease: platform.LeaseID(o.Lease)}
		request.Value, err = json.Marshal(o.Allocator)
	}
	return platform.PutOp{PutRequest: request}, err
}

func slotKey(slot int) platform.Key {
	return keySlotPrefix + platform.Key(strconv.Itoa(slot))
}

// decode turns a platform result into an input of control.
func (b *storeBridge) decode(r platform.Result) control.Input {
	operation := r.Tag.(control.StoreOperation)
	answer := control.StoreAnswer{Operation: operation, Sent: r.Sent, Outcome: outcomeOf(r.Err)}
	var conflict *platform.ConflictError
	if errors.As(r.Err, &conflict) {
		answer.Records = decodeRecords([]platform.Record{conflict.Current})
	}
	switch v := r.Value.(type) {
	case platform.Record:
		answer.Revision = control.Revision(v.Revision)
		answer.Records = decodeRecords([]platform.Record{v})
	case platform.WatchResult:
		answer.Revision = control.Revision(v.Revision)
		answer.Records = decodeRecords(v.Records)
	case platform.LeaseID:
		answer.Lease = share.LeaseID(v)
	case []platform.Instance:
		answer.Instances = decodeInstances(v)
	}
	return control.FromStore{Answer: answer}
}

func outcomeOf(err error) control.Outcome {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	switch {
	case err == nil:
		return control.Done
	case errors.As(err, &conflict):
		return control.Conflict
	case errors.As(err, &missing):
		return control.NotFound
	case platform.IsUnknown(err):
		return control.Unknown
	}
	return control.Unavailable
}

func decodeInstances(list []platform.Instance) []control.Peer {
	peers := make([]control.Peer, 0, len(list))
	for _, i := range list {
		peers = append(peers, control.Peer{
			ID: i.ID, PeerAddress: i.PeerAddress, Domain: i.Domain, Leaving: i.State == platform.InstanceLeaving,
		})
	}
	return peers
}

// decodeRecords leaves out records that cannot be decoded: a record written by
// a newer release must not stop an instance.
func decodeRecords(records []platform.Record) []control.Record {
	decoded := make([]control.Record, 0, len(records))
	for _, r := range records {
		if record := decodeRecord(r); record != nil {
			decoded = append(decoded, record)
		}
	}
	return decoded
}

func decodeRecord(r platform.Record) control.Record {
	revision := control.Revision(r.Revision)
	missing := r.Deleted || r.Revision == platform.NotExists
	key := string(r.Key)
	switch {
	case r.Key == keyCatalogue:
		return decodeCatalogueRecord(r, missing)
	case r.Key == keyTable:
		table, err := share.Decode(r.Value)
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

// decodeCatalogueRecord leaves out a catalogue that cannot be decoded. Taken
// for an empty one, it would be overwritten by the next edit.
func decodeCatalogueRecord(r platform.Record, missing bool) control.Record {
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

func decodeGroupRecord(database core.DatabaseName, r platform.Record, missing bool) control.Record {
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

func decodeClaimRecord(slot string, r platform.Record, missing bool) control.Record {
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
