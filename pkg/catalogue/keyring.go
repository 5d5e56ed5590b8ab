package catalogue

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// DefaultKeyStaleness is how long keys are honoured without news from the
// platform or a peer.
const DefaultKeyStaleness = 5 * time.Minute

// ringKey is one key, the subject of the chart "key".
type ringKey struct {
	ring  *KeyRing
	id    core.KeyID
	state chart.State
}

// KeyRing decides which keys this instance honours.
type KeyRing struct {
	chart     *chart.Table[*ringKey]
	live      chart.State
	heard     chart.Event
	revoked   chart.Event
	removed   chart.Event
	timedOut  chart.Event
	staleness time.Duration
	keys      map[core.KeyID]*ringKey
	// early holds the revocations that came before the catalogue that has the key.
	early    map[core.KeyID]bool
	lastNews time.Time
	stale    bool
	ended    []core.KeyID
}

// NewKeyRing binds the chart "key". Staleness is the operator's
// key_staleness_bound. It returns a *chart.InvalidError for a chart that does
// not fit.
func NewKeyRing(d *chart.Definition, staleness time.Duration, now time.Time) (*KeyRing, error) {
	table, err := chart.Compile(d, chart.Registry[*ringKey]{
		Guards:   map[string]func(*ringKey) bool{},
		Actions:  map[string]func(*ringKey){"end_sessions": (*ringKey).endSessions},
		Timeouts: map[string]time.Duration{"staleness": staleness},
	})
	if err != nil {
		return nil, err
	}
	return &KeyRing{
		chart:     table,
		live:      table.StateID("live"),
		heard:     table.Event("heard"),
		revoked:   table.Event("revoked"),
		removed:   table.Event("removed"),
		timedOut:  table.Event(chart.TimeoutEvent),
		staleness: staleness,
		keys:      map[core.KeyID]*ringKey{},
		early:     map[core.KeyID]bool{},
		lastNews:  now,
	}, nil
}

func (k *ringKey) endSessions() {
	k.ring.ended = append(k.ring.ended, k.id)
}

// Adopt takes the catalogue in force.
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

func (r *KeyRing) adoptKey(key Key) {
	known, ok := r.keys[key.ID]
	if !ok {
		known = &ringKey{ring: r, id: key.ID, state: r.chart.Initial()}
		r.keys[key.ID] = known
		if r.stale {
			r.fire(known, r.timedOut)
		}
	}
	if key.Revoked || r.early[key.ID] {
		r.fire(known, r.revoked)
	}
	if key.Revoked {
		delete(r.early, key.ID)
	}
}

// Revoke takes a revocation from a peer, ahead of the catalogue.
func (r *KeyRing) Revoke(id core.KeyID) {
	r.early[id] = true
	if key, ok := r.keys[id]; ok {
		r.fire(key, r.revoked)
	}
}

// Heard records that the platform was heard at this time, by this instance or
// by those from whom its peers have their news: a revocation up to then would
// have come with it.
func (r *KeyRing) Heard(at, now time.Time) {
	if at.After(r.lastNews) {
		r.lastNews = at
	}
	if !r.stale || now.Sub(r.lastNews) >= r.staleness {
		return
	}
	r.stale = false
	for _, key := range r.keys {
		r.fire(key, r.heard)
	}
}

// Tick applies the staleness bound.
func (r *KeyRing) Tick(now time.Time) {
	if r.stale || now.Sub(r.lastNews) < r.staleness {
		return
	}
	r.stale = true
	for _, key := range r.keys {
		r.fire(key, r.timedOut)
	}
}

// StaleAt returns when the keys become stale without further news.
func (r *KeyRing) StaleAt() time.Time {
	return r.lastNews.Add(r.staleness)
}

// Usable reports whether the key is honoured now.
func (r *KeyRing) Usable(id core.KeyID) bool {
	key, ok := r.keys[id]
	return ok && key.state == r.live
}

// Stale reports whether keys are refused for lack of news.
func (r *KeyRing) Stale() bool {
	return r.stale
}

// TakeEnded returns the keys whose sessions are to be ended, since the last
// call. Revoked ones among them are passed on to the peers.
func (r *KeyRing) TakeEnded() []core.KeyID {
	ended := r.ended
	r.ended = nil
	return ended
}

func (r *KeyRing) fire(key *ringKey, event chart.Event) {
	r.chart.Fire(key, &key.state, event)
}
