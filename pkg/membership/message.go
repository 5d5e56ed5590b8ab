// Package membership decides to which peers an instance is linked, and which
// versions of the shared state they exchange so that each new version reaches the
// whole fleet.
//
// It takes the time as an argument and does no I/O. The number of messages that
// an instance sends does not depend on the size of the fleet.
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

// Versions is the message that each side of a link sends once a second.
type Versions struct {
	// Catalogue is the version of the current catalogue.
	Catalogue uint64
	// Shares is the revision of the current share table.
	Shares uint64
	// Terms lists the group terms that changed since the last message on this
	// link, or all of them if the receiver had set AllTerms.
	Terms map[core.DatabaseName]core.Term
	// TermsDigest is a digest of all group terms that the sender knows.
	TermsDigest uint64
	// AllTerms asks the receiver to list all terms in its next message.
	AllTerms bool
	// NewsAge is the age of the sender's last contact with the platform, either
	// its own or one it learned of from peers. In an isolated group of peers this
	// age grows, although the members receive each other's messages.
	NewsAge time.Duration
	// Revoked lists the revoked key IDs that the sender has not yet sent over
	// this link.
	Revoked []core.KeyID
}

// State holds the versions that this instance has.
type State struct {
	Catalogue uint64
	Shares    uint64
	// Terms holds the newest known term of each group.
	Terms map[core.DatabaseName]core.Term
}

// Pull lists what to fetch from a peer, because the peer has a newer version.
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
	// Revoked lists the key IDs that were not yet known to be revoked.
	Revoked []core.KeyID
	// LastContact is the time of the last contact with the platform according to
	// the message.
	LastContact time.Time
}

// Send is a message to one linked peer.
type Send struct {
	Peer     core.InstanceID
	Versions Versions
}
