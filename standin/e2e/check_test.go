package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/member"
)

const (
	// settleBound is how long the members may take to agree after the faults
	// have ended.
	settleBound = 15 * time.Second
	// maxReported bounds the violations in a report.
	maxReported = 20
)

// survivors is the state of the group after the faults have ended.
type survivors struct {
	primary *memberNode
	status  member.Status
	rows    map[string]string
	records []member.Record
}

// settle waits until the living members agree on one primary and its log.
func (f *fleet) settle() (*survivors, error) {
	s := &survivors{}
	err := eventually(settleBound, func() error { return f.agree(s) })
	if err != nil {
		return nil, fmt.Errorf("members do not agree: %w", err)
	}
	if s.rows, err = rowsOf(s.primary); err != nil {
		return nil, err
	}
	for _, m := range f.members {
		if !m.alive() {
			continue
		}
		rows, err := rowsOf(m)
		if err != nil {
			return nil, err
		}
		if len(rows) != len(s.rows) {
			return nil, fmt.Errorf("%s has %d rows, the primary %d", m.id, len(rows), len(s.rows))
		}
	}
	s.records, err = f.records()
	return s, err
}

func (f *fleet) agree(s *survivors) error {
	s.primary = nil
	var statuses []member.Status
	for _, m := range f.members {
		if !m.alive() {
			continue
		}
		var status member.Status
		if err := callJSON(m.status, "status", struct{}{}, &status); err != nil {
			return err
		}
		statuses = append(statuses, status)
		if status.Role == core.RolePrimary {
			if s.primary != nil {
				return errors.New("two primaries")
			}
			s.primary, s.status = m, status
		}
	}
	if s.primary == nil {
		return fmt.Errorf("no primary among %+v", statuses)
	}
	for _, status := range statuses {
		if status.LogTerm != s.status.LogTerm || status.Applied != s.status.Applied {
			return fmt.Errorf("%+v differs from the primary %+v", status, s.status)
		}
	}
	return nil
}

func rowsOf(m *memberNode) (map[string]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callBound)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://checker@"+m.sql+"/?sslmode=disable&default_query_exec_mode=simple_protocol")
	if err != nil {
		return nil, err
	}
	defer conn.Close(ctx)
	result, err := conn.Query(ctx, "SELECT id, value FROM items")
	if err != nil {
		return nil, err
	}
	rows := map[string]string{}
	var id, value string
	_, err = pgx.ForEachRow(result, []any{&id, &value}, func() error {
		rows[id] = value
		return nil
	})
	return rows, err
}

// records reads what every member has recorded, also the dead ones.
func (f *fleet) records() ([]member.Record, error) {
	// A record is in the file at most 100 ms after it was made.
	time.Sleep(200 * time.Millisecond)
	var all []member.Record
	for _, m := range f.members {
		file, err := os.Open(m.records)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 8<<20)
		for lines.Scan() {
			var r member.Record
			if json.Unmarshal(lines.Bytes(), &r) == nil {
				all = append(all, r)
			}
		}
		_ = file.Close()
	}
	return all, nil
}

// survived reports whether a position is part of the primary's log.
func (s *survivors) survived(term core.Term, lsn core.LSN) bool {
	known := false
	for _, t := range s.status.TermStarts {
		if core.Term(t[0]) > term {
			return known && uint64(lsn) <= t[1]
		}
		known = known || core.Term(t[0]) == term
	}
	return known
}

// check compares the history and the write states that an instance tells with
// the surviving log. It returns every violation in one error.
func (h *history) check() error {
	s, err := h.checkLog()
	if err != nil {
		return err
	}
	h.checkWriteStatus(s)
	return h.report()
}

// checkLog compares the history with the surviving log.
func (h *history) checkLog() (*survivors, error) {
	s, err := h.fleet.settle()
	if err != nil {
		return nil, err
	}
	runs := s.runs()
	for _, w := range h.writes {
		h.checkWrite(w, s, runs)
	}
	h.checkRegisters(s)
	h.checkConnections(s)
	return s, h.report()
}

func (h *history) report() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.violations) == 0 {
		return nil
	}
	shown := h.violations[:min(len(h.violations), maxReported)]
	return fmt.Errorf("%d violations:\n%s", len(h.violations), strings.Join(shown, "\n"))
}

