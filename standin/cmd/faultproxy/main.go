// Command faultproxy forwards TCP connections and injects faults on request. It runs
// until it is interrupted.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/standin/faultproxy"
)

func main() {
	var links []faultproxy.LinkOptions
	control := flag.String("control", "127.0.0.1:0", "`address` of the JSON-RPC control endpoint, IP:port")
	flag.Func("link", "`name=listen-address,target-address`; may be repeated", func(text string) error {
		l, err := faultproxy.ParseLink(text)
		links = append(links, l)
		return err
	})
	flag.Parse()
	if err := run(*control, links); err != nil {
		fmt.Fprintln(os.Stderr, "faultproxy:", err)
		os.Exit(1)
	}
}

func run(control string, links []faultproxy.LinkOptions) error {
	p, err := faultproxy.New(control, links)
	if err != nil {
		return err
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	var duties duty.Group
	p.Start(&duties)
	fmt.Printf("control=%s\n", p.ControlAddress())
	for _, l := range links {
		fmt.Printf("link=%s listen=%s\n", l.Name, p.Address(l.Name))
	}
	<-interrupted
	p.Stop()
	duties.Wait()
	return nil
}
