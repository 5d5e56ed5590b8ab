package load

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// maxLatency and significantDigits are the range and the precision of the
	// latency histogram.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Keys of Figures.Errors for errors without an SQLSTATE.
const (
	ErrorTimeout    = "timeout"
	ErrorConnection = "connection"
)

// Figures are the results of one account or of all. Latencies are in microseconds and
// are those of successful statements only.
type Figures struct {
	Statements int64 `json:"statements"`
	Reads      int64 `json:"reads"`
	Writes     int64 `json:"writes"`
	// Errors counts failed statements and connection attempts by SQLSTATE, or by
	// ErrorTimeout or ErrorConnection.
	Errors map[string]int64 `json:"errors"`
	P50    int64            `json:"p50_us"`
	P99    int64            `json:"p99_us"`
	Max    int64            `json:"max_us"`
	// MissingOwnWrites counts reads that did not return a write that had been
	// acknowledged on the same connection.
	MissingOwnWrites int64 `json:"missing_own_writes"`
}

// Report is the result of a run.
type Report struct {
	Figures
	Seconds float64 `json:"seconds"`
	// LongestWriteGapMS is the longest time without an acknowledged write, in
	// milliseconds, between the first write and the end of the run.
	LongestWriteGapMS int64              `json:"longest_write_gap_ms"`
	Connects          int64              `json:"connects"`
	Accounts          map[string]Figures `json:"accounts"`
	// Acknowledged lists the keys of the acknowledged writes.
	Acknowledged []string `json:"-"`
	// Uncertain lists the keys of the writes whose outcome is not known.
	Uncertain []string `json:"-"`
}

// account collects the results of one account.
type account struct {
	figures   Figures
	histogram *hdrhistogram.Histogram
}

func newAccount() *account {
	return &account{
		figures:   Figures{Errors: map[string]int64{}},
		histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
	}
}

// collector collects the results of all connections. It is safe for concurrent use.
type collector struct {
	mu              sync.Mutex
	accounts        map[string]*account
	lastWrite       time.Time
	longestWriteGap time.Duration
	report          Report
}

func newCollector(users []User) *collector {
	c := &collector{accounts: map[string]*account{}}
	for _, u := range users {
		c.accounts[u.Name] = newAccount()
	}
	return c
}

// outcome is the result of one statement.
type outcome struct {
	user  string
	write bool
	// key is the key of a write.
	key     string
	latency time.Duration
	// missing is set for a read that did not return the connection's own write.
	missing bool
	err     error
}

func (c *collector) addOutcome(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accounts[o.user]
	a.figures.Statements++
	if o.write {
		a.figures.Writes++
	} else {
		a.figures.Reads++
	}
	if o.err != nil {
		c.addError(a, o)
		return
	}
	_ = a.histogram.RecordValue(max(o.latency.Microseconds(), 1))
	if o.missing {
		a.figures.MissingOwnWrites++
	}
	if o.write {
		c.report.Acknowledged = append(c.report.Acknowledged, o.key)
		c.recordWrite(time.Now())
	}
}

// uncertainSQLState is the SQLSTATE of a write whose outcome is not known. Any other
// SQLSTATE means that the write was not executed.
const uncertainSQLState = "40003"

func (c *collector) addError(a *account, o outcome) {
	state := errorKey(o.err)
	a.figures.Errors[state]++
	if o.write && (state == uncertainSQLState || state == ErrorTimeout || state == ErrorConnection) {
		c.report.Uncertain = append(c.report.Uncertain, o.key)
	}
}

// errorKey returns the key of an error in Figures.Errors.
func errorKey(err error) string {
	var pgError *pgconn.PgError
	switch {
	case errors.As(err, &pgError):
		return pgError.Code
	case errors.Is(err, context.DeadlineExceeded):
		return ErrorTimeout
	}
	return ErrorConnection
}

// recordWrite updates the longest write gap.
func (c *collector) recordWrite(now time.Time) {
	if !c.lastWrite.IsZero() {
		c.longestWriteGap = max(c.longestWriteGap, now.Sub(c.lastWrite))
	}
	c.lastWrite = now
}

func (c *collector) addConnect(user string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Connects++
	if err != nil {
		c.accounts[user].figures.Errors[errorKey(err)]++
	}
}

// finish returns the report at the end of the run.
func (c *collector) finish(elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastWrite.IsZero() {
		c.recordWrite(time.Now())
	}
	total := newAccount()
	c.report.Accounts = map[string]Figures{}
	for name, a := range c.accounts {
		a.summarize()
		c.report.Accounts[name] = a.figures
		total.merge(a)
	}
	total.summarize()
	c.report.Figures = total.figures
	c.report.Seconds = elapsed.Seconds()
	c.report.LongestWriteGapMS = c.longestWriteGap.Milliseconds()
	return c.report
}

func (a *account) summarize() {
	a.figures.P50 = a.histogram.ValueAtQuantile(50)
	a.figures.P99 = a.histogram.ValueAtQuantile(99)
	a.figures.Max = a.histogram.Max()
}

func (a *account) merge(b *account) {
	a.histogram.Merge(b.histogram)
	a.figures.Statements += b.figures.Statements
	a.figures.Reads += b.figures.Reads
	a.figures.Writes += b.figures.Writes
	a.figures.MissingOwnWrites += b.figures.MissingOwnWrites
	for state, n := range b.figures.Errors {
		a.figures.Errors[state] += n
	}
}
