// Package commander implements the command line. Each command is a plug-in in a file of its own that
// registers itself.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/loader"
)

// Exit codes of the command line.
const (
	// ExitOK is returned if the command succeeded.
	ExitOK = 0
	// ExitFailed is returned if the command failed for a reason other than its input.
	ExitFailed = 1
	// ExitUsage is returned if the arguments or the settings are invalid, or if the change was
	// refused. Nothing has changed.
	ExitUsage = 2
	// ExitConflict is returned if another change was made first. Nothing has changed.
	ExitConflict = 3
	// ExitUnknown is returned if the outcome is unknown. Repeat the command with the same id.
	ExitUnknown = 4
)

const rootHelp = `Router fleet for prepaid token budgets: its processes and the operator's
commands.

Exit codes: 0 done; 1 failed, for a reason outside the input; 2 faulty
arguments or settings, or refused: nothing has changed; 3 conflict, another
change came first: nothing has changed; 4 outcome unknown: repeat the command
under the id that it printed, and it counts once.`

// Errors of commands. Compare with errors.Is.
var (
	// ErrUsage is returned for invalid arguments.
	ErrUsage = merry.Sentinel("faulty arguments")
	// ErrConflict is returned if another change was made first.
	ErrConflict = merry.Sentinel("conflict")
	// ErrOutcomeUnknown is returned if a change may have been made. Repeat the command with the same id.
	ErrOutcomeUnknown = merry.Sentinel("outcome unknown")
	// ErrRefused is returned for an invalid change.
	ErrRefused = merry.Sentinel("refused")
	// ErrNotYet is returned if an awaited state was not reached in time.
	ErrNotYet = merry.Sentinel("not yet")
	// ErrUnreachable is returned if none of the processes answered.
	ErrUnreachable = merry.Sentinel("out of reach")
)

// app holds the state that all commands share.
type app struct {
	settingsFile string
	output       string
	// timeout bounds all attempts of one query or change.
	timeout     time.Duration
	in          io.Reader
	out, errOut io.Writer
}

// command is a plug-in that creates one command.
type command func(*app) *cobra.Command

// root is the group of the commands without a parent.
const root = ""

// groups maps the names of commands that only have subcommands to their descriptions.
var groups = map[string]string{
	"workspace": "Workspaces that pay for requests",
	"service":   "Services that workspaces call",
	"statement": "Statements of which endpoints may serve whom",
	"endpoint":  "Endpoints that have announced themselves",
	"budget":    "Prepaid budgets of workspaces",
	"config":    "The configuration and where it is in force",
}

var registry = map[string][]command{}

// register adds a command to a group. It is called in initializers of package-level variables.
func register(group string, c command) bool {
	registry[group] = append(registry[group], c)
	return true
}

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{in: os.Stdin, out: out, errOut: errOut}
	err := a.execute(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "rattanhoist:", err)
	}
	return exitCode(err)
}

func (a *app) execute(ctx context.Context, args []string) error {
	c := a.rootCommand()
	c.SetArgs(args)
	return c.ExecuteContext(ctx)
}

func (a *app) rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "rattanhoist", Short: "Router fleet for prepaid token budgets", Long: rootHelp,
		SilenceUsage: true, SilenceErrors: true, Args: cobra.ArbitraryArgs, RunE: requireSubcommand,
		PersistentPreRunE: func(*cobra.Command, []string) error { return a.checkOutput() },
	}
	c.SetOut(a.out)
	c.SetErr(a.errOut)
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return merry.Errorf("%w: %s", ErrUsage, err.Error()) })
	c.PersistentFlags().StringVarP(&a.settingsFile, "settings", "s", "rattanhoist.ini", "settings file of the deployment")
	c.PersistentFlags().StringVarP(&a.output, "output", "o", outputTable, "output: table or json")
	c.PersistentFlags().DurationVar(&a.timeout, "timeout", defaultTimeout, "how long to try for an answer")
	for _, newCommand := range registry[root] {
		c.AddCommand(newCommand(a))
	}
	for name, short := range groups {
		g := &cobra.Command{Use: name, Short: short, Args: cobra.ArbitraryArgs, RunE: requireSubcommand}
		for _, newCommand := range registry[name] {
			g.AddCommand(newCommand(a))
		}
		c.AddCommand(g)
	}
	return c
}

// requireSubcommand returns the error for a command that only has subcommands.
func requireSubcommand(c *cobra.Command, args []string) error {
	if len(args) == 0 && !c.HasParent() {
		return c.Help()
	}
	var names []string
	for _, s := range c.Commands() {
		if s.IsAvailableCommand() {
			names = append(names, s.Name())
		}
	}
	slices.Sort(names)
	got := "nothing"
	if len(args) > 0 {
		got = fmt.Sprintf("%q", args[0])
	}
	return merry.Errorf("%w: %s: want one of %s, got %s", ErrUsage, c.CommandPath(), strings.Join(names, ", "), got)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, ErrUsage), errors.Is(err, ErrRefused), errors.Is(err, loader.ErrInvalidSettings):
		return ExitUsage
	case errors.Is(err, ErrConflict):
		return ExitConflict
	default:
		return ExitFailed
	}
}

func (a *app) load() (*loader.Settings, error) { return loader.Load(a.settingsFile) }

// warn prints a warning, which does not change the exit code.
func (a *app) warn(format string, args ...any) {
	_, _ = fmt.Fprintf(a.errOut, "warning: "+format+"\n", args...)
}
