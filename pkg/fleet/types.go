// Package fleet decides for an instance without a control plane of its own:
// which configuration and which members are in force, how rates and connections
// are divided among the instances, and when a primary is replaced. What must
// last lies in the platform's store, which this package sees through small
// interfaces. It holds no codec.
package fleet

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Revision numbers the changes of the store.
type Revision uint64

// Configuration is what the operator has put in force.
type Configuration struct {
	// Version grows with each accepted edit, in uneven steps.
	Version  uint64
	Accounts []catalogue.Account
	Entries  []catalogue.Entry
	Groups   []Group
	// TransactionIdle is how long a transaction may stay idle.
	TransactionIdle time.Duration
}

// Group is a database group without its members, which announce themselves.
type Group struct {
	Name core.DatabaseName
	// MemberConnections bounds the connections to one member over the fleet.
	MemberConnections int
	// SyncReplicas is the number of replicas that have a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Announcement is what a member says of itself.
type Announcement struct {
	Member  core.MemberID
	Group   core.DatabaseName
	Address string
	Domain  core.Domain
	Slots   int
	Role    core.Role
	// Draining is set by a member that will stop.
	Draining bool
	// Started is the start of the member's process; a later one with the same ID
	// holds nothing of before.
	Started time.Time
	// Revision is that of the announcement.
	Revision Revision
}

// Instance is the registration of a running instance.
type Instance struct {
	// Node is the name that the platform gives to the machine, ID that of the run.
	Node   string          `json:"node"`
	ID     core.InstanceID `json:"id"`
	Domain core.Domain     `json:"domain"`
	// Peer is the address for messages between instances.
	Peer string `json:"peer"`
}

// Change is one change of the store; exactly one field besides the revision is
// set.
type Change struct {
	// Revision is that of the changed record.
	Revision      Revision       `json:"revision"`
	Configuration *Configuration `json:"configuration,omitempty"`
	Member        *Announcement  `json:"member,omitempty"`
	GoneMember    core.MemberID  `json:"gone_member,omitempty"`
	Instance      *Instance      `json:"instance,omitempty"`
	// GoneInstance is a node's name.
	GoneInstance string           `json:"gone_instance,omitempty"`
	Home         *Home            `json:"home,omitempty"`
	GoneHome     core.AccountName `json:"gone_home,omitempty"`
}

// Snapshot is everything that the store holds of interest.
type Snapshot struct {
	// Configuration is nil while there is none.
	Configuration *Configuration
	Members       []Announcement
	Instances     []Instance
	Homes         []Home
	// Revision is the store's revision at or before the read of any part.
	Revision Revision
}
