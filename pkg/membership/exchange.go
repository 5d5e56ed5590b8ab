package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// SetState takes what this instance has in force. It is called when that
// changes.
func (m *Mesh) SetState(s State) {
	m.state = s
	m.state.Terms = maps.Clone(s.Terms)
	m.digest = digest(s.Terms)
}

// Heard records that the platform answered to a request sent at this time.
func (m *Mesh) Heard(at time.Time) {
	if at.After(m.news) {
		m.news = at
	}
}

// digest is the sum of the hashes of all terms. A sum does not depend on the
// order, so no sorting is needed.
func digest(terms map[core.DatabaseName]core.Term) uint64 {
	total := uint64(0)
	var number [8]byte
	for name, term := range terms {
		binary.BigEndian.PutUint64(number[:], uint64(term))
		total += xxhash.Sum64String(string(name) + "\x00" + string(number[:]))
	}
	return total
}

// Tick returns the messages of one second, one for each link.
func (m *Mesh) Tick(now time.Time) []Send {
	sends := make([]Send, 0, len(m.links))
	for _, id := range m.Links() {
		sends = append(sends, Send{Peer: id, Versions: m.versionsFor(m.links[id], now)})
	}
	return sends
}

// Urgent returns messages for the links over which a revocation, a catalogue or
// a term is still to be passed on. It is called after Revoke and SetState, and
// after Received has returned revoked keys. Share tables wait for the next
// Tick: they change often.
func (m *Mesh) Urgent(now time.Time) []Send {
	var sends []Send
	for _, id := range m.Links() {
		if m.owes(m.links[id]) {
			sends = append(sends, Send{Peer: id, Versions: m.versionsFor(m.links[id], now)})
		}
	}
	return sends
}

func (m *Mesh) owes(l *link) bool {
	if l.catalogue < m.state.Catalogue {
		return true
	}
	for name, term := range m.state.Terms {
		if l.sent[name] < term {
			return true
		}
	}
	return slices.ContainsFunc(m.revoked, func(key core.KeyID) bool { return !l.revoked[key] })
}

func (m *Mesh) versionsFor(l *link, now time.Time) Versions {
	v := Versions{
		Catalogue:   m.state.Catalogue,
		Shares:      m.state.Shares,
		TermsDigest: m.digest,
		AllTerms:    l.askAll,
		NewsAge:     now.Sub(m.news),
		Terms:       map[core.DatabaseName]core.Term{},
	}
	for name, term := range m.state.Terms {
		if l.wantsAll || l.sent[name] < term {
			v.Terms[name] = term
			l.sent[name] = term
		}
	}
	for _, key := range m.revoked {
		if !l.revoked[key] {
			v.Revoked = append(v.Revoked, key)
			l.revoked[key] = true
		}
	}
	l.catalogue = max(l.catalogue, m.state.Catalogue)
	l.wantsAll = false
	l.askAll = false
	return v
}

// Revoke records a key that was revoked here. It is passed on over every link.
func (m *Mesh) Revoke(key core.KeyID) {
	m.noteRevoked(key)
}

func (m *Mesh) noteRevoked(key core.KeyID) bool {
	if slices.Contains(m.revoked, key) {
		return false
	}
	m.revoked = append(m.revoked, key)
	if len(m.revoked) > revokedKept {
		m.revoked = slices.Delete(m.revoked, 0, 1)
	}
	return true
}

// Received takes a message of a linked peer and returns what to fetch from it.
// A message over a link that is not known is ignored.
func (m *Mesh) Received(id core.InstanceID, v Versions, now time.Time) Received {
	l, ok := m.links[id]
	if !ok {
		return Received{}
	}
	pull := Pull{
		Peer:      id,
		Catalogue: v.Catalogue > m.state.Catalogue,
		Shares:    v.Shares > m.state.Shares,
		Terms:     map[core.DatabaseName]core.Term{},
	}
	r := Received{Pull: pull, News: now.Add(-v.NewsAge)}
	m.Heard(r.News)
	l.catalogue = max(l.catalogue, v.Catalogue)
	for name, term := range v.Terms {
		l.sent[name] = max(l.sent[name], term)
		if term > m.state.Terms[name] {
			r.Pull.Terms[name] = term
		}
	}
	for _, key := range v.Revoked {
		l.revoked[key] = true
		if m.noteRevoked(key) {
			r.Revoked = append(r.Revoked, key)
		}
	}
	if v.AllTerms {
		l.wantsAll = true
	}
	l.compareDigest(v.TermsDigest == m.digest)
	return r
}

// Digests differ for a few seconds after each change of primary. The whole list
// is asked for only after that, and then once a minute.
const (
	mismatchBound = 5
	mismatchPause = 60
)

func (l *link) compareDigest(equal bool) {
	if equal {
		l.mismatches = 0
		return
	}
	l.mismatches++
	if l.mismatches >= mismatchBound {
		l.askAll = true
		l.mismatches = mismatchBound - mismatchPause
	}
}
