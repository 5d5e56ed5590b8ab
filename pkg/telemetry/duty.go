package telemetry

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
)

const (
	// eventBurst is the number of lines of one event within eventWindow that
	// are written; further ones are counted and reported with the next line.
	eventBurst  = 20
	eventWindow = time.Second
)

// SpanExporter sends finished spans.
type SpanExporter interface {
	Export(Span)
	Shutdown()
}

// Config describes where records go.
type Config struct {
	Output   io.Writer
	Level    logrus.Level
	Exporter SpanExporter
	// Base are fields of every line: instance and failure domain.
	Base     Fields
	Capacity int
}

// Duty owns the log output and the span exporter.
type Duty struct {
	records  *ring.Ring[Record]
	signal   *ring.Signal
	logger   *logrus.Logger
	base     logrus.Fields
	exporter SpanExporter
	limits   map[string]*eventLimit
	stop     chan struct{}
}

type eventLimit struct {
	windowStart time.Time
	written     int
	suppressed  int
}

// New returns a duty; Run must be started on a thread of its own.
func New(c Config) *Duty {
	logger := logrus.New()
	logger.SetOutput(c.Output)
	logger.SetLevel(c.Level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	signal := ring.NewSignal()
	return &Duty{
		records:  ring.New[Record](c.Capacity, signal),
		signal:   signal,
		logger:   logger,
		base:     logrus.Fields(c.Base),
		exporter: c.Exporter,
		limits:   map[string]*eventLimit{},
		stop:     make(chan struct{}),
	}
}

// Log queues a line. It is safe for concurrent use and never waits.
func (d *Duty) Log(level logrus.Level, event, message string, fields Fields) {
	if !d.logger.IsLevelEnabled(level) {
		return
	}
	d.records.TryPush(Log{Level: level, Time: time.Now(), Event: event, Message: message, Fields: fields})
}

// Span queues a span. It is safe for concurrent use and never waits.
func (d *Duty) Span(s Span) {
	if d.exporter != nil {
		d.records.TryPush(s)
	}
}

// Tracing reports whether spans are exported.
func (d *Duty) Tracing() bool {
	return d.exporter != nil
}

// Stats returns the state of the input ring; refusals are dropped records.
func (d *Duty) Stats() ring.Stats {
	return d.records.Stats()
}

// Run writes records until Stop, then writes what is left.
func (d *Duty) Run() {
	for !d.stopped() {
		d.drain()
		if d.records.Park() {
			d.signal.Wait(-1)
			d.records.Unpark()
		}
	}
	d.drain()
	if d.exporter != nil {
		d.exporter.Shutdown()
	}
}

func (d *Duty) stopped() bool {
	select {
	case <-d.stop:
		return true
	default:
		return false
	}
}

// Stop ends Run. It must be called once, after the other duties have ended.
func (d *Duty) Stop() {
	close(d.stop)
	d.signal.Wake()
}

func (d *Duty) drain() {
	for {
		record, ok := d.records.Pop()
		if !ok {
			return
		}
		switch r := record.(type) {
		case Log:
			d.write(r)
		case Span:
			d.exporter.Export(r)
		}
	}
}

func (d *Duty) write(r Log) {
	suppressed, allowed := d.allow(r)
	if !allowed {
		return
	}
	entry := d.logger.WithTime(r.Time).WithFields(d.base).WithFields(logrus.Fields(r.Fields)).WithField("event", r.Event)
	if suppressed > 0 {
		entry = entry.WithField("suppressed", suppressed)
	}
	entry.Log(r.Level, r.Message)
}

// allow limits the lines of one event, so that a failure which repeats for
// each statement does not flood the log.
func (d *Duty) allow(r Log) (suppressed int, allowed bool) {
	limit := d.limits[r.Event]
	if limit == nil {
		limit = &eventLimit{windowStart: r.Time}
		d.limits[r.Event] = limit
	}
	if r.Time.Sub(limit.windowStart) >= eventWindow {
		suppressed = limit.suppressed
		*limit = eventLimit{windowStart: r.Time}
	}
	if limit.written >= eventBurst {
		limit.suppressed++
		return 0, false
	}
	limit.written++
	return suppressed, true
}
