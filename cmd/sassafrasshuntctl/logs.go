package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// logsExplain prints the log lines of several instances that concern one request.
type logsExplain struct {
	request string
	files   []string
}

func (*logsExplain) Name() string     { return "explain" }
func (*logsExplain) Synopsis() string { return "print the log lines that concern one request" }
func (*logsExplain) Usage() string {
	return `logs explain -request ID [-file FILE ...]
  Prints the lines of the request and the state changes that the same instances
  logged in the ten seconds before, in order of time. Without files, standard input
  is read.
  Exit codes: 0 found, 1 no line names the request or a file cannot be read, 2 bad usage.
`
}

func (c *logsExplain) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.request, "request", "", "id of the request")
	f.Func("file", "log file; may be given several times", func(name string) error {
		c.files = append(c.files, name)
		return nil
	})
}

func (c *logsExplain) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.request == "" {
		fmt.Fprintln(os.Stderr, "-request is required")
		return subcommands.ExitUsageError
	}
	lines, err := readLogs(c.files, os.Stdin)
	if err != nil {
		return fail(err)
	}
	related := relatedLines(lines, c.request)
	if len(related) == 0 {
		return fail(fmt.Errorf("no log line names the request %s; answered requests are sampled", c.request))
	}
	for _, l := range related {
		fmt.Println(l)
	}
	return subcommands.ExitSuccess
}

// logLine is one parsed line of a log.
type logLine struct {
	at          time.Time
	instance    string
	event       string
	message     string
	request     string
	otherFields []string
}

// String returns the line as time, instance, event, message and other fields.
func (l *logLine) String() string {
	return fmt.Sprintf("%s %s %s: %s  %s", l.at.Format("15:04:05.000"), l.instance, l.event, l.message, strings.Join(l.otherFields, " "))
}

// isStateChange reports whether the line is about the instance's state or its view
// of the fleet, and not about a request.
func (l *logLine) isStateChange() bool {
	return l.request == "" && l.event != "request"
}

// readLogs reads the files, or in if there are none. Lines without a JSON object are
// skipped.
func readLogs(files []string, in io.Reader) ([]*logLine, error) {
	if len(files) == 0 {
		return readLog(in)
	}
	var lines []*logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		more, err := readLog(file)
		file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// maxLogLine is the maximum length of a line in bytes.
const maxLogLine = 1 << 20

func readLog(in io.Reader) ([]*logLine, error) {
	var lines []*logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if i := strings.IndexByte(text, '{'); i >= 0 {
			if l := parseLogLine(text[i:]); l != nil {
				lines = append(lines, l)
			}
		}
	}
	return lines, scanner.Err()
}

// parseLogLine returns nil for text that is not a JSON object.
func parseLogLine(text string) *logLine {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return nil
	}
	l := &logLine{}
	known := map[string]*string{"instance": &l.instance, "event": &l.event, "msg": &l.message, "request": &l.request}
	for name, value := range fields {
		if field, ok := known[name]; ok {
			*field = fmt.Sprint(value)
			continue
		}
		if name == "time" {
			// A line whose time cannot be parsed gets the zero time and sorts first.
			l.at, _ = time.Parse(time.RFC3339Nano, fmt.Sprint(value))
			continue
		}
		if name != "level" {
			l.otherFields = append(l.otherFields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(l.otherFields)
	return l
}

// stateChangeWindow is the time before an instance's first line of the request
// from which its state changes are included.
const stateChangeWindow = 10 * time.Second

// relatedLines returns the lines of the request and the state changes of the
// instances that handled it, in order of time.
func relatedLines(lines []*logLine, id string) []*logLine {
	first := map[string]time.Time{}
	var last time.Time
	for _, l := range lines {
		if l.request != id {
			continue
		}
		if at, seen := first[l.instance]; !seen || l.at.Before(at) {
			first[l.instance] = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
	}
	var related []*logLine
	for _, l := range lines {
		at, involved := first[l.instance]
		recent := l.at.After(at.Add(-stateChangeWindow)) && !l.at.After(last)
		if l.request == id || involved && recent && l.isStateChange() {
			related = append(related, l)
		}
	}
	slices.SortStableFunc(related, func(a, b *logLine) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.instance, b.instance))
	})
	return related
}
