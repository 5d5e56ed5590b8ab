// Command standin-member is one member of a database group for tests and the
// demo. It runs until it is interrupted.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sassafrasshunt/sassafrasshunt/lib/duty"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/standin/member"
)

const (
	exitFailure = 1
	// exitCrashed is the exit status after the method fault.crash.
	exitCrashed = 3
)

func main() {
	options, err := parse()
	if err == nil {
		err = run(options)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-member:", err)
		os.Exit(exitFailure)
	}
}

func parse() (member.Options, error) {
	o := member.DefaultOptions()
	id := flag.String("member", "", "member `id`")
	flag.StringVar(&o.Listen, "listen", o.Listen, "PostgreSQL `address`, IP:port")
	flag.StringVar(&o.StatusListen, "status", o.StatusListen, "status `address`, IP:port")
	peers := flag.String("peers", "", "other members as `id=status-address`, comma separated")
	role := flag.String("role", string(core.RoleReplica), "`role` at the start: primary or replica")
	follow := flag.String("follow", "", "`id` of the primary that a replica follows at the start")
	term := flag.Uint64("term", 1, "term at the start")
	flag.DurationVar(&o.ConnectDelay, "connect-delay", 0, "delay of the response to a startup message")
	flag.IntVar(&o.MaxConnections, "max-connections", o.MaxConnections, "PostgreSQL connections; more are refused with 53300")
	flag.IntVar(&o.Slots, "slots", o.Slots, "statements that run at a time")
	flag.DurationVar(&o.ServiceTime, "service-time", 0, "time that a statement holds its slot")
	flag.DurationVar(&o.ReceiveDelay, "receive-delay", o.ReceiveDelay, "time until a replica counts an entry as received")
	flag.DurationVar(&o.ApplyLag, "apply-lag", 0, "time between receiving and applying an entry")
	keyType := flag.String("key-type", string(o.KeyType), "reported type of the key column: any, bigint or text")
	flag.StringVar(&o.DataFile, "data", "", "`file` that preserves log, term and role across a restart")
	flag.StringVar(&o.RecordFile, "record", "", "`file` for the records, as JSON lines")
	flag.IntVar(&o.RecordLimit, "record-limit", o.RecordLimit, "records kept in memory")
	flag.Parse()
	o.Member = core.MemberID(*id)
	o.Follow = core.MemberID(*follow)
	o.Term = core.Term(*term)
	o.KeyType = member.KeyType(*keyType)
	var err error
	if o.Peers, err = member.ParsePeers(*peers); err != nil {
		return o, err
	}
	switch core.Role(*role) {
	case core.RolePrimary:
		o.Primary = true
	case core.RoleReplica:
	default:
		return o, &member.OptionError{Option: "role", Value: *role}
	}
	return o, nil
}

func run(o member.Options) error {
	m, err := member.New(o)
	if err != nil {
		return err
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	var duties duty.Group
	m.Start(&duties)
	duties.Start("signal", func() {
		if _, ok := <-interrupted; ok {
			m.Stop()
		}
	})
	fmt.Printf("member=%s listen=%s status=%s\n", o.Member, m.Address(), m.StatusAddress())
	m.Wait()
	signal.Stop(interrupted)
	close(interrupted)
	duties.Wait()
	if m.Crashed() {
		os.Exit(exitCrashed)
	}
	return nil
}
