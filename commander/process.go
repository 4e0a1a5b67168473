package commander

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/keeper"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/router"
	"rattanhoist.example/rattanhoist/tracer"
)

var _ = register(root, func(a *app) *cobra.Command {
	return a.processCommand(loader.KindRouter, "Run a router, on every entry VM", func(s *loader.Settings, p loader.Process, log *zap.Logger) (process, func(), error) {
		return router.New(s, p, log)
	})
})

var _ = register(root, func(a *app) *cobra.Command {
	return a.processCommand(loader.KindKeeper, "Run a keeper, on a VM with a disk", func(s *loader.Settings, p loader.Process, log *zap.Logger) (process, func(), error) {
		return keeper.New(s, p, log)
	})
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
	return c
}

func (a *app) runProcess(ctx context.Context, kind, name string, f makeProcess) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	if name == "" {
		return merry.Errorf("%w: --name: missing; want the name of a [%s NAME] section of %s", ErrUsage, kind, a.settingsFile)
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
	stopTracing, err := startTracing(ctx, s, self)
	if err != nil {
		return err
	}
	defer stopTracing(log)
	p, cleanUp, err := f(s, self, log)
	if err != nil {
		return err
	}
	defer cleanUp()
	return p.Run(ctx)
}

const traceFlushTimeout = 2 * time.Second

// startTracing turns traces on where the settings say so; the returned
// function exports what is left.
func startTracing(ctx context.Context, s *loader.Settings, self loader.Process) (func(*zap.Logger), error) {
	t := s.Trace()
	stop, err := tracer.Start(ctx, tracer.Options{
		Process: self.Name(), Exporter: t.Exporter(), File: t.File(),
		Endpoint: t.Endpoint(), Ratio: t.SampleRatio(),
	})
	if err != nil {
		return nil, merry.Errorf("[trace]: %w", err)
	}
	return func(log *zap.Logger) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), traceFlushTimeout)
		defer cancel()
		if err := stop(ctx); err != nil {
			log.Warn("spans were lost at the end", zap.Error(err))
		}
	}, nil
}
