// Package commander is the command line of the product. Each command is a
// plug-in in a file of its own that registers itself.
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
	// ExitOK says that the command did what it says.
	ExitOK = 0
	// ExitFailed says that it did not, for a reason outside the input.
	ExitFailed = 1
	// ExitUsage says that the arguments or the settings are faulty, or that
	// the change was refused. Nothing has changed.
	ExitUsage = 2
	// ExitConflict says that another change took the version. Nothing has
	// changed.
	ExitConflict = 3
	// ExitUnknown says that the outcome is unknown: repeat under the same id.
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
	// ErrUsage says that the arguments are faulty.
	ErrUsage = merry.Sentinel("faulty arguments")
	// ErrConflict says that another change took the version.
	ErrConflict = merry.Sentinel("conflict")
	// ErrOutcomeUnknown says that the same command must be repeated.
	ErrOutcomeUnknown = merry.Sentinel("outcome unknown")
	// ErrRefused says that the change is faulty.
	ErrRefused = merry.Sentinel("refused")
	// ErrNotYet says that a state waited for has not come about.
	ErrNotYet = merry.Sentinel("not yet")
	// ErrUnreachable says that no process answered that could have.
	ErrUnreachable = merry.Sentinel("out of reach")
)

// app is what every command shares.
type app struct {
	settingsFile string
	output       string
	// Timeout bounds the tries of one question or change.
	timeout     time.Duration
	in          io.Reader
	out, errOut io.Writer
}

// command is a plug-in: it makes one command.
type command func(*app) *cobra.Command

// root is the group of the commands that stand alone.
const root = ""

// groups are the commands that only hold others.
var groups = map[string]string{
	"workspace": "Workspaces that pay for requests",
	"service":   "Services that workspaces call",
	"statement": "Statements of which endpoints may serve whom",
	"endpoint":  "Endpoints that have announced themselves",
	"budget":    "Prepaid budgets of workspaces",
	"config":    "The configuration and where it is in force",
}

var registry = map[string][]command{}

// register adds a command to a group; it is called from package-level values.
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
		SilenceUsage: true, SilenceErrors: true, Args: cobra.ArbitraryArgs, RunE: wantSubcommand,
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
		g := &cobra.Command{Use: name, Short: short, Args: cobra.ArbitraryArgs, RunE: wantSubcommand}
		for _, newCommand := range registry[name] {
			g.AddCommand(newCommand(a))
		}
		c.AddCommand(g)
	}
	return c
}

// wantSubcommand runs where a command was called that only holds others.
func wantSubcommand(c *cobra.Command, args []string) error {
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

// warn tells the operator what does not change the outcome.
func (a *app) warn(format string, args ...any) {
	_, _ = fmt.Fprintf(a.errOut, "warning: "+format+"\n", args...)
}
