package settings

import (
	"errors"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Parse checks the text of a settings file. It returns a *FaultsError that
// lists every fault: unknown keys, missing or unfit values and values that do
// not fit together. Text that is not TOML is a single fault.
func Parse(path string, content []byte) (*Settings, error) {
	var raw map[string]any
	if _, err := toml.Decode(string(content), &raw); err != nil {
		return nil, &FaultsError{Path: path, Faults: []Fault{syntaxFault(err)}}
	}
	values := map[string]any{}
	flatten("", raw, values)
	lines := keyLines(string(content))
	s := &Settings{}
	faults := unknownKeys(values, lines)
	for i := range fields {
		if fault, bad := s.apply(&fields[i], values, lines); bad {
			faults = append(faults, fault)
		}
	}
	if len(faults) == 0 {
		faults = s.consistency(lines)
	}
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
		return nil, &FaultsError{Path: path, Faults: faults}
	}
	return s, nil
}

func syntaxFault(err error) Fault {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return Fault{Line: syntax.Position.Line, Key: "syntax", Reason: syntax.Message}
	}
	return Fault{Key: "syntax", Reason: err.Error()}
}

func flatten(prefix string, table map[string]any, into map[string]any) {
	for key, value := range table {
		if nested, ok := value.(map[string]any); ok {
			flatten(prefix+key+".", nested, into)
			continue
		}
		into[prefix+key] = value
	}
}

// keyLines finds the line of each "section.key" by reading headers and
// assignments; the decoder does not report places of valid keys.
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

func unknownKeys(values map[string]any, lines map[string]int) []Fault {
	var faults []Fault
	for key := range values {
		known := slices.ContainsFunc(fields, func(f Field) bool { return f.Key == key })
		if !known {
			faults = append(faults, Fault{Line: lines[key], Key: key, Reason: "unknown key"})
		}
	}
	slices.SortFunc(faults, func(a, b Fault) int { return strings.Compare(a.Key, b.Key) })
	return faults
}

func (s *Settings) apply(f *Field, values map[string]any, lines map[string]int) (Fault, bool) {
	value, given := values[f.Key]
	if !given {
		value = defaultValue(f)
	}
	reason := f.set(s, value)
	if reason == "" {
		return Fault{}, false
	}
	if !given {
		reason = "missing; " + reason
	}
	return Fault{Line: lines[f.Key], Key: f.Key, Reason: reason}, true
}

// consistency checks values that depend on each other.
func (s *Settings) consistency(lines map[string]int) []Fault {
	var faults []Fault
	add := func(key, reason string) {
		faults = append(faults, Fault{Line: lines[key], Key: key, Reason: reason})
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
	return faults
}
