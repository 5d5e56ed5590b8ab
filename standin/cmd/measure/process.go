package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// ticksPerSecond is the unit of times in /proc/PID/stat.
	ticksPerSecond = 100
	// pageBytes is the unit of sizes in /proc/PID/statm.
	pageBytes = 4096
	// fieldUserTime and fieldSystemTime are places in /proc/PID/stat, counted
	// after the command's closing parenthesis.
	fieldUserTime   = 11
	fieldSystemTime = 12
	// defaultWindow is the length of a measurement in seconds.
	defaultWindow = 5
)

// threadUse is what one thread used up to now.
type threadUse struct {
	ticks int64
	// read and written are bytes of read and write calls: sockets, files and
	// the 8 bytes of each wake-up of a reactor.
	read    int64
	written int64
}

// threadRate is what one thread used during the window.
type threadRate struct {
	Thread     int     `json:"thread"`
	CPUPercent float64 `json:"cpu_percent"`
	ReadRate   float64 `json:"read_bytes_s"`
	WriteRate  float64 `json:"write_bytes_s"`
}

// processUse is the result of one measurement.
type processUse struct {
	ResidentBytes int64        `json:"resident_bytes"`
	CPUPercent    float64      `json:"cpu_percent"`
	ReadRate      float64      `json:"read_bytes_s"`
	WriteRate     float64      `json:"write_bytes_s"`
	Sockets       int          `json:"sockets"`
	Threads       []threadRate `json:"threads"`
}

// measureProcess prints as JSON what a process used during a window: resident
// memory at its end, processor time and bytes of read and write calls by thread.
func measureProcess(args []string) error {
	flags := flag.NewFlagSet("process", flag.ExitOnError)
	pid := flags.Int("pid", 0, "process id")
	seconds := flags.Float64("seconds", defaultWindow, "length of the window")
	if err := flags.Parse(args); err != nil {
		return err
	}
	before, err := threads(*pid)
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(time.Duration(*seconds * float64(time.Second)))
	after, err := threads(*pid)
	if err != nil {
		return err
	}
	use := rates(before, after, time.Since(start).Seconds())
	if use.ResidentBytes, err = resident(*pid); err != nil {
		return err
	}
	use.Sockets = sockets(*pid)
	return json.NewEncoder(os.Stdout).Encode(use)
}

func rates(before, after map[int]threadUse, seconds float64) processUse {
	var use processUse
	for id, a := range after {
		b := before[id]
		r := threadRate{
			Thread:     id,
			CPUPercent: 100 * float64(a.ticks-b.ticks) / ticksPerSecond / seconds,
			ReadRate:   float64(a.read-b.read) / seconds,
			WriteRate:  float64(a.written-b.written) / seconds,
		}
		use.CPUPercent += r.CPUPercent
		use.ReadRate += r.ReadRate
		use.WriteRate += r.WriteRate
		use.Threads = append(use.Threads, r)
	}
	slices.SortFunc(use.Threads, func(a, b threadRate) int { return int(1000 * (b.CPUPercent - a.CPUPercent)) })
	return use
}

func threads(pid int) (map[int]threadUse, error) {
	folder := fmt.Sprintf("/proc/%d/task", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	uses := map[int]threadUse{}
	for _, entry := range entries {
		id, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		uses[id] = readThread(filepath.Join(folder, entry.Name()))
	}
	return uses, nil
}

// readThread returns zero figures for a thread that has just ended.
func readThread(folder string) threadUse {
	var use threadUse
	stat, _ := os.ReadFile(filepath.Join(folder, "stat"))
	if end := bytes.LastIndexByte(stat, ')'); end >= 0 {
		fields := strings.Fields(string(stat[end+1:]))
		user, _ := strconv.ParseInt(fields[fieldUserTime], 10, 64)
		system, _ := strconv.ParseInt(fields[fieldSystemTime], 10, 64)
		use.ticks = user + system
	}
	text, _ := os.ReadFile(filepath.Join(folder, "io"))
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "rchar":
			use.read = n
		case "wchar":
			use.written = n
		}
	}
	return use
}

func resident(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var size, pages int64
	if _, err := fmt.Sscan(string(text), &size, &pages); err != nil {
		return 0, err
	}
	return pages * pageBytes, nil
}

func sockets(pid int) int {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	n := 0
	for _, link := range links {
		target, _ := os.Readlink(link)
		if strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}
