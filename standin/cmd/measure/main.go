// Command measure evaluates the reports, logs and status pages of a run:
//
//	measure run -pages ADDRESSES -report FILE     the four measures
//	measure failovers LOG...                      the write gap of primary changes by phase
//	measure writes -member ADDRESS ...            writes acknowledged, lost and uncertain
//	measure loads TITLE REPORT...                 throughput and latency over several runs
//	measure fairness -directory FOLDER ...        accounts with and without the surge of one
//	measure process -pid ID -seconds N            memory of a process, CPU time and bytes read by thread
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/session"
	"github.com/sassafrasshunt/sassafrasshunt/standin/load"
)

// pageTimeout limits the request for one metrics page.
const pageTimeout = 5 * time.Second

func main() {
	commands := map[string]func([]string) error{"run": measureRun, "failovers": measureFailovers, "writes": measureWrites, "fairness": measureFairness, "loads": measureLoads, "process": measureProcess}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: measure run|failovers|writes|fairness|process ...")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measureRun prints the four measures of a run: the reads served by replicas, the
// longest gap in writes, the client account with the lowest percentage of served
// statements, and the requests refused although within the account's rate.
func measureRun(args []string) error {
	flags := flag.NewFlagSet("run", flag.ExitOnError)
	pages := flags.String("pages", "", "administration `addresses` of the instances, comma separated")
	reportFile := flags.String("report", "", "`file` with the load tool's report")
	if err := flags.Parse(args); err != nil {
		return err
	}
	total, err := sumPages(strings.Split(*pages, ","))
	if err != nil {
		return err
	}
	report, err := readReport(*reportFile)
	if err != nil {
		return err
	}
	print(total, report)
	return nil
}

func readReport(file string) (*load.Report, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var report load.Report
	err = json.Unmarshal(text, &report)
	return &report, err
}

// sumPages adds up the counters of the given instances.
func sumPages(addresses []string) (session.Inspection, error) {
	total := session.Inspection{Refusals: map[core.Reason]uint64{}}
	for _, address := range addresses {
		page, err := readPage(address)
		if err != nil {
			return total, err
		}
		total.ReplicaReads += page.ReplicaReads
		total.PrimaryReads += page.PrimaryReads
		total.WritesAcknowledged += page.WritesAcknowledged
		total.WritesUncertain += page.WritesUncertain
		for reason, n := range page.Refusals {
			total.Refusals[reason] += n
		}
	}
	return total, nil
}

// readPage reads the session counters from the metrics page of an instance.
func readPage(address string) (session.Inspection, error) {
	client := http.Client{Timeout: pageTimeout}
	response, err := client.Get("http://" + address + "/debug/vars")
	if err != nil {
		return session.Inspection{}, err
	}
	defer response.Body.Close()
	var page struct {
		Instance struct {
			Session session.Inspection `json:"session"`
		} `json:"sassafrasshunt"`
	}
	err = json.NewDecoder(response.Body).Decode(&page)
	return page.Instance.Session, err
}

func print(total session.Inspection, report *load.Report) {
	reads := total.ReplicaReads + total.PrimaryReads
	fmt.Printf("reads served by replicas: %.1f %% of %d\n", percent(total.ReplicaReads, reads), reads)
	fmt.Printf("gap in writes: %d ms between acknowledged writes at most; %d writes acknowledged, %d uncertain\n",
		report.LongestWriteGapMS, total.WritesAcknowledged, total.WritesUncertain)
	name, served, p99 := worstServed(report)
	fmt.Printf("worst-served account: %s, %.1f %% of its statements served, p99 %.1f ms\n", name, served, float64(p99)/1000)
	fmt.Printf("refused although within the rate: %d\n", total.Refusals[core.ReasonRateExceeded])
}

func percent(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// worstServed returns the account with the lowest percentage of served statements, and
// among equals the one with the highest p99 in microseconds.
func worstServed(report *load.Report) (name string, served float64, p99 int64) {
	served = 101
	for account, r := range report.Accounts {
		failed := int64(0)
		for _, n := range r.Errors {
			failed += n
		}
		part := percent(uint64(max(r.Statements-failed, 0)), uint64(r.Statements))
		if part < served || part == served && r.P99 > p99 {
			name, served, p99 = account, part, r.P99
		}
	}
	return name, served, p99
}
