package commander

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/acceptor"
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

// process is a process that runs until its context is done.
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
	debug.SetMemoryLimit(int64(acceptor.HeapFraction * float64(s.Policy().MemoryBytes())))
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
	if h, ok := p.(fastStopper); ok {
		defer onSecondSignal(ctx, h.Hurry)()
	}
	return p.Run(ctx)
}

// newLog returns a logger to standard error, for changes of state.
func newLog(process string) (*zap.Logger, func(), error) {
	log, err := zap.NewProduction(zap.Fields(zap.String("process", process)))
	if err != nil {
		return nil, nil, err
	}
	return log, func() { _ = log.Sync() }, nil
}

// fastStopper is a process that can skip the handover when it shuts down.
type fastStopper interface{ Hurry() }

// onSecondSignal calls f at a signal that arrives after ctx is done. No answer in progress is cut off.
func onSecondSignal(ctx context.Context, f func()) (stop func()) {
	signals := make(chan os.Signal, 1)
	ended := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
		case <-ended:
			return
		}
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
			f()
		case <-ended:
		}
	}()
	return func() {
		signal.Stop(signals)
		close(ended)
	}
}

const traceFlushTimeout = 2 * time.Second

// startTracing enables traces if the settings require it. The returned function exports the remaining
// spans.
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
