package commander

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/keeper"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/router"
)

var _ = register(func(a *app) *cobra.Command {
	return a.processCommand(loader.KindRouter, "Run a router", func(s *loader.Settings, p loader.Process, log *zap.Logger) (process, func(), error) {
		return router.New(s, p, log)
	})
})

var _ = register(func(a *app) *cobra.Command {
	return a.processCommand(loader.KindKeeper, "Run a keeper", func(s *loader.Settings, p loader.Process, log *zap.Logger) (process, func(), error) {
		return keeper.New(s, p, log)
	})
})

var _ = register(func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "check", Short: "Check the settings and list every fault", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := a.load()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(a.out, "%s: deployment %s, %d processes, no faults\n", a.settingsFile, s.Deployment(), len(s.Processes("")))
			return err
		},
	}
})

// process runs until its context ends.
type process interface{ Run(context.Context) error }

type makeProcess func(*loader.Settings, loader.Process, *zap.Logger) (process, func(), error)

func (a *app) processCommand(kind, short string, f makeProcess) *cobra.Command {
	var name string
	c := &cobra.Command{
		Use: kind, Short: short, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return a.runProcess(c.Context(), kind, name, f) },
	}
	c.Flags().StringVar(&name, "name", "", "name of the process in the settings")
	_ = c.MarkFlagRequired("name")
	return c
}

func (a *app) runProcess(ctx context.Context, kind, name string, f makeProcess) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	self, err := s.Process(kind, name)
	if err != nil {
		return err
	}
	log, syncLog, err := newLog(name)
	if err != nil {
		return err
	}
	defer syncLog()
	p, cleanUp, err := f(s, self, log)
	if err != nil {
		return err
	}
	defer cleanUp()
	return p.Run(ctx)
}
