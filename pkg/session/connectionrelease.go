package session

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// A member that accepts fewer connections than there are accounts reaches its
// connection limit now and then. An instance that the member refuses then asks
// other homes to close a connection that they do not use. It asks only a few,
// and again after a growing pause, so that refused homes do not keep the member
// busy with refusals.

const (
	// releaseFanout is the number of homes asked after one refusal; some of
	// them have an unused connection.
	releaseFanout = 2
	// releaseBackoff is the time from the first refusal to the next attempt; it
	// doubles with each further refusal. A request and a close take a few
	// milliseconds.
	releaseBackoff = 25 * time.Millisecond
	// maxReleaseDoublings bounds the backoff to 400 ms, half of a usual
	// deadline.
	maxReleaseDoublings = 4
)

// ReleaseConnectionRequest asks a home to close an unused connection to a
// member that has reached its connection limit.
type ReleaseConnectionRequest struct {
	Address PeerAddress
	Member  core.MemberID
}

func (ReleaseConnectionRequest) peerCommand() {}

// ReleaseConnectionRequested is a ReleaseConnectionRequest from another
// instance.
type ReleaseConnectionRequested struct {
	Member core.MemberID
}

func (ReleaseConnectionRequested) sessionInput() {}

// recordLimitRefusal delays the next connection to a member that refused one
// for its connection limit.
func (m *member) recordLimitRefusal() {
	e := m.db.e
	e.metrics.RefusedAtLimit++
	if m.db.idleTimeout <= 0 {
		m.limitRetryAt = e.now.Add(e.cfg.Bounds.ConnectionLimitBackoff)
		return
	}
	m.limitRetryAt = e.now.Add(releaseBackoff << min(m.limitRefusals, maxReleaseDoublings))
	m.limitRefusals++
	e.requestConnectionRelease(m.id)
}

// requestConnectionRelease asks releaseFanout homes, starting at an arbitrary
// place in their list, to release a connection to the member.
func (e *Engine) requestConnectionRelease(id core.MemberID) {
	first := int(e.now.UnixMicro())
	for i := range min(releaseFanout, len(e.homeAddresses)) {
		address := e.homeAddresses[(first+i)%len(e.homeAddresses)]
		e.outbox.out.Peer(ReleaseConnectionRequest{Address: address, Member: id})
	}
}

// updateHomeAddresses updates the list of the instances that are homes, without
// this one.
func (e *Engine) updateHomeAddresses() {
	e.homeAddresses = e.homeAddresses[:0]
	add := func(home Home) {
		if !home.Local {
			e.homeAddresses = append(e.homeAddresses, home.Address)
		}
	}
	for _, home := range e.homes {
		add(home)
	}
	for _, home := range e.anonymousHomes {
		add(home)
	}
	slices.Sort(e.homeAddresses)
	e.homeAddresses = slices.Compact(e.homeAddresses)
}

// releaseUnusedConnection closes the connection to the member that has been
// unused longest, but none that was used within the time that it takes to open
// one, and none while statements wait for a connection on this instance.
func (e *Engine) releaseUnusedConnection(id core.MemberID) {
	for _, db := range e.databases {
		m := db.member(id)
		if m == nil || m.lacksConnection() {
			continue
		}
		var oldest *target
		for _, t := range m.idleConns {
			if oldest == nil || t.lastUsed.Before(oldest.lastUsed) {
				oldest = t
			}
		}
		if oldest != nil && e.now.Sub(oldest.lastUsed) > db.openTime {
			e.metrics.ConnectionsReleased++
			oldest.fire(e.charts.onTarget.retire)
		}
	}
}

// substituteIdleTime is how long a connection of an account whose home is elsewhere may be
// unused. It is longer than peerTimeout, after which a home counts as lost, so that short
// interruptions do not open and close connections.
const substituteIdleTime = 500 * time.Millisecond

// closeSubstituteConnections closes unused connections of accounts whose requests run at
// another instance: this instance opened them while it could not reach the home, or was
// the home before. The members' connections are divided among the homes, and would run
// out after a partition of the instances.
func (e *Engine) closeSubstituteConnections() {
	if !e.cfg.AsyncReplication {
		return
	}
	for _, t := range e.targets {
		if t.isIdle() && e.now.Sub(t.lastUsed) >= substituteIdleTime && e.runsElsewhere(t.account) {
			e.metrics.ConnectionsReleased++
			t.fire(e.charts.onTarget.retire)
		}
	}
}

// runsElsewhere reports whether the account's requests run at another instance, which
// responds.
func (e *Engine) runsElsewhere(account core.AccountName) bool {
	home, known := e.homes[account]
	if !known || home.Local {
		return false
	}
	p := e.peers[home.Address]
	return p == nil || !p.lost
}
