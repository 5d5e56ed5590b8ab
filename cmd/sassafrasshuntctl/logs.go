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

// logsExplain prints what the logs of several instances tell about one request.
type logsExplain struct {
	request string
	files   []string
}

func (*logsExplain) Name() string     { return "explain" }
func (*logsExplain) Synopsis() string { return "tell the story of one request from log files" }
func (*logsExplain) Usage() string {
	return `logs explain -request ID [-file FILE ...]
  Prints the lines of the request, and what the same instances came to believe in
  the ten seconds before, in order of time. Without files, standard input is read.
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
		fmt.Fprintln(os.Stderr, "-request is needed")
		return subcommands.ExitUsageError
	}
	lines, err := readLogs(c.files, os.Stdin)
	if err != nil {
		return exit(err)
	}
	story := storyOf(lines, c.request)
	if len(story) == 0 {
		return exit(fmt.Errorf("no log line names the request %s; answered requests are sampled", c.request))
	}
	for _, l := range story {
		fmt.Println(l)
	}
	return subcommands.ExitSuccess
}

// logLine is one line of a log.
type logLine struct {
	at       time.Time
	instance string
	event    string
	message  string
	request  string
	rest     []string
}

// String returns the line as time, instance, event, message and other fields.
func (l *logLine) String() string {
	return fmt.Sprintf("%s %s %s: %s  %s", l.at.Format("15:04:05.000"), l.instance, l.event, l.message, strings.Join(l.rest, " "))
}

// believes reports a line about what an instance believes.
func (l *logLine) believes() bool {
	return l.request == "" && l.event != "request"
}

// readLogs reads the files, or in if there are none. Lines that are not JSON are
// left out.
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

// maxLogLine bounds a line in bytes.
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

func parseLogLine(text string) *logLine {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return nil
	}
	l := &logLine{}
	known := map[string]*string{"instance": &l.instance, "event": &l.event, "msg": &l.message, "request": &l.request}
	for name, value := range fields {
		if target, ok := known[name]; ok {
			*target = fmt.Sprint(value)
			continue
		}
		if name == "time" {
			// A line without a readable time is told first.
			l.at, _ = time.Parse(time.RFC3339Nano, fmt.Sprint(value))
			continue
		}
		if name != "level" {
			l.rest = append(l.rest, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(l.rest)
	return l
}

// before is how long before the request's lines beliefs are told.
const before = 10 * time.Second

// storyOf returns the lines of the request and of what its instances believed.
func storyOf(lines []*logLine, id string) []*logLine {
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
	var story []*logLine
	for _, l := range lines {
		at, concerned := first[l.instance]
		recent := l.at.After(at.Add(-before)) && !l.at.After(last)
		if l.request == id || concerned && recent && l.believes() {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b *logLine) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.instance, b.instance))
	})
	return story
}
