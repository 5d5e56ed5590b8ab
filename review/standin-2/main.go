// Command review2 runs the cases of the second review. Its arguments are the name of the
// case, the folder of the case and that of the repository. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// environment is what a case runs in.
type environment struct {
	repository, dir string
	// trouble is false if the case runs without its disruption.
	trouble bool
}

var cases = map[string]func(*environment) (broken bool, err error){
	"late_registration": lateRegistration,
	"draining_replica":  drainingReplica,
	"drain_clock":       drainClock,
	"unanswered_status": unansweredStatus,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER REPOSITORY")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	record.file, record.start = file, time.Now()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	e := &environment{repository: os.Args[3], dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := cases[os.Args[1]](e)
	switch {
	case err != nil:
		note("result", "the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

// result writes a line of the result to record.txt and to the standard output.
func result(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	note("result", "%s", text)
	fmt.Println(text)
}
