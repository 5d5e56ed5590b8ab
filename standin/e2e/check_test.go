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
	// agreementTimeout is how long the members may take to agree on one primary
	// and one log after the faults have ended.
	agreementTimeout = 15 * time.Second
	// maxReportedViolations is the number of violations that a report lists.
	maxReportedViolations = 20
)

// groupState is the state of the group after the faults have ended.
type groupState struct {
	primary       *memberNode
	primaryStatus member.Status
	// rows are the values on the primary by their ids.
	rows map[string]string
	// records are the records of all members, including the dead ones.
	records []member.Record
}

// awaitAgreement waits until the running members agree on one primary and its log,
// and returns that state. It also compares the number of rows on the members.
func (f *fleet) awaitAgreement() (*groupState, error) {
	s := &groupState{}
	err := eventually(agreementTimeout, func() error { return f.checkAgreement(s) })
	if err != nil {
		return nil, fmt.Errorf("the members do not agree on a primary and its log: %w", err)
	}
	if s.rows, err = readRows(s.primary); err != nil {
		return nil, err
	}
	for _, m := range f.members {
		if !m.isRunning() {
			continue
		}
		rows, err := readRows(m)
		if err != nil {
			return nil, err
		}
		if len(rows) != len(s.rows) {
			return nil, fmt.Errorf("%s has %d rows but the primary has %d", m.id, len(rows), len(s.rows))
		}
	}
	s.records, err = f.readRecords()
	return s, err
}

// checkAgreement sets the primary and its status in s. It returns an error if
// there is not exactly one primary or if a running member has applied another position.
func (f *fleet) checkAgreement(s *groupState) error {
	s.primary = nil
	var statuses []member.Status
	for _, m := range f.members {
		if !m.isRunning() {
			continue
		}
		var status member.Status
		if err := callJSON(m.statusAddress, "status", struct{}{}, &status); err != nil {
			return err
		}
		statuses = append(statuses, status)
		if status.Role == core.RolePrimary {
			if s.primary != nil {
				return errors.New("there are two primaries")
			}
			s.primary, s.primaryStatus = m, status
		}
	}
	if s.primary == nil {
		return fmt.Errorf("no primary among %+v", statuses)
	}
	for _, status := range statuses {
		if status.LogTerm != s.primaryStatus.LogTerm || status.Applied != s.primaryStatus.Applied {
			return fmt.Errorf("the log position of %+v differs from that of the primary %+v", status, s.primaryStatus)
		}
	}
	return nil
}

// readRows returns the values in the table of a member by their ids.
func readRows(m *memberNode) (map[string]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://checker@"+m.sqlAddress+"/?sslmode=disable&default_query_exec_mode=simple_protocol")
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

// readRecords reads the record files of all members, including the dead ones. It
// skips lines that cannot be decoded, such as an incomplete last line.
func (f *fleet) readRecords() ([]member.Record, error) {
	// Members write a record to the file at most 100 ms after it was made.
	time.Sleep(200 * time.Millisecond)
	var records []member.Record
	for _, m := range f.members {
		file, err := os.Open(m.recordFile)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 8<<20)
		for lines.Scan() {
			var r member.Record
			if json.Unmarshal(lines.Bytes(), &r) == nil {
				records = append(records, r)
			}
		}
		_ = file.Close()
	}
	return records, nil
}

// logContains reports whether a position is part of the log of the current primary.
// A term's log ends where the next term starts.
func (s *groupState) logContains(term core.Term, lsn core.LSN) bool {
	termStarted := false
	for _, t := range s.primaryStatus.TermStarts {
		if core.Term(t[0]) > term {
			return termStarted && uint64(lsn) <= t[1]
		}
		termStarted = termStarted || core.Term(t[0]) == term
	}
	return termStarted
}

// check compares the history, and the write status that an instance reports, with
// the log of the current primary. It returns the violations in one error.
func (h *history) check() error {
	s, err := h.checkLog()
	if err != nil {
		return err
	}
	h.checkWriteStatus(s)
	return h.violationsError()
}

// checkLog compares the history with the log of the current primary. It returns the
// violations in one error.
func (h *history) checkLog() (*groupState, error) {
	s, err := h.fleet.awaitAgreement()
	if err != nil {
		return nil, err
	}
	commits := s.commitCounts()
	for _, w := range h.writes {
		h.checkWrite(w, s, commits)
	}
	h.checkRegisters(s)
	h.checkConnections(s)
	return s, h.violationsError()
}

// violationsError returns an error that lists the first violations, or nil if there
// are none.
func (h *history) violationsError() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.violations) == 0 {
		return nil
	}
	shown := h.violations[:min(len(h.violations), maxReportedViolations)]
	return fmt.Errorf("%d violations:\n%s", len(h.violations), strings.Join(shown, "\n"))
}

