// Command rattanhoist-node is a router or a keeper of a fleet whose members
// find each other through seeds, as its settings say.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/courier"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/steward"
)

// settingsVariable names the settings file.
const settingsVariable = "RATTANHOIST_SETTINGS"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	if err := run(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	n, warnings, err := loader.LoadNode(os.Getenv(settingsVariable))
	if err != nil {
		return err
	}
	c := zap.NewProductionConfig()
	c.OutputPaths = []string{"stdout"}
	c.DisableCaller, c.DisableStacktrace = true, true
	log, err := c.Build(zap.Fields(zap.String("process", n.Name())))
	if err != nil {
		return err
	}
	for _, w := range warnings {
		log.Warn(w)
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			log.Info("settings may have changed")
		}
	}()
	if n.Kind() == loader.KindRouter {
		return courier.New(courier.Options{
			Node: n, Log: log, Decode: platform.DecodeDocument, Wire: platform.Wire{},
			Belongs: platform.Belongs, ReadyPath: platform.ReadyPath,
		}).Run(ctx)
	}
	s, cleanUp, err := steward.New(n, log)
	if err != nil {
		return err
	}
	defer cleanUp()
	return s.Run(ctx, func(s *steward.Steward) http.Handler {
		return platform.NewControl(steward.NewControl(s, platform.DecodeDocument))
	})
}
