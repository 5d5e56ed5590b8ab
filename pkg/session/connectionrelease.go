package session

import (
	"slices"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// A member that takes fewer connections than there are accounts is full now and
// then. The home that it refuses asks other homes to close a connection that
// they do not use. Each instance asks few others, and again after a pause that
// grows, so that refused homes do not keep the member busy with refusing.

const (
	// roomAsked is how many homes are asked after one refusal; some of them have
	// an unused connection.
	releaseFanout = 2
	// roomPause is the time from the first refusal to the next attempt, twice as
	// long after each further one: a question and a close take some milliseconds.
	releaseBackoff = 25 * time.Millisecond
	// maxRoomDoublings bounds the pause to 400 ms, half of a usual deadline.
	maxReleaseDoublings = 4
)

// RoomRequest asks a home to close an unused connection to a full member.
type RoomRequest struct {
	Address PeerAddress
	Member  core.MemberID
}

func (RoomRequest) peerCommand() {}

// RoomAsked is a RoomRequest of another instance.
type RoomAsked struct {
	Member core.MemberID
}

func (RoomAsked) sessionInput() {}

// noteFull puts off the next connection to a member that refused one for its
// bound.
func (m *member) recordLimitRefusal() {
	e := m.db.e
	e.metrics.RefusedFull++
	if m.db.idleTimeout <= 0 {
		m.limitRetryAt = e.now.Add(e.cfg.Bounds.FullBackoff)
		return
	}
	m.limitRetryAt = e.now.Add(releaseBackoff << min(m.limitRefusals, maxReleaseDoublings))
	m.limitRefusals++
	e.requestConnectionRelease(m.id)
}

// askForRoom asks some homes, beginning anywhere in their list.
func (e *Engine) requestConnectionRelease(id core.MemberID) {
	first := int(e.now.UnixMicro())
	for i := range min(releaseFanout, len(e.homeAddresses)) {
		address := e.homeAddresses[(first+i)%len(e.homeAddresses)]
		e.outbox.out.Peer(RoomRequest{Address: address, Member: id})
	}
}

// listHomes lists the instances that are homes, but not this one.
func (e *Engine) updateHomeAddresses() {
	e.homeAddresses = e.homeAddresses[:0]
	add := func(home Home) {
		if !home.Here {
			e.homeAddresses = append(e.homeAddresses, home.Address)
		}
	}
	for _, home := range e.homes {
		add(home)
	}
	for _, home := range e.openHomes {
		add(home)
	}
	slices.Sort(e.homeAddresses)
	e.homeAddresses = slices.Compact(e.homeAddresses)
}

// roomAsked closes the connection to the member that has been unused longest,
// but none that was used within the time that it takes to open one, and none
// while statements wait for one here.
func (e *Engine) releaseUnusedConnection(id core.MemberID) {
	for _, db := range e.databases {
		m := db.member(id)
		if m == nil || len(m.parked) > 0 {
			continue
		}
		var oldest *target
		for _, t := range m.idleConns {
			if oldest == nil || t.lastUsed.Before(oldest.lastUsed) {
				oldest = t
			}
		}
		if oldest != nil && e.now.Sub(oldest.lastUsed) > db.openTime {
			e.metrics.RoomGiven++
			oldest.fire(e.charts.onTarget.retire)
		}
	}
}
