// Package telemetry writes log lines and trace spans on a thread of its own.
// Other duties pass records to it in a bounded ring; when it is full, records
// are dropped and counted, so that logging never delays a statement.
package telemetry

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Record is a log line or a span.
type Record interface {
	telemetryRecord()
}

// Fields are the attributes of a log line.
type Fields map[string]any

// Log is one log line.
type Log struct {
	Level logrus.Level
	Time  time.Time
	// Event is a stable name in snake case that operators can search for.
	Event   string
	Message string
	Fields  Fields
}

// Span is a finished trace span, which covers one step of a request.
type Span struct {
	// Parent is a W3C traceparent header, empty for a new trace.
	Parent     string
	Name       string
	Start      time.Time
	End        time.Time
	Attributes map[string]string
}

func (Log) telemetryRecord()  {}
func (Span) telemetryRecord() {}
