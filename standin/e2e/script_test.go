package e2e

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sassafrasshunt/sassafrasshunt/standin/kvservice"
)

// runScript runs one script of testdata. Each script has its own test function, so
// that KNOWN-RED.txt can name it.
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

// scenarios.byScript holds the scenario of each running script. The map is the only
// element of the channel, so a goroutine that has received it has exclusive access.
var scenarios = struct {
	byScript chan map[*testscript.TestScript]*scenario
}{byScript: make(chan map[*testscript.TestScript]*scenario, 1)}

func init() {
	scenarios.byScript <- map[*testscript.TestScript]*scenario{}
}

// scenarioOf returns the scenario of a script and creates it on first use.
func scenarioOf(ts *testscript.TestScript) *scenario {
	all := <-scenarios.byScript
	defer func() { scenarios.byScript <- all }()
	if all[ts] == nil {
		all[ts] = &scenario{ts: ts}
	}
	return all[ts]
}

// scriptCommand adapts a command of a scenario to testscript. Negated commands are
// not supported.
func scriptCommand(run func(s *scenario, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("unsupported: !")
		}
		ts.Check(run(scenarioOf(ts), args))
	}
}

// checkUsage fails the script with the command's usage unless ok is set.
func (s *scenario) checkUsage(ok bool, usage string) {
	if !ok {
		s.ts.Fatalf("usage: %s", usage)
	}
}

// cmdFleet starts a fleet: fleet [-proxied] [-instances 3] [-lag 5ms] ... [setting...].
// The settings are lines for the settings file of every instance.
func (s *scenario) cmdFleet(args []string) error {
	o := defaultOptions()
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	flags.BoolVar(&o.proxied, "proxied", false, "route connections to members through the fault proxy")
	flags.IntVar(&o.instances, "instances", o.instances, "instances")
	flags.DurationVar(&o.receiveDelay, "replication", o.receiveDelay, "time until replicas have received a commit")
	flags.DurationVar(&o.applyLag, "lag", o.applyLag, "time until replicas apply a commit that they received")
	flags.DurationVar(&o.serviceTime, "service", o.serviceTime, "time for which a statement holds its slot")
	flags.IntVar(&o.connections, "connections", o.connections, "limit of connections to the database")
	flags.IntVar(&o.rate, "rate", o.rate, "rate of the account in statements per second")
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

// cmdKill ends a process with SIGKILL: sigkill process.
func (s *scenario) cmdKill(args []string) error {
	s.checkUsage(len(args) == 1, "sigkill process")
	p, err := s.fleet.process(args[0])
	if err != nil {
		return err
	}
	p.kill()
	return nil
}

// cmdFreeze suspends a process: freeze process [duration]. With a duration the
// command waits for that long and resumes the process before it returns.
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

// cmdThaw resumes a process: thaw process.
func (s *scenario) cmdThaw(args []string) error {
	s.checkUsage(len(args) == 1, "thaw process")
	return s.fleet.thaw(args[0])
}

// cmdStop stops a process gracefully and waits for its end: sigterm process.
func (s *scenario) cmdStop(args []string) error {
	s.checkUsage(len(args) == 1, "sigterm process")
	p, err := s.fleet.process(args[0])
	if err != nil {
		return err
	}
	return p.stop()
}

// directionArgument returns the direction in the second argument; empty means both.
func directionArgument(args []string) string {
	if len(args) < 2 || args[1] == "both" {
		return ""
	}
	return args[1]
}

// cmdCut cuts the links with a name or below it: cut link [up|down|both].
func (s *scenario) cmdCut(args []string) error {
	s.checkUsage(len(args) == 1 || len(args) == 2, "cut link [up|down|both]")
	return s.fleet.setLinks("cut", args[0], directionArgument(args))
}

// cmdRestore ends a cut or delay: restore link.
func (s *scenario) cmdRestore(args []string) error {
	s.checkUsage(len(args) == 1, "restore link")
	return s.fleet.setLinks("restore", args[0], "")
}

// cmdDelay delays both directions of links: delay link duration.
func (s *scenario) cmdDelay(args []string) error {
	s.checkUsage(len(args) == 2, "delay link duration")
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return s.fleet.delayLinks(args[0], d)
}

// cmdIsolate stops replication to and from a member, or restores it: isolate
// member [off].
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

// cmdPlatform injects a fault at the platform: platform outage|refuse|delay duration,
// or platform lose count, which loses the responses to that many changes.
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
	return s.fleet.setPlatformFaults(kvservice.Faults{OutageMS: d.Milliseconds(), Unavailable: args[0] == "refuse"})
}

// cmdLoad starts or stops clients that record a history: load start [sessions
// [seed]], load stop.
func (s *scenario) cmdLoad(args []string) error {
	s.checkUsage(len(args) >= 1, "load start [sessions [seed]], load stop")
	if args[0] == "stop" {
		s.load.stop()
		s.ts.Logf("results of the clients: %s; longest gap between acknowledged writes %s", s.load.summary(), s.load.longestWriteGap())
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

// cmdPause waits for a duration: pause duration.
func (s *scenario) cmdPause(args []string) error {
	s.checkUsage(len(args) == 1, "pause duration")
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}
