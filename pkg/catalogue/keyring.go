package catalogue

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// DefaultKeyStaleness is how long keys are accepted after the last contact with
// the platform, directly or through a peer.
const DefaultKeyStaleness = 5 * time.Minute

// trackedKey is one key of a KeyRing. It is driven by the chart "key".
type trackedKey struct {
	ring  *KeyRing
	id    core.KeyID
	state chart.State
}

// KeyRing determines which keys this instance accepts. It is not safe for
// concurrent use.
type KeyRing struct {
	chart     *chart.Table[*trackedKey]
	live      chart.State
	heard     chart.Event
	revoked   chart.Event
	removed   chart.Event
	timedOut  chart.Event
	staleness time.Duration
	keys      map[core.KeyID]*trackedKey
	// earlyRevocations are revocations received from peers that the current
	// catalogue does not have yet.
	earlyRevocations map[core.KeyID]bool
	lastContact      time.Time
	stale            bool
	endedKeys        []core.KeyID
}

// NewKeyRing returns an empty KeyRing that interprets the chart "key". Keys become
// stale when the last contact with the platform is older than staleness, which is
// the setting keys.staleness_bound. It returns a *chart.InvalidError if the chart
// names an unknown guard, action or timeout.
func NewKeyRing(d *chart.Definition, staleness time.Duration, now time.Time) (*KeyRing, error) {
	table, err := chart.Compile(d, chart.Registry[*trackedKey]{
		Guards:   map[string]func(*trackedKey) bool{},
		Actions:  map[string]func(*trackedKey){"end_sessions": (*trackedKey).endSessions},
		Timeouts: map[string]time.Duration{"staleness": staleness},
	})
	if err != nil {
		return nil, err
	}
	return &KeyRing{
		chart:            table,
		live:             table.StateID("live"),
		heard:            table.Event("heard"),
		revoked:          table.Event("revoked"),
		removed:          table.Event("removed"),
		timedOut:         table.Event(chart.TimeoutEvent),
		staleness:        staleness,
		keys:             map[core.KeyID]*trackedKey{},
		earlyRevocations: map[core.KeyID]bool{},
		lastContact:      now,
	}, nil
}

// endSessions adds the key to the result of TakeEndedKeys.
func (k *trackedKey) endSessions() {
	k.ring.endedKeys = append(k.ring.endedKeys, k.id)
}

// Adopt takes the keys of the current catalogue.
func (r *KeyRing) Adopt(c *Catalogue) {
	present := map[core.KeyID]bool{}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			present[key.ID] = true
			r.adoptKey(key)
		}
	}
	for id, key := range r.keys {
		if !present[id] {
			r.fire(key, r.removed)
			delete(r.keys, id)
		}
	}
}

// adoptKey adds a new key and applies its revocation.
func (r *KeyRing) adoptKey(key Key) {
	tracked, exists := r.keys[key.ID]
	if !exists {
		tracked = &trackedKey{ring: r, id: key.ID, state: r.chart.Initial()}
		r.keys[key.ID] = tracked
		if r.stale {
			r.fire(tracked, r.timedOut)
		}
	}
	if key.Revoked || r.earlyRevocations[key.ID] {
		r.fire(tracked, r.revoked)
	}
	if key.Revoked {
		delete(r.earlyRevocations, key.ID)
	}
}

// Revoke applies a revocation received from a peer, which may come before the
// catalogue that has it.
func (r *KeyRing) Revoke(id core.KeyID) {
	r.earlyRevocations[id] = true
	if key, ok := r.keys[id]; ok {
		r.fire(key, r.revoked)
	}
}

// PlatformContacted records a contact with the platform at the given time, by this
// instance or by another one whose contact a peer has reported. Every revocation up
// to that time has been received with it.
func (r *KeyRing) PlatformContacted(at, now time.Time) {
	if at.After(r.lastContact) {
		r.lastContact = at
	}
	if !r.stale || now.Sub(r.lastContact) >= r.staleness {
		return
	}
	r.stale = false
	for _, key := range r.keys {
		r.fire(key, r.heard)
	}
}

// Tick makes the keys stale when the staleness bound has passed.
func (r *KeyRing) Tick(now time.Time) {
	if r.stale || now.Sub(r.lastContact) < r.staleness {
		return
	}
	r.stale = true
	for _, key := range r.keys {
		r.fire(key, r.timedOut)
	}
}

// StaleAt returns when the keys become stale without further contact with the
// platform.
func (r *KeyRing) StaleAt() time.Time {
	return r.lastContact.Add(r.staleness)
}

// Usable reports whether the key is accepted now.
func (r *KeyRing) Usable(id core.KeyID) bool {
	key, ok := r.keys[id]
	return ok && key.state == r.live
}

// Stale reports whether all keys are rejected because the last contact with the
// platform is too old.
func (r *KeyRing) Stale() bool {
	return r.stale
}

// TakeEndedKeys returns the keys revoked or removed since the previous call.
// The caller ends their sessions and passes the revocations on to the peers.
func (r *KeyRing) TakeEndedKeys() []core.KeyID {
	ended := r.endedKeys
	r.endedKeys = nil
	return ended
}

func (r *KeyRing) fire(key *trackedKey, event chart.Event) {
	r.chart.Fire(key, &key.state, event)
}
