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
	for _, c := range allCommands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// allCommands returns the commands besides help and flags.
func allCommands() []subcommands.Command {
	return []subcommands.Command{
		&commandGroup{name: "catalogue", synopsis: "show and edit the catalogue", commands: []subcommands.Command{
			&catalogueGet{}, &catalogueEdit{}, &catalogueDiff{}, &catalogueHistory{},
		}},
		&commandGroup{name: "keys", synopsis: "give, revoke and list keys of client accounts", commands: []subcommands.Command{
			&keysGive{}, &keysRevoke{}, &keysList{},
		}},
		&commandGroup{name: "settings", synopsis: "check and describe settings files", commands: []subcommands.Command{
			&settingsCheck{}, &settingsDescribe{},
		}},
		&commandGroup{name: "chart", synopsis: "check and draw the built-in state charts", commands: []subcommands.Command{
			&chartCheck{}, &chartGraph{},
		}},
		&commandGroup{name: "logs", synopsis: "explain requests from log files", commands: []subcommands.Command{
			&logsExplain{},
		}},
		cli.Strict(&statusCommand{}), cli.Strict(&readyCommand{}), cli.Strict(&explainCommand{}), cli.Strict(&switchoverCommand{}),
	}
}

// commandGroup is a command that consists of subcommands.
type commandGroup struct {
	name     string
	synopsis string
	commands []subcommands.Command
}

func (g *commandGroup) Name() string           { return g.name }
func (g *commandGroup) Synopsis() string       { return g.synopsis }
func (g *commandGroup) SetFlags(*flag.FlagSet) {}

func (g *commandGroup) Usage() string {
	usage := g.name + " COMMAND [flags]\n"
	for _, c := range g.commands {
		usage += "  " + c.Name() + "\t" + c.Synopsis() + "\n"
	}
	return usage
}

func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
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