// checkWrite checks that an acknowledged write is present, that a write reported as
// not run did not run, that no write ran twice, and that a transaction is complete.
func (h *history) checkWrite(w write, s *groupState, commits map[string]int) {
	if w.outcome == otherError {
		h.addViolation("write %v got the unexpected error %v", w.keys, w.err)
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
			h.addViolation("row %s has the value %q instead of %q", key, value, w.value)
		}
		if commits[key] > 1 {
			h.addViolation("write %s ran %d times in the log of the current primary", key, commits[key])
		}
		if w.outcome == notRun && commits[key] > 0 {
			h.addViolation("write %s was reported as not run (%v) but ran", key, w.err)
		}
	}
	switch {
	case present > 0 && present < len(w.keys):
		h.addViolation("only a part of transaction %v is present", w.keys)
	case w.outcome == acknowledged && present == 0:
		h.addViolation("acknowledged write %v of %s is lost", w.keys, w.end.Format(time.StampMilli))
	case w.outcome == notRun && present > 0:
		h.addViolation("write %v was reported as not run (%v) but is present", w.keys, w.err)
	}
}

// commitCounts returns, for each row's key, how many transactions that inserted it
// are committed in the log of the current primary.
func (s *groupState) commitCounts() map[string]int {
	type transactionID struct {
		member core.MemberID
		number uint64
	}
	insertedKeys := map[transactionID][]string{}
	counts := map[string]int{}
	for _, r := range s.records {
		tx := transactionID{r.Member, r.Transaction}
		switch {
		case r.Kind == member.KindStatement && strings.Contains(r.SQL, "INSERT") && r.Outcome == member.OutcomeOK:
			if key := insertedKey(r); key != "" {
				insertedKeys[tx] = append(insertedKeys[tx], key)
			}
		case r.Kind == member.KindCommit && s.logContains(r.Term, r.LSN):
			for _, key := range insertedKeys[tx] {
				counts[key]++
			}
		}
	}
	return counts
}

// insertedKey returns the key of the row that a recorded INSERT writes, from its
// parameters or, with the simple protocol, from its text.
func insertedKey(r member.Record) string {
	if len(r.Parameters) > 0 && r.Parameters[0] != nil {
		return *r.Parameters[0]
	}
	_, rest, _ := strings.Cut(r.SQL, "VALUES (")
	key, _, _ := strings.Cut(strings.TrimLeft(rest, " ("), ",")
	return strings.Trim(key, " '")
}

// checkRegisters checks that no register is behind its last acknowledged value.
func (h *history) checkRegisters(s *groupState) {
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
			h.addViolation("%s is %d at the end although %d was acknowledged", key, got, want)
		}
	}
}

// checkConnections checks that no transaction of a target connection has statements
// of two sessions.
func (h *history) checkConnections(s *groupState) {
	type transactionID struct {
		member     core.MemberID
		connection uint64
		number     uint64
	}
	sessions := map[transactionID]string{}
	for _, r := range s.records {
		if r.Kind != member.KindStatement || r.Transaction == 0 || !strings.Contains(r.SQL, "INSERT") {
			continue
		}
		session, _, found := strings.Cut(insertedKey(r), "-")
		if !found || !strings.HasPrefix(session, "s") {
			continue
		}
		tx := transactionID{r.Member, r.Connection, r.Transaction}
		if first, ok := sessions[tx]; ok && first != session {
			h.addViolation("%+v ran statements of %s and %s", tx, first, session)
		}
		sessions[tx] = session
	}
}

// checkWriteStatus queries the write status of up to maxReportedViolations writes
// of each outcome, the uncertain ones included, and compares it with the rows.
func (h *history) checkWriteStatus(s *groupState) {
	queried := map[outcome]int{}
	for _, w := range h.writes {
		if w.writeID == "" || queried[w.outcome] >= maxReportedViolations {
			continue
		}
		queried[w.outcome]++
		_, present := s.rows[w.keys[0]]
		want := map[bool]string{true: "committed", false: "unknown"}[present]
		got, err := h.fleet.queryWriteStatus(w.writeID)
		if err != nil || got != want {
			h.addViolation("write_status of the %s write %s is %q (%v), the log says %q", w.outcome, w.writeID, got, err, want)
		}
	}
}

// queryWriteStatus queries the status of a write at the first running instance.
func (f *fleet) queryWriteStatus(writeID string) (status string, err error) {
	for i, n := range f.instances {
		if !n.isRunning() {
			continue
		}
		conn, err := f.dial(context.Background(), i, f.key, nil)
		if err != nil {
			return "", err
		}
		ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
		defer cancel()
		defer conn.Close(ctx)
		err = conn.QueryRow(ctx, "SHOW sassafrasshunt.write_status '"+writeID+"'", pgx.QueryExecModeSimpleProtocol).Scan(&status)
		return status, err
	}
	return "", errors.New("no instance is running")
}
