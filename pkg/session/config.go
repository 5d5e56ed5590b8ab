package session

import (
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/lib/chart"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/fairqueue"
)

// Policy names a way to choose the member for a read.
type Policy string

// Policies. PolicyRoundRobin and PolicyPrimary are baselines for measurements.
const (
	PolicyFactors    Policy = "factors"
	PolicyRoundRobin Policy = "round_robin"
	PolicyPrimary    Policy = "primary"
)

// Bounds holds the time limits of every wait, and the intervals of repeated
// work.
type Bounds struct {
	// CallerIdle closes a caller that sends nothing outside a transaction.
	CallerIdle time.Duration
	// TransactionIdle closes a caller that sends nothing inside a transaction.
	TransactionIdle time.Duration
	// Classify is how long a statement waits for its classification.
	Classify time.Duration
	// ReplicaWait is how long a read waits for a replica before it goes to the
	// primary.
	ReplicaWait time.Duration
	// Confirm is how long a committed write waits for a majority.
	Confirm time.Duration
	// StreamStall ends a result that makes no progress.
	StreamStall time.Duration
	// ConnectionOpen bounds the opening of a target connection.
	ConnectionOpen time.Duration
	// ConnectionIdle closes a target connection that is not used.
	ConnectionIdle time.Duration
	// ConnectionBusy closes a target connection whose request never ends.
	ConnectionBusy time.Duration
	// ConnectionClose is the time after which a close that was not reported as
	// done is repeated.
	ConnectionClose time.Duration
	// Deadline applies to entries without a deadline of their own.
	Deadline time.Duration
	// FloorRetry is the time after which a floor round without a result is
	// requested again.
	FloorRetry time.Duration
	// Leaving is how long open transactions on a database that is being removed
	// may continue.
	Leaving time.Duration
	// OpenBackoff is the first pause before a member that failed is tried
	// again.
	OpenBackoff time.Duration
	// DemandInterval is the interval of demand reports.
	DemandInterval time.Duration
	// ConnectionProbe bounds the probe of an idle connection.
	ConnectionProbe time.Duration
	// ProbeInterval is the age of the newest position proof at which the primary
	// is probed for another.
	ProbeInterval time.Duration
	// ConnectionLimitBackoff is the pause before a connection is tried again
	// after the member refused one for its connection limit.
	ConnectionLimitBackoff time.Duration
	// HomeWait is how long callers wait after a start until the homes of all
	// accounts are known; 0 admits them at once.
	HomeWait time.Duration
	// OutputRetry is the time after which commands and reports that found a
	// full ring are offered again.
	OutputRetry time.Duration
}

// DefaultBounds returns the bounds of a normal deployment.
func DefaultBounds() Bounds {
	return Bounds{
		CallerIdle:             24 * time.Hour,
		TransactionIdle:        time.Minute,
		Classify:               time.Second,
		ReplicaWait:            50 * time.Millisecond,
		Confirm:                2 * time.Second,
		StreamStall:            30 * time.Second,
		ConnectionOpen:         2 * time.Second,
		ConnectionIdle:         time.Minute,
		ConnectionBusy:         time.Hour,
		ConnectionClose:        5 * time.Second,
		Deadline:               10 * time.Second,
		FloorRetry:             200 * time.Millisecond,
		Leaving:                2 * time.Second,
		OpenBackoff:            100 * time.Millisecond,
		DemandInterval:         time.Second,
		ConnectionProbe:        time.Second,
		ProbeInterval:          300 * time.Millisecond,
		ConnectionLimitBackoff: 100 * time.Millisecond,
		OutputRetry:            5 * time.Millisecond,
	}
}