func (h *history) checkWrite(w write, s *survivors, runs map[string]int) {
	if w.outcome == otherError {
		h.violate("write %v was answered with %v", w.keys, w.err)
	}
	if w.register {
		return
	}
	present := 0
	for _, key := range w.keys {
		value, ok := s.rows[key]
		if ok {
			present++
		}
		if ok && value != w.value {
			h.violate("row %s has the value %q instead of %q", key, value, w.value)
		}
		if runs[key] > 1 {
			h.violate("write %s ran %d times in the surviving history", key, runs[key])
		}
		if w.outcome == notRun && runs[key] > 0 {
			h.violate("write %s was answered as not run (%v) and ran", key, w.err)
		}
	}
	switch {
	case present > 0 && present < len(w.keys):
		h.violate("transaction %v is there in part", w.keys)
	case w.outcome == acknowledged && present == 0:
		h.violate("acknowledged write %v of %s is lost", w.keys, w.end.Format(time.StampMilli))
	case w.outcome == notRun && present > 0:
		h.violate("write %v was answered as not run (%v) and is there", w.keys, w.err)
	}
}

// runs counts for each row's key how often a transaction that wrote it has
// committed in the surviving history.
func (s *survivors) runs() map[string]int {
	type transaction struct {
		member core.MemberID
		number uint64
	}
	keys := map[transaction][]string{}
	runs := map[string]int{}
	for _, r := range s.records {
		t := transaction{r.Member, r.Transaction}
		switch {
		case r.Kind == member.KindStatement && strings.Contains(r.SQL, "INSERT") && r.Outcome == member.OutcomeOK:
			if key := keyOf(r); key != "" {
				keys[t] = append(keys[t], key)
			}
		case r.Kind == member.KindCommit && s.survived(r.Term, r.LSN):
			for _, key := range keys[t] {
				runs[key]++
			}
		}
	}
	return runs
}

// keyOf returns the row's key of a recorded INSERT.
func keyOf(r member.Record) string {
	if len(r.Parameters) > 0 && r.Parameters[0] != nil {
		return *r.Parameters[0]
	}
	_, rest, _ := strings.Cut(r.SQL, "VALUES (")
	key, _, _ := strings.Cut(strings.TrimLeft(rest, " ("), ",")
	return strings.Trim(key, " '")
}

// checkRegisters compares each register with its last acknowledged value.
func (h *history) checkRegisters(s *survivors) {
	last := map[string]int{}
	for _, w := range h.writes {
		if w.register && w.outcome == acknowledged {
			var value int
			_, _ = fmt.Sscan(w.value, &value)
			last[w.keys[0]] = max(last[w.keys[0]], value)
		}
	}
	for key, want := range last {
		var got int
		_, _ = fmt.Sscan(s.rows[key], &got)
		if got < want {
			h.violate("%s is %d at the end, %d was acknowledged", key, got, want)
		}
	}
}

// checkConnections guards against statements of two sessions in one
// transaction of a target connection.
func (h *history) checkConnections(s *survivors) {
	type transaction struct {
		member     core.MemberID
		connection uint64
		number     uint64
	}
	owner := map[transaction]string{}
	for _, r := range s.records {
		if r.Kind != member.KindStatement || r.Transaction == 0 || !strings.Contains(r.SQL, "INSERT") {
			continue
		}
		session, _, found := strings.Cut(keyOf(r), "-")
		if !found || !strings.HasPrefix(session, "s") {
			continue
		}
		t := transaction{r.Member, r.Connection, r.Transaction}
		if first, ok := owner[t]; ok && first != session {
			h.violate("%+v ran statements of %s and %s", t, first, session)
		}
		owner[t] = session
	}
}

// checkWriteStatus asks an instance for the identities of writes with an
// uncertain outcome, and for some of the others.
func (h *history) checkWriteStatus(s *survivors) {
	asked := map[outcome]int{}
	for _, w := range h.writes {
		if w.identity == "" || asked[w.outcome] >= maxReported {
			continue
		}
		asked[w.outcome]++
		_, present := s.rows[w.keys[0]]
		want := map[bool]string{true: "committed", false: "unknown"}[present]
		got, err := h.fleet.writeStatus(w.identity)
		if err != nil || got != want {
			h.violate("write_status of the %s write %s is %q (%v), the log says %q", w.outcome, w.identity, got, err, want)
		}
	}
}

func (f *fleet) writeStatus(identity string) (status string, err error) {
	for i, n := range f.instances {
		if !n.alive() {
			continue
		}
		conn, err := f.dial(context.Background(), i, f.key, nil)
		if err != nil {
			return "", err
		}
		ctx, cancel := context.WithTimeout(context.Background(), statementBound)
		defer cancel()
		defer conn.Close(ctx)
		err = conn.QueryRow(ctx, "SHOW sassafrasshunt.write_status '"+identity+"'", pgx.QueryExecModeSimpleProtocol).Scan(&status)
		return status, err
	}
	return "", errors.New("no instance is alive")
}
