// Command review runs a case of the review: the project's own program as separate
// processes, with stand-ins for the platform, the database members and the clients in
// this process. It exits with 0 if the rule held, with 1 if it was broken and with 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
)

// A scenario runs a case and returns what broke the rule, "" if the rule held.
// trouble says whether the disruption happens.
type scenario func(r *record, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"restored-key": restoredKey,
	"home-stops":   homeStops,
	"grey-set":     greySet,
	"old-timeline": oldTimeline,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review SCENARIO RECORD")
		return exitFailed
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := scenarios[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.add("RESULT: the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken != "":
		r.add("RESULT: broken: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	r.add("RESULT: held")
	fmt.Println("held")
	return exitHeld
}