// Config configures an Engine.
type Config struct {
	// Domain is the failure domain of the instance.
	Domain core.Domain
	Bounds Bounds
	// Policy chooses the member for a read; PolicyFactors when empty.
	Policy Policy
	// Queue is the queueing discipline; fairqueue.KindFair when empty.
	Queue fairqueue.Kind
	// AckAtCommit is a baseline that acknowledges a write without waiting for a
	// majority. It loses acknowledged writes at a failover.
	AckAtCommit bool
	// OpenTime is the assumed time to open a target connection until one has
	// been measured.
	OpenTime time.Duration
	// SlowMember is the status round trip above which a replica gets no work.
	SlowMember time.Duration
	// RetryFraction is the maximum ratio of retries to requests.
	RetryFraction float64
	// RetryBurst is the maximum number of retries that may be saved up.
	RetryBurst float64
	// MaxHeldBytes limits the result, in bytes, of one write that is held until
	// the commit is confirmed.
	MaxHeldBytes int
	// QueueLimit limits the statements that wait for one member.
	QueueLimit int
	// TraceSeed is the first half of the trace identifiers of statements whose
	// caller supplied none; zero traces only callers that supply one.
	TraceSeed uint64
	// AsyncReplication is set for groups whose primary acknowledges commits
	// without waiting for replicas, whose members verify positions and the
	// primary's role themselves, and whose connections belong to one account
	// each. AckAtCommit must be set too.
	AsyncReplication bool
	// MemberConnections limits the connections of this instance to one member
	// with AsyncReplication, until the first share update.
	MemberConnections int
	// RatePerOperation counts a transaction as one request.
	RatePerOperation bool
	// FinishOnRevocation lets a running statement of a revoked key be answered
	// before its session ends.
	FinishOnRevocation bool
	// MaxSettingsBytes limits the session settings of one caller, in bytes of SQL
	// text.
	MaxSettingsBytes int
}

// DefaultConfig returns the configuration of a normal deployment.
func DefaultConfig() Config {
	return Config{
		Bounds:           DefaultBounds(),
		Policy:           PolicyFactors,
		Queue:            fairqueue.KindFair,
		OpenTime:         20 * time.Millisecond,
		SlowMember:       250 * time.Millisecond,
		RetryFraction:    0.1,
		RetryBurst:       10,
		MaxHeldBytes:     1 << 20,
		QueueLimit:       10_000,
		MaxSettingsBytes: 8 << 10,
	}
}

// ConfigError reports a configuration that the engine cannot use.
type ConfigError struct {
	// Field is the name of the value that is not positive.
	Field string
}

func (e *ConfigError) Error() string {
	return "session configuration: " + e.Field + " must be positive"
}

// check returns a *ConfigError for a duration or limit that is not positive.
func (c *Config) check() error {
	durations := map[string]time.Duration{
		"caller idle": c.Bounds.CallerIdle, "transaction idle": c.Bounds.TransactionIdle,
		"classify": c.Bounds.Classify, "replica wait": c.Bounds.ReplicaWait,
		"confirm": c.Bounds.Confirm, "stream stall": c.Bounds.StreamStall,
		"connection open": c.Bounds.ConnectionOpen, "connection idle": c.Bounds.ConnectionIdle,
		"connection busy": c.Bounds.ConnectionBusy, "connection close": c.Bounds.ConnectionClose,
		"deadline": c.Bounds.Deadline, "floor retry": c.Bounds.FloorRetry,
		"open backoff":    c.Bounds.OpenBackoff,
		"demand interval": c.Bounds.DemandInterval, "output retry": c.Bounds.OutputRetry,
		"open time": c.OpenTime,
	}
	for field, value := range durations {
		if value <= 0 {
			return &ConfigError{Field: field}
		}
	}
	if c.QueueLimit <= 0 {
		return &ConfigError{Field: "queue limit"}
	}
	if c.MaxHeldBytes <= 0 {
		return &ConfigError{Field: "max held bytes"}
	}
	return nil
}

// callerTimeouts returns the timeouts of the chart "caller".
func (b *Bounds) callerTimeouts() map[string]time.Duration {
	return map[string]time.Duration{
		"caller_idle":      b.CallerIdle,
		"caller_active":    b.StreamStall,
		"transaction_idle": dynamicTransactionIdle,
	}
}

// statementTimeouts returns the timeouts of the chart "statement".
func (b *Bounds) statementTimeouts() map[string]time.Duration {
	return map[string]time.Duration{
		"deadline":     statementDeadline,
		"classify":     b.Classify,
		"replica_wait": b.ReplicaWait,
		"stream_stall": b.StreamStall,
		"confirm":      b.Confirm,
	}
}

// targetTimeouts returns the timeouts of the chart "target".
func (b *Bounds) targetTimeouts() map[string]time.Duration {
	return map[string]time.Duration{
		"connection_open":  b.ConnectionOpen,
		"connection_idle":  b.ConnectionIdle,
		"connection_busy":  b.ConnectionBusy,
		"connection_close": b.ConnectionClose,
		"connection_probe": b.ConnectionProbe,
	}
}

// dynamicTransactionIdle is a placeholder in the chart's timeouts for
// Engine.transactionIdle.
const dynamicTransactionIdle time.Duration = 0

// statementDeadline is a placeholder in the chart's timeouts for the
// statement's own deadline.
const statementDeadline time.Duration = 0

// event is a chart event that was resolved by name at start.
type event = chart.Event
