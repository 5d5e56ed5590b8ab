package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// Settings configures the links of an instance.
type Settings struct {
	// OwnDomain and OtherDomains are the numbers of links to open within and
	// outside the failure domain of the instance.
	OwnDomain    int
	OtherDomains int
	// BackoffMin and BackoffMax bound the delay before a failed peer is retried.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// Defaults of Settings.
const (
	DefaultOwnDomain    = 3
	DefaultOtherDomains = 3
	DefaultBackoffMin   = time.Second
	DefaultBackoffMax   = time.Minute
)

// maxRevokedKeys bounds the revoked key IDs that are kept for new links. The
// catalogue contains all of them; these cover only the seconds until the
// catalogue has reached every instance.
const maxRevokedKeys = 256

// link is the state of the connection to one peer.
type link struct {
	// knownTerms holds the terms that were sent to or received from the peer.
	knownTerms map[core.DatabaseName]core.Term
	// knownRevoked holds the revoked keys that were sent to or received from the
	// peer.
	knownRevoked map[core.KeyID]bool
	// knownCatalogue is the newest catalogue version sent to or received from the
	// peer.
	knownCatalogue uint64
	// sendAllTerms is set when the next message must list all terms,
	// requestAllTerms when it must ask the peer to list them.
	sendAllTerms    bool
	requestAllTerms bool
	// mismatches counts messages in a row with a digest that differs from this
	// instance's.
	mismatches int
}

// failure counts the failed attempts to reach a peer in a row and holds the time
// of the next one.
type failure struct {
	attempts int
	retryAt  time.Time
}

// Mesh decides to which peers an instance is linked and what it sends to them.
type Mesh struct {
	self     Peer
	settings Settings
	random   *rand.Rand
	// ownDomain and otherDomains hold the listed peers within and outside the
	// failure domain, in order of preference.
	ownDomain    []Peer
	otherDomains []Peer
	failures     map[core.InstanceID]failure
	links        map[core.InstanceID]*link
	state        State
	termsDigest  uint64
	revoked      []core.KeyID
	// lastContact is the time of the latest contact with the platform that this
	// instance had or that its peers reported (see RecordContact).
	lastContact time.Time
}

// NewMesh returns a mesh without peers. The random source provides the jitter of
// retries.
func NewMesh(self Peer, s Settings, random *rand.Rand) *Mesh {
	return &Mesh{
		self:     self,
		settings: s,
		random:   random,
		failures: map[core.InstanceID]failure{},
		links:    map[core.InstanceID]*link{},
	}
}

// SetList sets the platform's list of instances. Wrong elements only cause failed
// connections.
func (m *Mesh) SetList(list []Peer) {
	m.ownDomain, m.otherDomains = nil, nil
	listed := map[core.InstanceID]bool{}
	for _, p := range list {
		listed[p.ID] = true
		if p.ID == m.self.ID || p.Address == m.self.Address {
			continue
		}
		if p.Domain == m.self.Domain {
			m.ownDomain = append(m.ownDomain, p)
		} else {
			m.otherDomains = append(m.otherDomains, p)
		}
	}
	m.sortByWeight(m.ownDomain)
	m.sortByWeight(m.otherDomains)
	maps.DeleteFunc(m.failures, func(id core.InstanceID, _ failure) bool { return !listed[id] })
}

// sortByWeight sorts peers by descending rendezvous weight.
func (m *Mesh) sortByWeight(peers []Peer) {
	weights := make(map[core.InstanceID]uint64, len(peers))
	for _, p := range peers {
		weights[p.ID] = weight(m.self.ID, p.ID)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// Wanted returns the peers to which this instance should have a link now, in
// order of preference. The caller connects to those that are not linked, and
// closes links to others if it opened them itself.
func (m *Mesh) Wanted(now time.Time) []Peer {
	wanted := make([]Peer, 0, m.settings.OwnDomain+m.settings.OtherDomains)
	wanted = m.appendAvailable(wanted, m.ownDomain, m.settings.OwnDomain, now)
	return m.appendAvailable(wanted, m.otherDomains, m.settings.OtherDomains, now)
}

// appendAvailable appends the first n ranked peers that are not waiting for a
// retry.
func (m *Mesh) appendAvailable(wanted, ranked []Peer, n int, now time.Time) []Peer {
	for _, p := range ranked {
		if n == 0 {
			break
		}
		if m.failures[p.ID].retryAt.After(now) {
			continue
		}
		wanted = append(wanted, p)
		n--
	}
	return wanted
}

// weight returns the rendezvous weight of a peer. It is not symmetric: each
// instance ranks the other instances in a different order, so that the links of
// the fleet form a random graph.
func weight(self, peer core.InstanceID) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(peer))
}

// Next returns the time of the next retry of a failed peer. It reports false if
// no retry is due later than now.
func (m *Mesh) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, f := range m.failures {
		if f.retryAt.After(now) && (next.IsZero() || f.retryAt.Before(next)) {
			next = f.retryAt
		}
	}
	return next, !next.IsZero()
}

// Connected records an open link, whichever side opened it.
func (m *Mesh) Connected(id core.InstanceID) {
	delete(m.failures, id)
	m.links[id] = &link{knownTerms: map[core.DatabaseName]core.Term{}, knownRevoked: map[core.KeyID]bool{}, sendAllTerms: true}
}

// Closed records a link that was closed intentionally.
func (m *Mesh) Closed(id core.InstanceID) {
	delete(m.links, id)
}

// Failed records a link or a connection attempt that failed. The peer is retried
// after an exponential delay with jitter.
func (m *Mesh) Failed(id core.InstanceID, now time.Time) {
	delete(m.links, id)
	f := m.failures[id]
	delay := m.settings.BackoffMin << min(f.attempts, maxBackoffShift)
	delay = min(delay, m.settings.BackoffMax)
	jitter := time.Duration(m.random.Int64N(int64(delay)/2 + 1))
	m.failures[id] = failure{attempts: f.attempts + 1, retryAt: now.Add(delay/2 + jitter)}
}

// maxBackoffShift keeps the shifted delay within 64 bits.
const maxBackoffShift = 20

// Links returns the linked peers, ordered by ID.
func (m *Mesh) Links() []core.InstanceID {
	return slices.Sorted(maps.Keys(m.links))
}
