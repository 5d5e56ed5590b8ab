// Package fleet contains the decisions of an instance that runs without a control
// plane: which configuration and members are current, how request rates and
// connections are divided among the instances, and when to replace a primary.
// Durable state is kept in the platform's store, which the package accesses through
// small interfaces. The package does not encode or decode messages.
package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Revision is a revision of the store. It grows with every change.
type Revision uint64

// Configuration is the operator's configuration.
type Configuration struct {
	// Version grows with each accepted edit, not necessarily by one.
	Version  uint64
	Accounts []catalogue.Account
	Entries  []catalogue.Entry
	Groups   []Group
	// TransactionIdle is how long a transaction may be idle.
	TransactionIdle time.Duration
}

// Group is the configuration of a database group. Its members are not configured;
// they announce themselves in the store.
type Group struct {
	Name core.DatabaseName
	// MemberConnections limits the connections of all instances together to one
	// member.
	MemberConnections int
	// SyncReplicas is the number of replicas that must have received a commit
	// before it is acknowledged.
	SyncReplicas int
	// WarmupPerSecond limits the requests per second of all instances together to a member
	// that warms up, and Warmup is how long a member does so after its start. Zero if
	// the operator states no limit.
	WarmupPerSecond float64
	Warmup          time.Duration
}

// Announcement is the record that a member publishes about itself.
type Announcement struct {
	Member  core.MemberID
	Group   core.DatabaseName
	Address string
	Domain  core.Domain
	Slots   int
	Role    core.Role
	// Draining is set when the member is about to stop.
	Draining bool
	// Started is when the member's process started. A process that started later
	// under the same ID has kept nothing of the earlier one.
	Started time.Time
	// StartedAgo is the time from the start to the reading of the announcement, by the
	// clocks of both; zero if it is not known.
	StartedAgo time.Duration
	// WarmupLeft is how much longer the member warms up, counted from the announcement.
	WarmupLeft time.Duration
	// Revision is the store revision of the announcement.
	Revision Revision
}

// Instance is the registration of a running instance.
type Instance struct {
	// Node is the node name given by the platform. ID identifies the run.
	Node   string          `json:"node"`
	ID     core.InstanceID `json:"id"`
	Domain core.Domain     `json:"domain"`
	// Peer is the address for messages from other instances.
	Peer string `json:"peer"`
	// Capacity is what the instance can handle relative to others, 0 if it is not known.
	Capacity float64 `json:"capacity,omitempty"`
}

// Succession is the record of the last change of a group's primary, where the platform
// does not stop a replaced primary. An instance that reads the store after it was cut off
// learns from it which member must not be used as the primary any more.
type Succession struct {
	Group core.DatabaseName `json:"group"`
	// Revoked is the member that is being replaced. Promoted is its successor, empty
	// until it is chosen.
	Revoked  core.MemberID `json:"revoked,omitempty"`
	Promoted core.MemberID `json:"promoted,omitempty"`
	// Revision is the revision of the record. It is not part of the stored value.
	Revision Revision `json:"revision,omitempty"`
}

// excludes reports whether the member must not be used as the primary. Until the successor
// is chosen that holds for every member: an earlier primary may not know that it was
// replaced.
func (s *Succession) excludes(member core.MemberID) bool {
	return s.Revision > 0 && member != s.Promoted
}

// Change is one change of the store. Exactly one field is set besides Revision.
type Change struct {
	// Revision is the store revision of the changed record.
	Revision      Revision       `json:"revision"`
	Configuration *Configuration `json:"configuration,omitempty"`
	Member        *Announcement  `json:"member,omitempty"`
	// RemovedMember is the ID of a member whose announcement was removed.
	RemovedMember core.MemberID `json:"gone_member,omitempty"`
	Instance      *Instance     `json:"instance,omitempty"`
	// RemovedInstance is the node name of an instance whose registration was removed.
	RemovedInstance string `json:"gone_instance,omitempty"`
	Home            *Home  `json:"home,omitempty"`
	// RemovedHome is an account whose home record was removed.
	RemovedHome core.AccountName `json:"gone_home,omitempty"`
	Succession  *Succession      `json:"succession,omitempty"`
	Term        *GroupTerm       `json:"term,omitempty"`
	// EvacuatedDomain is a failure domain whose evacuation was requested,
	// RestoredDomain one whose request was withdrawn.
	EvacuatedDomain core.Domain `json:"evacuated_domain,omitempty"`
	RestoredDomain  core.Domain `json:"restored_domain,omitempty"`
}

// Snapshot is a read of all records that this package uses.
type Snapshot struct {
	// Configuration is nil if the store holds none.
	Configuration *Configuration
	Members       []Announcement
	Instances     []Instance
	Homes         []Home
	Successions   []Succession
	Terms         []GroupTerm
	// Evacuations are the failure domains whose evacuation is requested.
	Evacuations []core.Domain
	// Revision is a revision of the store that is no later than the read of any
	// part; watching from it misses no change.
	Revision Revision
}
