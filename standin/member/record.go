package member

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/endpoint"
)

const (
	// recordRingCapacity is the number of inputs that can wait for the record
	// duty.
	recordRingCapacity = 8192
	// maxRecordsPerList limits the records in one response to record.list, so
	// that the response stays below the frame limit of 4 MB.
	maxRecordsPerList = 2000
	// flushInterval is the longest time until an idle record duty writes its
	// buffered records to the file.
	flushInterval = 100 * time.Millisecond
)

// Kinds of records.
const (
	KindStartup   = "startup"
	KindPassword  = "password"
	KindRefused   = "refused"
	KindStatement = "statement"
	KindCommit    = "commit"
	KindRollback  = "rollback"
	KindCancel    = "cancel"
)

// Outcomes of records, in addition to "error <SQLSTATE>".
const (
	OutcomeOK           = "ok"
	OutcomeLostResponse = "lost_answer"
)

// Record describes one event of a connection, such as a startup message or a
// statement, and its outcome.
type Record struct {
	Sequence uint64        `json:"sequence"`
	Kind     string        `json:"kind"`
	Member   core.MemberID `json:"member"`
	Time     time.Time     `json:"time"`
	// Connection numbers the connections of the member from 1.
	Connection uint64 `json:"connection,omitempty"`
	// Account is the user of the startup message.
	Account string `json:"account,omitempty"`
	// Transaction numbers the transactions of the member from 1; 0 means none.
	Transaction uint64 `json:"transaction,omitempty"`
	SQL         string `json:"sql,omitempty"`
	// Parameters are in text form; nil is NULL.
	Parameters []*string `json:"parameters,omitempty"`
	// Startup holds all startup parameters.
	Startup map[string]string `json:"startup,omitempty"`
	// Password is the text of a password message.
	Password string    `json:"password,omitempty"`
	Role     core.Role `json:"role"`
	Term     core.Term `json:"term"`
	LSN      core.LSN  `json:"lsn"`
	// Identities are the write identities of a statement or a transaction.
	Identities []string `json:"identities,omitempty"`
	Outcome    string   `json:"outcome"`
}

// RecordList is the result of the method record.list.
type RecordList struct {
	Records []Record `json:"records"`
	// Last is the sequence number of the newest record.
	Last uint64 `json:"last"`
	// Dropped counts the records removed because of the record limit.
	Dropped uint64 `json:"dropped"`
}

// recordInput is an item of the record ring: a record, a list request or the
// request to stop.
type recordInput struct {
	record      *Record
	listRequest *listRequest
	stop        bool
}

// listRequest is a call of record.list.
type listRequest struct {
	after uint64
	reply endpoint.Reply
}

// listResponse is the result for a listRequest.
type listResponse struct {
	reply endpoint.Reply
	list  RecordList
}

// recorder is the record duty. It keeps the newest records in memory and can
// write all of them to a file.
type recorder struct {
	inputs  *ring.Ring[recordInput]
	signal  *ring.Signal
	deliver func(listResponse)
	limit   int
	records []Record
	last    uint64
	dropped uint64
	file    *os.File
	out     *bufio.Writer
}

func newRecorder(o Options, deliver func(listResponse)) (*recorder, error) {
	r := &recorder{signal: ring.NewSignal(), deliver: deliver, limit: o.RecordLimit}
	r.inputs = ring.New[recordInput](recordRingCapacity, r.signal)
	if o.RecordFile == "" {
		return r, nil
	}
	file, err := os.Create(o.RecordFile)
	if err != nil {
		return nil, err
	}
	r.file, r.out = file, bufio.NewWriter(file)
	return r, nil
}

func (r *recorder) run() {
	for {
		input, ok := r.inputs.Pop()
		if !ok {
			r.waitForInput()
			continue
		}
		if input.stop {
			r.close()
			return
		}
		r.handle(input)
	}
}

func (r *recorder) handle(input recordInput) {
	if input.record != nil {
		r.add(*input.record)
		return
	}
	r.deliver(listResponse{reply: input.listRequest.reply, list: r.list(input.listRequest.after)})
}

// waitForInput parks the duty until there is input. Buffered output is flushed
// when none arrives within flushInterval.
func (r *recorder) waitForInput() {
	if !r.inputs.Park() {
		return
	}
	wait := time.Duration(-1)
	if r.out != nil && r.out.Buffered() > 0 {
		wait = flushInterval
	}
	r.signal.Wait(wait)
	r.inputs.Unpark()
	if wait > 0 && r.inputs.Len() == 0 {
		_ = r.out.Flush()
	}
}

func (r *recorder) add(record Record) {
	r.last++
	record.Sequence = r.last
	r.records = append(r.records, record)
	// Up to twice the limit is kept, so that records are seldom copied.
	if len(r.records) > 2*r.limit {
		r.dropped += uint64(len(r.records) - r.limit)
		r.records = append([]Record(nil), r.records[len(r.records)-r.limit:]...)
	}
	if r.out == nil {
		return
	}
	line, err := json.Marshal(record)
	if err != nil {
		return
	}
	_, _ = r.out.Write(append(line, '\n'))
}

// list returns up to maxRecordsPerList records after a sequence number.
func (r *recorder) list(after uint64) RecordList {
	list := RecordList{Last: r.last, Dropped: r.dropped, Records: []Record{}}
	from := int(max(after, r.dropped) - r.dropped)
	if from < len(r.records) {
		to := min(from+maxRecordsPerList, len(r.records))
		list.Records = append(list.Records, r.records[from:to]...)
	}
	return list
}

func (r *recorder) close() {
	if r.out == nil {
		return
	}
	_ = r.out.Flush()
	_ = r.file.Close()
}
