// Command rattanhoist-node is a router or a keeper of a fleet whose members
// find each other through seeds, as its settings say.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rattanhoist.example/rattanhoist/courier"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/reporter"
	"rattanhoist.example/rattanhoist/steward"
)

// metricsTimeout bounds a reader that is slow to ask.
const metricsTimeout = 5 * time.Second

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

// serveMetrics shows counters as text; a port that is taken costs only them.
func serveMetrics(address string, log *zap.Logger) {
	if address == "" {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		log.Warn("no metrics", zap.Error(err))
		return
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	go func() {
		s := &http.Server{Handler: m, ReadHeaderTimeout: metricsTimeout}
		log.Warn("metrics end", zap.Error(s.Serve(l)))
	}()
}

func run(ctx context.Context) error {
	n, warnings, err := loader.LoadNode(os.Getenv(settingsVariable))
	if err != nil {
		return err
	}
	out, flush := reporter.NewQueue(os.Stdout)
	defer flush()
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zap.InfoLevel),
		zap.Fields(zap.String("process", n.Name())))
	serveMetrics(n.Metrics(), log)
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
