package e2e

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sassafrasshunt/sassafrasshunt/standin/kvservice"
)

// script runs one scenario of testdata. Each has a test of its own, so that
// KNOWN-RED.txt can name it.
func runScript(t *testing.T, name string) {
	runParallel(t)
	testscript.Run(t, testscript.Params{
		Files: []string{"testdata/" + name + ".txtar"},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet":     scriptCommand((*scenario).cmdFleet),
			"sigkill":   scriptCommand((*scenario).cmdKill),
			"freeze":    scriptCommand((*scenario).cmdFreeze),
			"thaw":      scriptCommand((*scenario).cmdThaw),
			"sigterm":   scriptCommand((*scenario).cmdStop),
			"cut":       scriptCommand((*scenario).cmdCut),
			"restore":   scriptCommand((*scenario).cmdRestore),
			"delay":     scriptCommand((*scenario).cmdDelay),
			"isolate":   scriptCommand((*scenario).cmdIsolate),
			"platform":  scriptCommand((*scenario).cmdPlatform),
			"load":      scriptCommand((*scenario).cmdLoad),
			"pause":     scriptCommand((*scenario).cmdPause),
			"expect":    scriptCommand((*scenario).cmdExpect),
			"check":     scriptCommand((*scenario).cmdCheck),
			"claimant":  scriptCommand((*scenario).cmdClaimant),
			"flood":     scriptCommand((*scenario).cmdFlood),
			"checkrate": scriptCommand((*scenario).cmdCheckRate),
		},
	})
}

// scenario is the state of a running script.
type scenario struct {
	ts    *testscript.TestScript
	fleet *fleet
	load  *history
	flood *flood
}

var scenarios = struct {
	byScript chan map[*testscript.TestScript]*scenario
}{byScript: make(chan map[*testscript.TestScript]*scenario, 1)}

func init() {
	scenarios.byScript <- map[*testscript.TestScript]*scenario{}
}

func scenarioOf(ts *testscript.TestScript) *scenario {
	all := <-scenarios.byScript
	defer func() { scenarios.byScript <- all }()
	if all[ts] == nil {
		all[ts] = &scenario{ts: ts}
	}
	return all[ts]
}

func scriptCommand(run func(s *scenario, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("unsupported: !")
		}
		ts.Check(run(scenarioOf(ts), args))
	}
}

func (s *scenario) checkUsage(ok bool, usage string) {
	if !ok {
		s.ts.Fatalf("usage: %s", usage)
	}
}

// cmdFleet starts a fleet: fleet [-proxied] [-instances 3] [-lag 5ms] ... [setting...].
func (s *scenario) cmdFleet(args []string) error {
	o := defaultOptions()
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	flags.BoolVar(&o.proxied, "proxied", false, "members behind the fault proxy")
	flags.IntVar(&o.instances, "instances", o.instances, "instances")
	flags.DurationVar(&o.receiveDelay, "replication", o.receiveDelay, "time until replicas have received a commit")
	flags.DurationVar(&o.applyLag, "lag", o.applyLag, "lag of replicas")
	flags.DurationVar(&o.serviceTime, "service", o.serviceTime, "time that a statement holds its slot")
	flags.IntVar(&o.connections, "connections", o.connections, "connections to the database")
	flags.IntVar(&o.rate, "rate", o.rate, "rate of the account")
	flags.IntVar(&o.burst, "burst", o.burst, "burst of the account")
	if err := flags.Parse(args); err != nil {
		return err
	}
	o.settings = flags.Args()
	f, err := newFleet(outputDir(s.ts.MkAbs("fleet"), s.ts.Name()), o)
	if err != nil {
		return err
	}
	s.fleet = f
	s.ts.Defer(f.close)
	return nil
}

func (s *scenario) cmdKill(args []string) error {
	s.checkUsage(len(args) == 1, "sigkill process")
	p, err := s.fleet.process(args[0])
	if err != nil {
		return err
	}
	p.kill()
	return nil
}

// cmdFreeze stops a process; with a duration it is thawed before the command
// returns.
func (s *scenario) cmdFreeze(args []string) error {
	s.checkUsage(len(args) == 1 || len(args) == 2, "freeze process [duration]")
	if err := s.fleet.freeze(args[0]); err != nil {
		return err
	}
	if len(args) == 1 {
		return nil
	}
	if err := s.cmdPause(args[1:]); err != nil {
		return err
	}
	return s.fleet.thaw(args[0])
}

func (s *scenario) cmdThaw(args []string) error {
	s.checkUsage(len(args) == 1, "thaw process")
	return s.fleet.thaw(args[0])
}

func (s *scenario) cmdStop(args []string) error {
	s.checkUsage(len(args) == 1, "sigterm process")
	p, err := s.fleet.process(args[0])
	if err != nil {
		return err
	}
	return p.stop()
}

func directionArgument(args []string) string {
	if len(args) < 2 || args[1] == "both" {
		return ""
	}
	return args[1]
}

func (s *scenario) cmdCut(args []string) error {
	s.checkUsage(len(args) == 1 || len(args) == 2, "cut link [up|down|both]")
	return s.fleet.setLinks("cut", args[0], directionArgument(args))
}

func (s *scenario) cmdRestore(args []string) error {
	s.checkUsage(len(args) == 1, "restore link")
	return s.fleet.setLinks("restore", args[0], "")
}

func (s *scenario) cmdDelay(args []string) error {
	s.checkUsage(len(args) == 2, "delay link duration")
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return s.fleet.delayLinks(args[0], d)
}

// cmdIsolate stops replication to and from a member: isolate member [off].
func (s *scenario) cmdIsolate(args []string) error {
	s.checkUsage(len(args) == 1 || len(args) == 2, "isolate member [off]")
	for _, m := range s.fleet.members {
		if !m.isRunning() {
			continue
		}
		var peers []string
		for _, other := range s.fleet.members {
			if other != m && (m.id == args[0] || other.id == args[0]) && len(args) == 1 {
				peers = append(peers, other.id)
			}
		}
		if err := s.fleet.cutReplication(m, peers...); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) cmdPlatform(args []string) error {
	s.checkUsage(len(args) == 2, "platform outage|refuse|delay duration, platform lose count")
	if args[0] == "lose" {
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		return s.fleet.loseResponses(n)
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	if args[0] == "delay" {
		return s.fleet.setPlatformFaults(kvservice.Faults{DelayMS: d.Milliseconds()})
	}
	return s.fleet.setPlatformFaults(kvservice.Faults{OutageMS: d.Milliseconds(), Refuse: args[0] == "refuse"})
}

func (s *scenario) cmdLoad(args []string) error {
	s.checkUsage(len(args) >= 1, "load start [sessions [seed]], load stop")
	if args[0] == "stop" {
		s.load.stop()
		s.ts.Logf("clients saw %s; longest gap %s", s.load.summary(), s.load.longestWriteGap())
		return nil
	}
	sessions, seed := 6, 1
	if len(args) > 1 {
		sessions, _ = strconv.Atoi(args[1])
	}
	if len(args) > 2 {
		seed, _ = strconv.Atoi(args[2])
	}
	s.load = s.fleet.startLoad(sessions, uint64(seed))
	s.ts.Defer(s.load.stop)
	return nil
}

func (s *scenario) cmdPause(args []string) error {
	s.checkUsage(len(args) == 1, "pause duration")
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}
