package e2e

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/sassafrasshunt/sassafrasshunt/standin/member"
)

// flood sends statements to all instances, each session the next one as soon as the
// last was answered.
type flood struct {
	fleet *fleet
	// sessions is the number of sessions. Each has at most one statement in
	// flight.
	sessions int
	started  time.Time
	cancel   context.CancelFunc
	running  sync.WaitGroup
	sent     atomic.Int64
	answered atomic.Int64
	refused  atomic.Int64
}

// cmdFlood starts or stops the flood: flood start [sessions], flood stop.
func (s *scenario) cmdFlood(args []string) error {
	s.checkUsage(len(args) >= 1, "flood start [sessions], flood stop")
	if args[0] == "stop" {
		s.flood.stop()
		s.ts.Logf("flood: %d statements sent, %d answered, %d refused by the rate limit", s.flood.sent.Load(), s.flood.answered.Load(), s.flood.refused.Load())
		return nil
	}
	sessions := 9
	if len(args) > 1 {
		sessions, _ = strconv.Atoi(args[1])
	}
	s.flood = s.fleet.startFlood(sessions)
	s.ts.Defer(s.flood.stop)
	return nil
}

func (f *fleet) startFlood(sessions int) *flood {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	fl := &flood{fleet: f, sessions: sessions, started: time.Now(), cancel: cancel}
	for i := range sessions {
		fl.running.Go(func() { fl.run(ctx, i) })
	}
	return fl
}

func (fl *flood) stop() {
	fl.cancel()
	fl.running.Wait()
}

// run keeps a session connected to one instance and sends statements.
func (fl *flood) run(ctx context.Context, number int) {
	for ctx.Err() == nil {
		instance := number % len(fl.fleet.instances)
		conn, err := fl.fleet.dial(ctx, instance, fl.fleet.key, nil)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		fl.sendStatements(ctx, conn, number)
		_ = conn.Close(context.Background())
	}
}

// sendStatements sends statements until the connection ends. It pauses after a
// refusal, so that the flood does not use up the machine's CPU time.
func (fl *flood) sendStatements(ctx context.Context, conn *pgx.Conn, number int) {
	for ctx.Err() == nil && !conn.IsClosed() {
		limited, cancel := context.WithTimeout(ctx, statementTimeout)
		_, err := conn.Exec(limited, "SELECT "+strconv.Itoa(number), pgx.QueryExecModeSimpleProtocol)
		cancel()
		fl.sent.Add(1)
		switch codeOf(err) {
		case "":
			fl.answered.Add(1)
		case "SH001":
			fl.refused.Add(1)
			time.Sleep(2 * time.Millisecond)
		default:
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// cmdCheckRate checks that no share of the account's rate was used twice: no window
// of length t in the members' records may contain more than rate*t + burst
// statements. The tolerance covers statements that were admitted before the window
// and ran in it: at most one of each session.
func (s *scenario) cmdCheckRate([]string) error {
	records, err := s.fleet.readRecords()
	if err != nil {
		return err
	}
	var times []time.Time
	for _, r := range records {
		if r.Kind == member.KindStatement && len(r.SQL) > 7 && r.SQL[:7] == "SELECT " && !r.Time.Before(s.flood.started) {
			times = append(times, r.Time)
		}
	}
	if len(times) == 0 {
		return errors.New("no statement of the flood ran on a member")
	}
	return s.checkWindows(times)
}

// checkWindows compares every window of the records' times with the account's
// limit.
func (s *scenario) checkWindows(times []time.Time) error {
	sortTimes(times)
	rate, burst := float64(s.fleet.options.rate), float64(s.fleet.options.burst)
	// level is the level of a leaky bucket that drains at the rate. It exceeds
	// burst exactly if some window contains more than rate*t + burst statements.
	level, peak := 0.0, 0.0
	for i, t := range times {
		if i > 0 {
			level = max(0, level-rate*t.Sub(times[i-1]).Seconds())
		}
		level++
		peak = max(peak, level)
	}
	span := times[len(times)-1].Sub(times[0])
	s.ts.Logf("%d statements in %s, bucket peak %.0f of %.0f", len(times), span, peak, burst)
	if tolerance := float64(s.flood.sessions); peak > burst+tolerance {
		return fmt.Errorf("a window contains %.0f statements more than rate*t, but the burst is %.0f", peak, burst)
	}
	return nil
}
