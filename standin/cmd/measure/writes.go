package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
)

// readTimeout limits the read of all rows of a member.
const readTimeout = 30 * time.Second

// measureWrites compares the acknowledged and the uncertain writes of a run with the
// rows of the primary after the run.
func measureWrites(args []string) error {
	flags := flag.NewFlagSet("writes", flag.ExitOnError)
	member := flags.String("member", "", "PostgreSQL `address` of the primary, IP:port")
	acknowledged := flags.String("acknowledged", "", "`file` with the keys of acknowledged writes")
	uncertain := flags.String("uncertain", "", "`file` with the keys of uncertain writes")
	reportFile := flags.String("report", "", "`file` with the load tool's report")
	if err := flags.Parse(args); err != nil {
		return err
	}
	rows, err := readRows(*member)
	if err != nil {
		return err
	}
	report, err := readReport(*reportFile)
	if err != nil {
		return err
	}
	found, lost, err := countRows(*acknowledged, rows)
	if err != nil {
		return err
	}
	applied, notApplied, err := countRows(*uncertain, rows)
	if err != nil {
		return err
	}
	fmt.Printf("writes acknowledged: %d, lost: %d, found more than once: %d\n", found+lost, lost, duplicateKeys(rows))
	fmt.Printf("writes uncertain: %d (took effect: %d, did not: %d); errors: %v\n", applied+notApplied, applied, notApplied, report.Errors)
	fmt.Printf("longest gap between acknowledged writes as the client saw it: %d ms; own writes missing in reads: %d\n",
		report.LongestWriteGapMS, report.MissingOwnWrites)
	return nil
}

// readRows returns the number of rows of each key.
func readRows(member string) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://measure@"+member+"/items?sslmode=disable&default_query_exec_mode=simple_protocol")
	if err != nil {
		return nil, err
	}
	defer conn.Close(ctx)
	result, err := conn.Query(ctx, "SELECT id FROM items")
	if err != nil {
		return nil, err
	}
	ids, err := pgx.CollectRows(result, pgx.RowTo[string])
	rows := make(map[string]int, len(ids))
	for _, id := range ids {
		rows[id]++
	}
	return rows, err
}

// countRows counts the keys in a file that have a row and those that have none.
func countRows(file string, rows map[string]int) (found, missing int, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, 0, err
	}
	for _, key := range strings.Fields(string(text)) {
		if rows[key] > 0 {
			found++
		} else {
			missing++
		}
	}
	return found, missing, nil
}

// duplicateKeys returns the number of keys with more than one row.
func duplicateKeys(rows map[string]int) int {
	n := 0
	for _, count := range rows {
		if count > 1 {
			n++
		}
	}
	return n
}
