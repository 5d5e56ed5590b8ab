package main

import (
	"errors"
	"fmt"

	"github.com/sassafrasshunt/sassafrasshunt/standin/load"
)

// measureLoads prints the median and the range of throughput and latency over several
// reports of the load tool. The first argument is the title, the rest are files.
func measureLoads(args []string) error {
	if len(args) < 2 {
		return errors.New("usage: measure loads TITLE REPORT [REPORT]")
	}
	var reports []*load.Report
	for _, file := range args[1:] {
		report, err := readReport(file)
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	fmt.Println(args[0])
	printRange("answers without error, statements/s", valuesOf(reports, goodput))
	printRange("p50, us", valuesOf(reports, func(r *load.Report) float64 { return float64(r.P50) }))
	printRange("p99, us", valuesOf(reports, func(r *load.Report) float64 { return float64(r.P99) }))
	return nil
}

// goodput returns the successful statements per second.
func goodput(r *load.Report) float64 {
	succeeded := r.Statements
	for _, n := range r.Errors {
		succeeded -= n
	}
	return float64(succeeded) / r.Seconds
}

func valuesOf(reports []*load.Report, value func(*load.Report) float64) []float64 {
	values := make([]float64, 0, len(reports))
	for _, r := range reports {
		values = append(values, value(r))
	}
	return values
}
