package main

import (
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
	// pageSize is the unit of sizes in /proc/PID/statm, in bytes.
	pageSize = 4096
	// defaultWindow is the default length of a measurement in seconds.
	defaultWindow = 5
)

// threadUse is the resource usage of a thread since its start.
type threadUse struct {
	// running is the CPU time in nanoseconds.
	running int64
	// read is the number of bytes of read calls on sockets, files and event file
	// descriptors, with 8 bytes for each wake-up of an event loop. The kernel
	// does not count sends on sockets.
	read int64
}

// threadRate is the resource usage of a thread during the measurement.
type threadRate struct {
	Thread     int     `json:"thread"`
	CPUPercent float64 `json:"cpu_percent"`
	ReadRate   float64 `json:"read_bytes_s"`
}

// processUse is the resource usage of a process during the measurement.
type processUse struct {
	ResidentBytes int64        `json:"resident_bytes"`
	CPUPercent    float64      `json:"cpu_percent"`
	ReadRate      float64      `json:"read_bytes_s"`
	Sockets       int          `json:"sockets"`
	Threads       []threadRate `json:"threads"`
}

// measureProcess measures a process for a time and prints the result as JSON: resident
// memory at the end, and CPU time and bytes of read calls by thread.
func measureProcess(args []string) error {
	flags := flag.NewFlagSet("process", flag.ExitOnError)
	pid := flags.Int("pid", 0, "process id")
	seconds := flags.Float64("seconds", defaultWindow, "length of the window")
	if err := flags.Parse(args); err != nil {
		return err
	}
	before, err := readThreads(*pid)
	if err != nil {
		return err
	}
	start := time.Now()
	<-time.After(time.Duration(*seconds * float64(time.Second)))
	after, err := readThreads(*pid)
	if err != nil {
		return err
	}
	use := usageRates(before, after, time.Since(start).Seconds())
	if use.ResidentBytes, err = residentBytes(*pid); err != nil {
		return err
	}
	use.Sockets = countSockets(*pid)
	return json.NewEncoder(os.Stdout).Encode(use)
}

// usageRates returns the usage between two readings that are seconds apart.
func usageRates(before, after map[int]threadUse, seconds float64) processUse {
	var use processUse
	for id, a := range after {
		b := before[id]
		r := threadRate{
			Thread:     id,
			CPUPercent: 100 * float64(a.running-b.running) / float64(time.Second) / seconds,
			ReadRate:   float64(a.read-b.read) / seconds,
		}
		use.CPUPercent += r.CPUPercent
		use.ReadRate += r.ReadRate
		use.Threads = append(use.Threads, r)
	}
	slices.SortFunc(use.Threads, func(a, b threadRate) int { return int(1000 * (b.CPUPercent - a.CPUPercent)) })
	return use
}

// readThreads returns the usage of the threads of a process by thread ID.
func readThreads(pid int) (map[int]threadUse, error) {
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

// readThread returns the usage of one thread; zero if the thread has just ended.
func readThread(folder string) threadUse {
	var use threadUse
	schedule, _ := os.ReadFile(filepath.Join(folder, "schedstat"))
	_, _ = fmt.Sscan(string(schedule), &use.running)
	text, _ := os.ReadFile(filepath.Join(folder, "io"))
	_, _ = fmt.Sscanf(string(text), "rchar: %d", &use.read)
	return use
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var size, pages int64
	if _, err := fmt.Sscan(string(text), &size, &pages); err != nil {
		return 0, err
	}
	return pages * pageSize, nil
}

// countSockets returns the number of open sockets of a process.
func countSockets(pid int) int {
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
