package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/instance"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
)

// runCommand runs an instance.
type runCommand struct {
	path string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run an instance until SIGTERM or SIGINT" }
func (*runCommand) Usage() string {
	return "run -settings FILE\n  Runs an instance. SIGTERM starts a graceful stop.\n  Exit codes: 0 stopped, 1 cannot start, 2 bad usage.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "sassafrasshunt.toml", "settings file")
}

func (c *runCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	// Before the start, because a signal that is not caught ends the process.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	s, err := settings.Load(c.path)
	if err != nil {
		return fail(err)
	}
	i, err := instance.New(s, os.Stdout)
	if err != nil {
		return fail(err)
	}
	i.Run(signals)
	return subcommands.ExitSuccess
}

// fail prints err and returns the exit status of a failed command.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

// checkCommand checks the state charts and a settings file.
type checkCommand struct {
	path string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file and the built-in state charts" }
func (*checkCommand) Usage() string {
	return "check [-settings FILE]\n  Checks the state charts and, if given, a settings file. Reports every error. Exit codes: 0 no errors, 1 errors.\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := instance.CheckCharts(); err != nil {
		return fail(err)
	}
	fmt.Println("state charts are valid")
	if c.path == "" {
		return subcommands.ExitSuccess
	}
	if _, err := settings.Load(c.path); err != nil {
		return fail(err)
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

// versionCommand prints the version.
type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "version\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fail(fmt.Errorf("no build information"))
	}
	fmt.Println("sassafrasshunt", info.Main.Version, info.GoVersion)
	return subcommands.ExitSuccess
}
