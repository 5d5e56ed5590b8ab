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
	// pageBytes is the unit of sizes in /proc/PID/statm.
	pageSize = 4096
	// defaultWindow is the length of a measurement in seconds.
	defaultWindow = 5
)

// threadUse is what one thread used up to now.
type threadUse struct {
	// running is the time on a processor, in nanoseconds.
	running int64
	// read is in bytes of read calls: sockets, files and the 8 bytes of each
	// wake-up of a reactor. Sends on sockets are not counted by the kernel.
	read int64
}

// threadRate is what one thread used during the window.
type threadRate struct {
	Thread     int     `json:"thread"`
	CPUPercent float64 `json:"cpu_percent"`
	ReadRate   float64 `json:"read_bytes_s"`
}

// processUse is the result of one measurement.
type processUse struct {
	ResidentBytes int64        `json:"resident_bytes"`
	CPUPercent    float64      `json:"cpu_percent"`
	ReadRate      float64      `json:"read_bytes_s"`
	Sockets       int          `json:"sockets"`
	Threads       []threadRate `json:"threads"`
}

// measureProcess prints as JSON what a process used during a window: resident
// memory at its end, processor time and bytes of read calls by thread.
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

// readThread returns zero figures for a thread that has just ended.
func readThread(folder string) threadUse {
	var use threadUse
	schedule, _ := os.ReadFile(filepath.Join(folder, "schedstat"))
	_, _ = fmt.Sscan(string(schedule), &use.running)
	text, _ := os.ReadFile(filepath.Join(folder, "io"))
	_, _ = fmt.Sscanf(string(text), "rchar: %d", &use.read)
	return use
}

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
