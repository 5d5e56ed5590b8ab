// Command standin-call makes one JSON-RPC call to a stand-in and prints the result. It
// is meant for scripts.
//
//	standin-call [-timeout 5s] address method [params]
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/standin/endpoint"
)

const defaultTimeout = 5 * time.Second

var errUsage = errors.New("usage: standin-call [-timeout 5s] address method [params]")

func main() {
	timeout := flag.Duration("timeout", defaultTimeout, "timeout of the call")
	flag.Parse()
	if err := run(flag.Args(), *timeout); err != nil {
		fmt.Fprintln(os.Stderr, "standin-call:", err)
		os.Exit(1)
	}
}

func run(args []string, timeout time.Duration) error {
	if len(args) < 2 || len(args) > 3 {
		return errUsage
	}
	params := json.RawMessage("{}")
	if len(args) == 3 {
		params = json.RawMessage(args[2])
	}
	result, err := endpoint.Call(timeout, args[0], args[1], params)
	if err != nil {
		return err
	}
	fmt.Println(string(result))
	return nil
}
