// Package membership decides which peers an instance links to and what they
// tell each other: the versions of the state that spreads through the fleet.
//
// It takes the time as an argument and does no I/O. The number of messages of
// one instance does not depend on the size of the fleet.
package membership

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Peer is an element of the platform's list of instances, which may be wrong.
type Peer struct {
	ID core.InstanceID
	// Address is the peer's JSON-RPC address, IP:port.
	Address string
	Domain  core.Domain
}

// Versions is the message that a link carries once a second in each direction.
type Versions struct {
	// Catalogue is the version of the catalogue in force.
	Catalogue uint64
	// Shares is the revision of the share table in force.
	Shares uint64
	// Terms lists the group terms that changed since the last message on this
	// link, or all of them after AllTerms was asked for.
	Terms map[core.DatabaseName]core.Term
	// TermsDigest covers all group terms that the sender knows.
	TermsDigest uint64
	// AllTerms asks the receiver to list all terms in its next message.
	AllTerms bool
	// NewsAge is how long ago the platform was last heard by the sender, or by
	// the peers from whom the sender has its news. A cut-off group of peers
	// thereby sees its news grow old although its members hear each other.
	NewsAge time.Duration
	// Revoked lists the key IDs whose revocation the sender has not yet passed
	// on over this link.
	Revoked []core.KeyID
}

// State is what this instance has itself.
type State struct {
	Catalogue uint64
	Shares    uint64
	Terms     map[core.DatabaseName]core.Term
}

// Pull names what to fetch from a peer, because the peer has a newer one.
type Pull struct {
	Peer      core.InstanceID
	Catalogue bool
	Shares    bool
	// Terms lists the groups of which the peer knows a later term.
	Terms map[core.DatabaseName]core.Term
}

// Empty reports whether there is nothing to fetch.
func (p Pull) Empty() bool {
	return !p.Catalogue && !p.Shares && len(p.Terms) == 0
}

// Received is the outcome of one message.
type Received struct {
	Pull Pull
	// Revoked lists the key IDs that were not known to be revoked.
	Revoked []core.KeyID
	// News is when the platform was last heard according to this message.
	News time.Time
}

// Send is a message for one linked peer.
type Send struct {
	Peer     core.InstanceID
	Versions Versions
}
