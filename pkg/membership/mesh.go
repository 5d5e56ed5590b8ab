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

// Settings are the operator's settings for peers.
type Settings struct {
	// OwnDomain and OtherDomains are the numbers of links within and outside
	// the failure domain.
	OwnDomain    int
	OtherDomains int
	// BackoffMin and BackoffMax bound the delay before a failed peer is tried
	// again.
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

// revokedKept bounds the revoked key IDs that are remembered for new links. The
// catalogue holds all of them; this only covers the seconds before it spreads.
const revokedKept = 256

// link is what this instance knows of one peer that it is connected to.
type link struct {
	// sent holds the terms that the peer was told or has told.
	sent    map[core.DatabaseName]core.Term
	revoked map[core.KeyID]bool
	// catalogue is the version that the peer was told or has told.
	catalogue uint64
	wantsAll  bool
	askAll    bool
	// mismatches counts messages in a row whose digest differs from ours.
	mismatches int
}

type failure struct {
	count int
	until time.Time
}

// Mesh decides the links of one instance.
type Mesh struct {
	self     Peer
	settings Settings
	random   *rand.Rand
	// own and other hold the listed peers within and outside the failure domain,
	// in order of preference.
	own      []Peer
	other    []Peer
	failures map[core.InstanceID]failure
	links    map[core.InstanceID]*link
	state    State
	digest   uint64
	revoked  []core.KeyID
	// news is when the platform was last heard, here or by way of peers.
	news time.Time
}

// NewMesh returns a mesh without peers. The random source gives the jitter.
func NewMesh(self Peer, s Settings, random *rand.Rand) *Mesh {
	return &Mesh{
		self:     self,
		settings: s,
		random:   random,
		failures: map[core.InstanceID]failure{},
		links:    map[core.InstanceID]*link{},
	}
}

// SetList takes the platform's list of instances. Wrong elements cost failed
// connections only.
func (m *Mesh) SetList(list []Peer) {
	m.own, m.other = nil, nil
	listed := map[core.InstanceID]bool{}
	for _, p := range list {
		listed[p.ID] = true
		if p.ID == m.self.ID || p.Address == m.self.Address {
			continue
		}
		if p.Domain == m.self.Domain {
			m.own = append(m.own, p)
		} else {
			m.other = append(m.other, p)
		}
	}
	m.rank(m.own)
	m.rank(m.other)
	maps.DeleteFunc(m.failures, func(id core.InstanceID, _ failure) bool { return !listed[id] })
}

// rank orders peers by descending rendezvous weight.
func (m *Mesh) rank(peers []Peer) {
	weights := make(map[core.InstanceID]uint64, len(peers))
	for _, p := range peers {
		weights[p.ID] = weight(m.self.ID, p.ID)
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// Wanted returns the peers to be linked to now, in order of preference. The
// caller connects to those that are not linked and closes links to others that
// it opened itself.
func (m *Mesh) Wanted(now time.Time) []Peer {
	wanted := make([]Peer, 0, m.settings.OwnDomain+m.settings.OtherDomains)
	wanted = m.appendUsable(wanted, m.own, m.settings.OwnDomain, now)
	return m.appendUsable(wanted, m.other, m.settings.OtherDomains, now)
}

func (m *Mesh) appendUsable(wanted, ranked []Peer, n int, now time.Time) []Peer {
	for _, p := range ranked {
		if n == 0 {
			break
		}
		if m.failures[p.ID].until.After(now) {
			continue
		}
		wanted = append(wanted, p)
		n--
	}
	return wanted
}

// weight is not symmetric: each instance ranks the others in an order of its
// own, so that the links of the fleet form a random graph.
func weight(self, peer core.InstanceID) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(peer))
}

// Next returns the time of the next retry of a failed peer.
func (m *Mesh) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, f := range m.failures {
		if f.until.After(now) && (next.IsZero() || f.until.Before(next)) {
			next = f.until
		}
	}
	return next, !next.IsZero()
}

// Connected records an open link, whichever side opened it.
func (m *Mesh) Connected(id core.InstanceID) {
	delete(m.failures, id)
	m.links[id] = &link{sent: map[core.DatabaseName]core.Term{}, revoked: map[core.KeyID]bool{}, wantsAll: true}
}

// Closed records a link that was closed on purpose.
func (m *Mesh) Closed(id core.InstanceID) {
	delete(m.links, id)
}

// Failed records a connection attempt or a link that failed. The peer is tried
// again after an exponential delay with jitter.
func (m *Mesh) Failed(id core.InstanceID, now time.Time) {
	delete(m.links, id)
	f := m.failures[id]
	delay := m.settings.BackoffMin << min(f.count, maxDoublings)
	delay = min(delay, m.settings.BackoffMax)
	jitter := time.Duration(m.random.Int64N(int64(delay)/2 + 1))
	m.failures[id] = failure{count: f.count + 1, until: now.Add(delay/2 + jitter)}
}

// maxDoublings keeps the shifted delay within 64 bits.
const maxDoublings = 20

// Links returns the linked peers in order of ID.
func (m *Mesh) Links() []core.InstanceID {
	return slices.Sorted(maps.Keys(m.links))
}
