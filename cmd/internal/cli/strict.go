// Package cli holds code that the two command lines share.
package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Strict returns a command that runs c, but fails with ExitUsageError if it gets
// arguments besides its flags. A file name given without its flag would otherwise be
// ignored, and the default be used instead.
func Strict(c subcommands.Command) subcommands.Command {
	return &strict{Command: c}
}

// strict wraps a command that Strict was called with.
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
