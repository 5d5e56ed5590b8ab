// Command sassafrasshunt runs one proxy instance.
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
	subcommands.Register(cli.Strict(&runCommand{}), "")
	subcommands.Register(cli.Strict(&hostedCommand{}), "")
	subcommands.Register(cli.Strict(&checkCommand{}), "")
	subcommands.Register(cli.Strict(&versionCommand{}), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
