// Package commander is the command line of the product.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/loader"
)

// Exit codes of the command line.
const (
	// ExitOK says that the command did what it says.
	ExitOK = 0
	// ExitFailed says that it did not, for a reason outside the input.
	ExitFailed = 1
	// ExitUsage says that the arguments or the settings are faulty.
	ExitUsage = 2
	// ExitConflict says that another change took the version.
	ExitConflict = 3
	// ExitUnknown says that the outcome is unknown: repeat under the same id.
	ExitUnknown = 4
)

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
)

// app is what every command shares.
type app struct {
	settingsFile string
	output       string
	out          io.Writer
}

// command is a plug-in: it makes one subcommand of the root.
type command func(*app) *cobra.Command

var registry []command

// register adds a subcommand; it is called from package-level values.
func register(c command) bool {
	registry = append(registry, c)
	return true
}

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out}
	root := &cobra.Command{
		Use: "rattanhoist", Short: "Router fleet for prepaid token budgets",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(errOut)
	root.PersistentFlags().StringVarP(&a.settingsFile, "settings", "s", "rattanhoist.ini", "settings file of the deployment")
	root.PersistentFlags().StringVarP(&a.output, "output", "o", "table", "output: table or json")
	for _, c := range registry {
		root.AddCommand(c(a))
	}
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "rattanhoist:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage), errors.Is(err, ErrRefused), errors.Is(err, loader.ErrFaulty):
		return ExitUsage
	case errors.Is(err, ErrConflict):
		return ExitConflict
	case errors.Is(err, ErrOutcomeUnknown):
		return ExitUnknown
	default:
		return ExitFailed
	}
}

func (a *app) load() (*loader.Settings, error) { return loader.Load(a.settingsFile) }

// newLog returns a logger of lines for changes of state, on standard error.
func newLog(process string) (*zap.Logger, func(), error) {
	log, err := zap.NewProduction(zap.Fields(zap.String("process", process)))
	if err != nil {
		return nil, nil, err
	}
	return log, func() { _ = log.Sync() }, nil
}
