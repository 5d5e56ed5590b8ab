package telemetry

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// runDuty runs a duty while use logs to it, and returns the lines that it wrote.
func runDuty(t *testing.T, exporterKind string, use func(*Duty)) []string {
	var output bytes.Buffer
	exporter, err := NewExporter(exporterKind, "", &output, Fields{"instance": "i1"})
	require.NoError(t, err)
	d := New(Config{Output: &output, Level: logrus.InfoLevel, Exporter: exporter, CommonFields: Fields{"instance": "i1"}, Capacity: 256})
	done := make(chan struct{})
	go func() {
		d.Run()
		close(done)
	}()
	use(d)
	d.Stop()
	<-done
	return strings.Split(strings.TrimSpace(output.String()), "\n")
}

// Guards against log lines that are lost at a stop, and against lines that are not JSON.
func TestLinesAreJSONAndFlushedAtStop(t *testing.T) {
	lines := runDuty(t, "none", func(d *Duty) {
		d.Log(logrus.DebugLevel, "hidden", "below the level", nil)
		d.Log(logrus.InfoLevel, "instance_started", "instance started", Fields{"callers": "127.0.0.1:1"})
	})
	require.Len(t, lines, 1)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &line))
	require.Equal(t, "instance_started", line["event"])
	require.Equal(t, "i1", line["instance"])
}

// Guards against a repeating event that floods the log.
func TestRepeatedEventIsLimited(t *testing.T) {
	lines := runDuty(t, "none", func(d *Duty) {
		now := time.Unix(100, 0)
		for range 100 {
			d.records.TryPush(Log{Level: logrus.WarnLevel, Time: now, Event: "call_failed"})
		}
		d.records.TryPush(Log{Level: logrus.WarnLevel, Time: now.Add(2 * time.Second), Event: "call_failed"})
	})
	require.Len(t, lines, eventLineLimit+1)
	require.Contains(t, lines[eventLineLimit], `"suppressed":80`)
}

// Guards against spans that lose the trace ID of the caller's traceparent.
func TestSpanKeepsTraceIdentity(t *testing.T) {
	lines := runDuty(t, "stdout", func(d *Duty) {
		d.Span(Span{
			Parent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
			Name:   "target", Start: time.Unix(1, 0), End: time.Unix(2, 0),
			Attributes: map[string]string{"member": "m1"},
		})
	})
	require.Contains(t, strings.Join(lines, ""), "0af7651916cd43dd8448eb211c80319c")
}
