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
	// maxLatency and digits bound the histogram.
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Keys of errors without an SQLSTATE.
const (
	ErrorTimeout    = "timeout"
	ErrorConnection = "connection"
)

// Figures describe the statements of one account or of all. Latencies are in
// microseconds and count successful statements only.
type Figures struct {
	Statements int64            `json:"statements"`
	Reads      int64            `json:"reads"`
	Writes     int64            `json:"writes"`
	Errors     map[string]int64 `json:"errors"`
	P50        int64            `json:"p50_us"`
	P99        int64            `json:"p99_us"`
	Max        int64            `json:"max_us"`
	// MissingOwnWrites counts reads that did not see a write acknowledged on
	// the same connection before.
	MissingOwnWrites int64 `json:"missing_own_writes"`
}

// Report is the result of a run.
type Report struct {
	Figures
	Seconds float64 `json:"seconds"`
	// LongestWriteGapMS is the longest time without an acknowledged write,
	// from the first one to the end of the run.
	LongestWriteGapMS int64              `json:"longest_write_gap_ms"`
	Connects          int64              `json:"connects"`
	Accounts          map[string]Figures `json:"accounts"`
	// Acknowledged lists the keys of the acknowledged writes.
	Acknowledged []string `json:"-"`
	// Uncertain lists the keys of the writes whose outcome is not known.
	Uncertain []string `json:"-"`
}

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

// collector gathers what all connections saw.
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

// outcome is one finished statement.
type outcome struct {
	user    string
	write   bool
	key     string
	latency time.Duration
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

// uncertainState is the SQLSTATE of a write whose outcome is not known. Any
// other SQLSTATE means that the write was refused.
const uncertainSQLState = "40003"

func (c *collector) addError(a *account, o outcome) {
	state := errorKey(o.err)
	a.figures.Errors[state]++
	if o.write && (state == uncertainSQLState || state == ErrorTimeout || state == ErrorConnection) {
		c.report.Uncertain = append(c.report.Uncertain, o.key)
	}
}

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
