package commander

import (
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// wantArgs names every positional argument in the error.
func wantArgs(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) < len(names) {
			return merry.Errorf("%w: %s: missing; usage: %s", ErrUsage, names[len(args)], c.UseLine())
		}
		if len(args) > len(names) {
			return merry.Errorf("%w: %q: one argument too many; usage: %s", ErrUsage, args[len(names)], c.UseLine())
		}
		for i, a := range args {
			if a == "" {
				return merry.Errorf("%w: %s: empty", ErrUsage, names[i])
			}
		}
		return nil
	}
}

// wantOptional takes at most the one argument.
func wantOptional(name string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		return wantArgs(name)(c, args)
	}
}

// wantSome takes one argument or more.
func wantSome(name string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		return wantArgs(slices.Repeat([]string{name}, max(len(args), 1))...)(c, args)
	}
}
