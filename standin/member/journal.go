package member

import (
	"bytes"
	"encoding/json"
	"os"
	"strconv"

	"github.com/sassafrasshunt/sassafrasshunt/standin/store"
)

// JournalError reports a line of the data file that is not a journal record.
type JournalError struct {
	Line   int
	Reason string
}

func (e *JournalError) Error() string {
	return "data file, line " + strconv.Itoa(e.Line) + ": " + e.Reason
}

// openJournal opens the data file and returns its records. It removes an
// incomplete last line: a crash interrupted its write, so the change was never
// confirmed. It returns a *JournalError for an invalid line.
func (m *Member) openJournal() ([]store.JournalRecord, error) {
	if m.options.DataFile == "" {
		return nil, nil
	}
	text, err := os.ReadFile(m.options.DataFile)
	if err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	whole := text[:bytes.LastIndexByte(text, '\n')+1]
	records, err := parseJournal(whole)
	if err != nil {
		return nil, err
	}
	m.dataFile, err = os.OpenFile(m.options.DataFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return records, m.dataFile.Truncate(int64(len(whole)))
}

func parseJournal(text []byte) ([]store.JournalRecord, error) {
	var records []store.JournalRecord
	for line := range bytes.Lines(text) {
		var r store.JournalRecord
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, &JournalError{Line: len(records) + 1, Reason: err.Error()}
		}
		records = append(records, r)
	}
	return records, nil
}

// appendJournal writes a record to the data file. It does not call fsync: a
// stand-in has to survive the end of its process, not a failure of its host. It
// panics when the write fails, because the change must not be confirmed then.
func (m *Member) appendJournal(r store.JournalRecord) {
	if m.dataFile == nil {
		return
	}
	line, err := json.Marshal(r)
	if err == nil {
		_, err = m.dataFile.Write(append(line, '\n'))
	}
	if err != nil {
		panic(err)
	}
}

func (m *Member) closeJournal() {
	if m.dataFile != nil {
		_ = m.dataFile.Close()
	}
}
