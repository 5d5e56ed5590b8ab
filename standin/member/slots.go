package member

import (
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/standin/sqlsubset"
)

// slots limits the statements that run at a time. The queue holds the sessions
// that wait for a slot, first come first served.
type slots struct {
	free  int
	busy  int
	queue []*session
}

// requestSlot grants a free slot or queues the session.
func (s *session) requestSlot() {
	if err := s.prepareSleep(); err != nil {
		// The error is reported when the statement is evaluated.
		s.current.sleep = 0
	}
	if s.m.slots.free == 0 {
		s.m.slots.queue = append(s.m.slots.queue, s)
		return
	}
	s.m.slots.grant(s)
}

// prepareSleep adds the argument of pg_sleep to the time in the slot.
func (s *session) prepareSleep() *SQLError {
	if s.current.statement.Kind != sqlsubset.Sleep {
		return nil
	}
	sleep, err := s.current.sleepTime()
	s.current.sleep = sleep
	return err
}

func (l *slots) grant(s *session) {
	l.free--
	l.busy++
	s.fire(s.m.connection.granted)
}

// release frees a slot and grants it to the first session in the queue.
func (l *slots) release() {
	l.free++
	l.busy--
	if len(l.queue) == 0 {
		return
	}
	next := l.queue[0]
	l.queue = l.queue[1:]
	l.grant(next)
}

func (s *session) leaveQueue() {
	l := &s.m.slots
	l.queue = slices.DeleteFunc(l.queue, func(other *session) bool { return other == s })
}

func (s *session) failCancelled() {
	s.fail(&SQLError{Code: codeCancelled, Message: "canceling statement due to user request"}, s.current)
}
