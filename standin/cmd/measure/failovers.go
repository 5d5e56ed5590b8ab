package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

// maxLine limits the length of a log line in bytes.
const maxLine = 1 << 20

// failoverLine is the log event of a completed primary change. Its phases are in
// microseconds.
type failoverLine struct {
	Event        string `json:"event"`
	Detection    int64  `json:"detection_us"`
	Decision     int64  `json:"decision_us"`
	Fencing      int64  `json:"fencing_us"`
	Promotion    int64  `json:"promotion_us"`
	Announcement int64  `json:"announcement_us"`
}

// writeGap returns the time from the failure of the primary to the promotion, in
// microseconds.
func (l failoverLine) writeGap() int64 {
	return l.Detection + l.Decision + l.Fencing + l.Promotion
}

// measureFailovers prints the median, the p99 and the maximum of each phase over the
// primary changes in the logs of the instances.
func measureFailovers(files []string) error {
	var lines []failoverLine
	for _, file := range files {
		found, err := readFailovers(file)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	fmt.Printf("changes of primary: %d\n", len(lines))
	parts := []struct {
		name  string
		value func(failoverLine) int64
	}{
		{"detection", func(l failoverLine) int64 { return l.Detection }},
		{"decision", func(l failoverLine) int64 { return l.Decision }},
		{"fencing", func(l failoverLine) int64 { return l.Fencing }},
		{"promotion", func(l failoverLine) int64 { return l.Promotion }},
		{"announcement", func(l failoverLine) int64 { return l.Announcement }},
		{"detection to promotion", failoverLine.writeGap},
	}
	for _, part := range parts {
		printQuantiles(part.name, lines, part.value)
	}
	return nil
}

func readFailovers(file string) ([]failoverLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var lines []failoverLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var line failoverLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Event == "primary_changed" {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func printQuantiles(name string, lines []failoverLine, value func(failoverLine) int64) {
	if len(lines) == 0 {
		return
	}
	values := make([]int64, 0, len(lines))
	for _, l := range lines {
		values = append(values, value(l))
	}
	slices.Sort(values)
	at := func(percent int) time.Duration {
		return time.Duration(values[(len(values)-1)*percent/100]) * time.Microsecond
	}
	fmt.Printf("  %-24s median %10s  p99 %10s  maximum %10s\n", name, at(50), at(99), at(100))
}
