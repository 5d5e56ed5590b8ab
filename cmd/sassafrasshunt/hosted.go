package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/instance"
)

// hostedCommand runs an instance on the users' platform.
type hostedCommand struct{}

func (*hostedCommand) Name() string { return "hosted" }
func (*hostedCommand) Synopsis() string {
	return "run an instance with the settings that the users' platform provides"
}
func (*hostedCommand) Usage() string {
	return "hosted\n  Runs an instance on the users' platform. " + instance.BootFileVariable +
		" names the platform's settings file.\n  SIGTERM starts a graceful stop, SIGHUP reads the settings again.\n  Exit codes: 0 stopped, 1 cannot start, 2 bad usage.\n"
}

func (*hostedCommand) SetFlags(*flag.FlagSet) {}

func (*hostedCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	path := os.Getenv(instance.BootFileVariable)
	if path == "" {
		return fail(fmt.Errorf("%s is not set; it names the platform's settings file", instance.BootFileVariable))
	}
	// Before the settings are read, because a SIGHUP that is not caught ends the process.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	h, err := instance.LoadHosted(path, os.Stdout)
	if err != nil {
		return fail(err)
	}
	h.Run(signals, reload)
	return subcommands.ExitSuccess
}
