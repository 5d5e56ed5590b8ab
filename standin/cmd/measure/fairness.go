package main

import (
	"flag"
	"fmt"
	"path/filepath"
	"slices"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/callerio"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/load"
)

// measureFairness compares the accounts with and without the surge of one account. It
// reads the load tool's reports PHASE-RUN-aACCOUNT.json from a folder; PHASE is calm or
// surge.
func measureFairness(args []string) error {
	flags := flag.NewFlagSet("fairness", flag.ExitOnError)
	folder := flags.String("directory", "", "`folder` with the reports")
	runs := flags.Int("runs", 1, "number of runs")
	accounts := flags.Int("accounts", 8, "number of accounts")
	surging := flags.Int("surging", 0, "account that surges")
	if err := flags.Parse(args); err != nil {
		return err
	}
	for _, phase := range []string{"calm", "surge"} {
		p, err := readPhase(*folder, phase, *runs, *accounts, *surging)
		if err != nil {
			return err
		}
		p.print(phase)
	}
	return nil
}

// phaseFigures are the figures of a phase, with one value for each run. Unless stated
// otherwise they concern the accounts that do not surge.
type phaseFigures struct {
	// worstP99 is the highest p99 of these accounts, medianP99 the median of
	// their p99; both in milliseconds.
	worstP99  []float64
	medianP99 []float64
	// worstServed is the lowest percentage of statements served to any of these
	// accounts.
	worstServed []float64
	// refused is the number of statements refused for the rate.
	refused []float64
	// surgingServed is the goodput of the surging account in statements per
	// second.
	surgingServed []float64
}

func readPhase(folder, phase string, runs, accounts, surging int) (*phaseFigures, error) {
	figures := &phaseFigures{}
	for run := 1; run <= runs; run++ {
		reports := make([]*load.Report, accounts)
		for a := range accounts {
			report, err := readReport(filepath.Join(folder, fmt.Sprintf("%s-%d-a%d.json", phase, run, a)))
			if err != nil {
				return nil, err
			}
			reports[a] = report
		}
		figures.add(reports, surging)
	}
	return figures, nil
}

func (f *phaseFigures) add(reports []*load.Report, surging int) {
	var p99s []float64
	served, refused := 100.0, 0.0
	for a, r := range reports {
		succeeded := r.Statements
		for _, n := range r.Errors {
			succeeded -= n
		}
		if a == surging {
			f.surgingServed = append(f.surgingServed, float64(succeeded)/r.Seconds)
			continue
		}
		p99s = append(p99s, float64(r.P99)/1000)
		served = min(served, percent(uint64(max(succeeded, 0)), uint64(r.Statements)))
		refused += float64(r.Errors[callerio.SQLState(core.ReasonRateExceeded)])
	}
	slices.Sort(p99s)
	f.worstP99 = append(f.worstP99, p99s[len(p99s)-1])
	f.medianP99 = append(f.medianP99, p99s[len(p99s)/2])
	f.worstServed = append(f.worstServed, served)
	f.refused = append(f.refused, refused)
}

func (f *phaseFigures) print(phase string) {
	fmt.Printf("  %s\n", phase)
	printRange("p99 of the other accounts, median over them, ms", f.medianP99)
	printRange("p99 of the worst other account, ms", f.worstP99)
	printRange("served part of the worst other account, %", f.worstServed)
	printRange("other accounts' refusals within the rate", f.refused)
	printRange("goodput of the surging account, statements/s", f.surgingServed)
}

func printRange(name string, values []float64) {
	slices.Sort(values)
	fmt.Printf("    %-50s median %.2f (range %.2f to %.2f)\n", name, values[len(values)/2], values[0], values[len(values)-1])
}
