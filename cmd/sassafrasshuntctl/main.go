// Command sassafrasshuntctl is the operators' command line: catalogue edits,
// keys, the state of the fleet, and checks of settings and state charts.
//
// Exit codes: 0 done, 1 failed (not run), 2 bad usage, 3 outcome uncertain.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/sassafrasshunt/sassafrasshunt/cmd/internal/cli"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range groups() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

func groups() []subcommands.Command {
	return []subcommands.Command{
		&group{name: "catalogue", synopsis: "show and edit the catalogue", commands: []subcommands.Command{
			&catalogueGet{}, &catalogueEdit{}, &catalogueDiff{}, &catalogueHistory{},
		}},
		&group{name: "keys", synopsis: "give, revoke and list keys of client accounts", commands: []subcommands.Command{
			&keysGive{}, &keysRevoke{}, &keysList{},
		}},
		&group{name: "settings", synopsis: "check and describe settings files", commands: []subcommands.Command{
			&settingsCheck{}, &settingsDescribe{},
		}},
		&group{name: "chart", synopsis: "check and draw the built-in state charts", commands: []subcommands.Command{
			&chartCheck{}, &chartGraph{},
		}},
		&group{name: "logs", synopsis: "explain requests from log files", commands: []subcommands.Command{
			&logsExplain{},
		}},
		cli.Strict(&status{}), cli.Strict(&ready{}), cli.Strict(&explain{}), cli.Strict(&switchover{}),
	}
}

// group is a command with commands of its own.
type group struct {
	name     string
	synopsis string
	commands []subcommands.Command
}

func (g *group) Name() string           { return g.name }
func (g *group) Synopsis() string       { return g.synopsis }
func (g *group) SetFlags(*flag.FlagSet) {}

func (g *group) Usage() string {
	usage := g.name + " COMMAND [flags]\n"
	for _, c := range g.commands {
		usage += "  " + c.Name() + "\t" + c.Synopsis() + "\n"
	}
	return usage
}

func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	inner := flag.NewFlagSet(g.name, flag.ContinueOnError)
	commander := subcommands.NewCommander(inner, g.name)
	commander.Register(commander.HelpCommand(), "")
	for _, c := range g.commands {
		commander.Register(cli.Strict(c), "")
	}
	if err := inner.Parse(f.Args()); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}
