// Package cli holds what the two command lines have in common.
package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Strict returns a command that refuses arguments beyond its flags with
// ExitUsageError, such as a file name given without its flag: ignored, it would
// leave the default in its place.
func Strict(c subcommands.Command) subcommands.Command {
	return &strict{Command: c}
}

type strict struct {
	subcommands.Command
}

// Execute implements subcommands.Command.
func (s *strict) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "unexpected argument %q\nusage: %s", f.Arg(0), s.Usage())
		return subcommands.ExitUsageError
	}
	return s.Command.Execute(ctx, f, args...)
}
