// Command loadtool generates client load on the proxy and prints what the clients
// observed as one JSON object.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/standin/load"
)

// Defaults of the flags.
const (
	defaultSeconds     = 5
	defaultConnections = 8
	defaultReadShare   = 0.8
	defaultTimeout     = 15 * time.Second
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "loadtool:", err)
		os.Exit(1)
	}
}

func run() error {
	var o load.Options
	addresses := flag.String("addresses", "", "`IP:port` list, comma separated")
	users := flag.String("users", "", "`user:key` list, comma separated")
	seconds := flag.Float64("seconds", defaultSeconds, "length of the run")
	acknowledged := flag.String("acknowledged", "", "`file` for the keys of acknowledged writes, one a line")
	uncertain := flag.String("uncertain", "", "`file` for the keys of writes with unknown outcome, one a line")
	flag.StringVar(&o.Database, "database", "", "catalogue `entry`")
	flag.StringVar(&o.Mode, "mode", load.ModeExtended, "query protocol: simple or extended")
	flag.Float64Var(&o.ReadShare, "read-share", defaultReadShare, "share of reads, 0 to 1")
	flag.Float64Var(&o.Rate, "rate", 0, "statements per second in total; 0 for a closed loop")
	flag.IntVar(&o.Connections, "connections", defaultConnections, "connections in total")
	flag.IntVar(&o.Statements, "statements", 0, "end after that many statements; 0 for no limit")
	flag.DurationVar(&o.Timeout, "timeout", defaultTimeout, "timeout of one statement")
	flag.BoolVar(&o.Identities, "identities", false, "add a write_id comment to each write")
	flag.StringVar(&o.Prefix, "prefix", "", "beginning of the written keys; random if empty")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the choice between reads and writes")
	flag.Parse()
	var err error
	if o.Users, err = load.ParseUsers(*users); err != nil {
		return err
	}
	o.Addresses = strings.Split(*addresses, ",")
	o.Duration = time.Duration(*seconds * float64(time.Second))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	report, err := load.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := writeKeys(*acknowledged, report.Acknowledged); err != nil {
		return err
	}
	if err := writeKeys(*uncertain, report.Uncertain); err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(report)
}

// writeKeys writes one key a line; an empty file name writes nothing.
func writeKeys(file string, keys []string) error {
	if file == "" {
		return nil
	}
	text := strings.Join(keys, "\n")
	if len(keys) > 0 {
		text += "\n"
	}
	return os.WriteFile(file, []byte(text), 0o644)
}
