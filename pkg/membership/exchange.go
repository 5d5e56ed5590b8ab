package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// SetState sets the versions that this instance has. It must be called whenever
// they change.
func (m *Mesh) SetState(s State) {
	m.state = s
	m.state.Terms = maps.Clone(s.Terms)
	m.termsDigest = termsDigest(s.Terms)
}

// RecordContact records a contact at the given time: a response of the platform
// to a request sent then, or a contact with other instances that the caller
// counts as equal.
func (m *Mesh) RecordContact(at time.Time) {
	if at.After(m.lastContact) {
		m.lastContact = at
	}
}

// termsDigest returns the sum of the hashes of all terms. A sum does not depend
// on the order, so that no sorting is needed.
func termsDigest(terms map[core.DatabaseName]core.Term) uint64 {
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

// Urgent returns messages for the links over which a revocation, a catalogue
// version or a term must still be sent. It is called after Revoke and SetState,
// and after Received has returned revoked keys. Share tables change often; they
// wait for the next Tick.
func (m *Mesh) Urgent(now time.Time) []Send {
	var sends []Send
	for _, id := range m.Links() {
		if m.hasUrgent(m.links[id]) {
			sends = append(sends, Send{Peer: id, Versions: m.versionsFor(m.links[id], now)})
		}
	}
	return sends
}

// hasUrgent reports whether the peer may lack a catalogue version, a term or a
// revocation.
func (m *Mesh) hasUrgent(l *link) bool {
	if l.knownCatalogue < m.state.Catalogue {
		return true
	}
	for name, term := range m.state.Terms {
		if l.knownTerms[name] < term {
			return true
		}
	}
	return slices.ContainsFunc(m.revoked, func(key core.KeyID) bool { return !l.knownRevoked[key] })
}

// versionsFor returns the next message for a link and marks its content as known
// to the peer.
func (m *Mesh) versionsFor(l *link, now time.Time) Versions {
	v := Versions{
		Catalogue:   m.state.Catalogue,
		Shares:      m.state.Shares,
		TermsDigest: m.termsDigest,
		AllTerms:    l.requestAllTerms,
		NewsAge:     now.Sub(m.lastContact),
		Terms:       map[core.DatabaseName]core.Term{},
	}
	for name, term := range m.state.Terms {
		if l.sendAllTerms || l.knownTerms[name] < term {
			v.Terms[name] = term
			l.knownTerms[name] = term
		}
	}
	for _, key := range m.revoked {
		if !l.knownRevoked[key] {
			v.Revoked = append(v.Revoked, key)
			l.knownRevoked[key] = true
		}
	}
	l.knownCatalogue = max(l.knownCatalogue, m.state.Catalogue)
	l.sendAllTerms = false
	l.requestAllTerms = false
	return v
}

// Revoke records a key that was revoked at this instance. The revocation is sent
// over every link.
func (m *Mesh) Revoke(key core.KeyID) {
	m.addRevoked(key)
}

// addRevoked records a revoked key. It reports whether the key is new; the oldest
// key is dropped beyond maxRevokedKeys.
func (m *Mesh) addRevoked(key core.KeyID) bool {
	if slices.Contains(m.revoked, key) {
		return false
	}
	m.revoked = append(m.revoked, key)
	if len(m.revoked) > maxRevokedKeys {
		m.revoked = slices.Delete(m.revoked, 0, 1)
	}
	return true
}

// Received handles a message of a linked peer and returns what to fetch from it.
// A message over an unknown link is ignored.
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
	r := Received{Pull: pull, LastContact: now.Add(-v.NewsAge)}
	m.RecordContact(r.LastContact)
	l.knownCatalogue = max(l.knownCatalogue, v.Catalogue)
	for name, term := range v.Terms {
		l.knownTerms[name] = max(l.knownTerms[name], term)
		if term > m.state.Terms[name] {
			r.Pull.Terms[name] = term
		}
	}
	for _, key := range v.Revoked {
		l.knownRevoked[key] = true
		if m.addRevoked(key) {
			r.Revoked = append(r.Revoked, key)
		}
	}
	if v.AllTerms {
		l.sendAllTerms = true
	}
	l.compareDigest(v.TermsDigest == m.termsDigest)
	return r
}

// Digests differ for a few seconds after each change of primary. The full list of
// terms is requested only after mismatchThreshold messages in a row with a
// different digest, and then once every mismatchInterval messages, which is once
// a minute.
const (
	mismatchThreshold = 5
	mismatchInterval  = 60
)

// compareDigest counts messages with a different digest and requests the full
// list of terms when the threshold is reached.
func (l *link) compareDigest(equal bool) {
	if equal {
		l.mismatches = 0
		return
	}
	l.mismatches++
	if l.mismatches >= mismatchThreshold {
		l.requestAllTerms = true
		l.mismatches = mismatchThreshold - mismatchInterval
	}
}
