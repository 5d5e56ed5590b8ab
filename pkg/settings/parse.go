package settings

import (
	"errors"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Parse decodes and validates the content of a settings file; path is used in errors.
// It returns a *ValidationError that lists all problems: unknown keys, missing or
// invalid values, and values that contradict each other. Values are compared with each
// other only when each is valid. Content that is not TOML is a single problem.
func Parse(path string, content []byte) (*Settings, error) {
	var raw map[string]any
	if _, err := toml.Decode(string(content), &raw); err != nil {
		return nil, &ValidationError{Path: path, Problems: []Problem{syntaxProblem(err)}}
	}
	values := map[string]any{}
	flatten("", raw, values)
	lines := keyLines(string(content))
	s := &Settings{}
	problems := unknownKeys(values, lines)
	for i := range fields {
		if problem, bad := s.applyField(&fields[i], values, lines); bad {
			problems = append(problems, problem)
		}
	}
	if len(problems) == 0 {
		problems = s.checkConsistency(lines)
	}
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
		return nil, &ValidationError{Path: path, Problems: problems}
	}
	return s, nil
}

// syntaxProblem returns the problem of content that is not TOML.
func syntaxProblem(err error) Problem {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return Problem{Line: syntax.Position.Line, Key: "syntax", Reason: syntax.Message}
	}
	return Problem{Key: "syntax", Reason: err.Error()}
}

// flatten adds the values of nested tables to into, with keys such as "section.key".
func flatten(prefix string, table map[string]any, into map[string]any) {
	for key, value := range table {
		if nested, ok := value.(map[string]any); ok {
			flatten(prefix+key+".", nested, into)
			continue
		}
		into[prefix+key] = value
	}
}

// keyLines returns the line number of each "section.key". It scans section headers and
// assignments itself, because the decoder does not report the lines of valid keys.
func keyLines(content string) map[string]int {
	lines := map[string]int{}
	section := ""
	for i, line := range strings.Split(content, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t") + "."
			continue
		}
		if key, _, found := strings.Cut(line, "="); found && !strings.HasPrefix(line, "#") {
			lines[section+strings.TrimSpace(key)] = i + 1
		}
	}
	return lines
}

// unknownKeys returns a problem for each key that is not in fields, sorted by key.
func unknownKeys(values map[string]any, lines map[string]int) []Problem {
	var problems []Problem
	for key := range values {
		known := slices.ContainsFunc(fields, func(f Field) bool { return f.Key == key })
		if !known {
			problems = append(problems, Problem{Line: lines[key], Key: key, Reason: "unknown key"})
		}
	}
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.Key, b.Key) })
	return problems
}

// applyField stores the value of a field or its default. It returns the problem and
// true when the value is invalid.
func (s *Settings) applyField(f *Field, values map[string]any, lines map[string]int) (Problem, bool) {
	value, given := values[f.Key]
	if !given {
		value = defaultValue(f)
	}
	reason := f.set(s, value)
	if reason == "" {
		return Problem{}, false
	}
	if !given {
		reason = "missing; " + reason
	}
	return Problem{Line: lines[f.Key], Key: f.Key, Reason: reason}, true
}

// checkConsistency returns the problems of values that contradict each other.
func (s *Settings) checkConsistency(lines map[string]int) []Problem {
	var problems []Problem
	add := func(key, reason string) {
		problems = append(problems, Problem{Line: lines[key], Key: key, Reason: reason})
	}
	if s.LeaseRenew*2 > s.LeaseTTL {
		add("platform.lease_renew", "must be at most half of platform.lease_ttl, so that one lost renewal is harmless")
	}
	if s.HeartbeatPeriod*2 > s.DetectionBound {
		add("failover.heartbeat", "must be at most half of failover.detection_bound")
	}
	if s.CutoffBound < s.LeaseTTL {
		add("share.cutoff_bound", "must not be less than platform.lease_ttl")
	}
	if s.TraceExporter == "otlp" && s.OTLPEndpoint == "" {
		add("trace.otlp_endpoint", "is needed for trace.exporter = \"otlp\"")
	}
	return problems
}
