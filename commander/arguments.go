package commander

import (
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// exactArgs requires the given positional arguments, and names a missing one in the error.
func exactArgs(names ...string) cobra.PositionalArgs {
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

// optionalArg accepts at most the given argument.
func optionalArg(name string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		return exactArgs(name)(c, args)
	}
}

// minOneArg requires one argument or more.
func minOneArg(name string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		return exactArgs(slices.Repeat([]string{name}, max(len(args), 1))...)(c, args)
	}
}
