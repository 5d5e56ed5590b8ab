package telemetry

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sassafrasshunt/sassafrasshunt/lib/ring"
)

const (
	// eventLineLimit is the maximum number of lines of one event that are written within
	// eventWindow. Further lines are counted, and the count is added to the first line
	// of the next window.
	eventLineLimit = 20
	eventWindow    = time.Second
)

// SpanExporter sends finished spans to a collector.
type SpanExporter interface {
	// Export sends a span or queues it for sending.
	Export(Span)
	// Shutdown sends the queued spans and ends the exporter.
	Shutdown()
}

// Config configures the log output and the span exporter.
type Config struct {
	Output io.Writer
	// Level is the lowest level that is written.
	Level logrus.Level
	// Exporter receives the spans; nil for none.
	Exporter SpanExporter
	// CommonFields are added to every line, such as instance and failure domain.
	CommonFields Fields
	// Capacity is the capacity of the record ring, in records.
	Capacity int
}

// Duty owns the log output and the span exporter. It runs on the thread that calls Run.
type Duty struct {
	records      *ring.Ring[Record]
	signal       *ring.Signal
	logger       *logrus.Logger
	commonFields logrus.Fields
	exporter     SpanExporter
	counters     map[string]*eventCounter
	stop         chan struct{}
}

// eventCounter counts the lines of one event in the current window.
type eventCounter struct {
	windowStart time.Time
	written     int
	suppressed  int
}

// New returns a duty that is not running yet. Run must be called on a thread of its own.
func New(c Config) *Duty {
	logger := logrus.New()
	logger.SetOutput(c.Output)
	logger.SetLevel(c.Level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	signal := ring.NewSignal()
	return &Duty{
		records:      ring.New[Record](c.Capacity, signal),
		signal:       signal,
		logger:       logger,
		commonFields: logrus.Fields(c.CommonFields),
		exporter:     c.Exporter,
		counters:     map[string]*eventCounter{},
		stop:         make(chan struct{}),
	}
}

// Log queues a line, or drops it when the ring is full. It is safe for concurrent use
// and never blocks.
func (d *Duty) Log(level logrus.Level, event, message string, fields Fields) {
	if !d.logger.IsLevelEnabled(level) {
		return
	}
	d.records.TryPush(Log{Level: level, Time: time.Now(), Event: event, Message: message, Fields: fields})
}

// Span queues a span, or drops it when the ring is full or there is no exporter. It is
// safe for concurrent use and never blocks.
func (d *Duty) Span(s Span) {
	if d.exporter != nil {
		d.records.TryPush(s)
	}
}

// Tracing reports whether spans are exported.
func (d *Duty) Tracing() bool {
	return d.exporter != nil
}

// Stats returns the statistics of the record ring; its refusals are dropped records.
func (d *Duty) Stats() ring.Stats {
	return d.records.Stats()
}

// Run writes records until Stop, then writes the remaining ones and shuts down the
// exporter.
func (d *Duty) Run() {
	for !d.stopped() {
		d.writePending()
		if d.records.Park() {
			d.signal.Wait(-1)
			d.records.Unpark()
		}
	}
	d.writePending()
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

// Stop makes Run return. It must be called exactly once, after the other duties have
// ended.
func (d *Duty) Stop() {
	close(d.stop)
	d.signal.Wake()
}

// writePending writes or exports the queued records.
func (d *Duty) writePending() {
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

// write writes a line unless its event is over its limit.
func (d *Duty) write(r Log) {
	suppressed, allowed := d.allow(r)
	if !allowed {
		return
	}
	entry := d.logger.WithTime(r.Time).WithFields(d.commonFields).WithFields(logrus.Fields(r.Fields)).WithField("event", r.Event)
	if suppressed > 0 {
		entry = entry.WithField("suppressed", suppressed)
	}
	entry.Log(r.Level, r.Message)
}

// allow limits the lines of each event, so that a failure which repeats with every
// statement does not flood the log. It reports whether to write the line, and how many
// lines were suppressed in the previous window.
func (d *Duty) allow(r Log) (suppressed int, allowed bool) {
	counter := d.counters[r.Event]
	if counter == nil {
		counter = &eventCounter{windowStart: r.Time}
		d.counters[r.Event] = counter
	}
	if r.Time.Sub(counter.windowStart) >= eventWindow {
		suppressed = counter.suppressed
		*counter = eventCounter{windowStart: r.Time}
	}
	if counter.written >= eventLineLimit {
		counter.suppressed++
		return 0, false
	}
	counter.written++
	return suppressed, true
}
