// Command rattanhoist-node is a router or a keeper of a fleet whose members
// find each other through seeds, as its settings say.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rattanhoist.example/rattanhoist/acceptor"
	"rattanhoist.example/rattanhoist/courier"
	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/reporter"
	"rattanhoist.example/rattanhoist/steward"
)

const (
	// metricsHeadTimeout, metricsTimeout and metricsIdleTimeout bound how long a client of the metrics may take
	// to send its request header, to send the request and read the answer, and for its next request.
	metricsHeadTimeout = 5 * time.Second
	metricsTimeout     = 10 * time.Second
	metricsIdleTimeout = 30 * time.Second
	// metricsMemory bounds what clients of the metrics may hold, in bytes.
	metricsMemory = 1 << 20
	// maxMetricsAnswers bounds the answers that are made at the same time.
	maxMetricsAnswers = 4
)

// settingsPollInterval is how often the settings file is read, which takes less than 0.1 ms.
const settingsPollInterval = 2 * time.Second

// settingsVariable is the environment variable that holds the path of the settings file.
const settingsVariable = "RATTANHOIST_SETTINGS"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	// Settings may change while the process starts. Without a receiver, the signal would end it.
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	if err := run(ctx, changed); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serveMetrics serves the metrics as text. If the port is in use, the process runs without them.
func serveMetrics(n *loader.Node, log *zap.Logger) {
	if n.Metrics() == "" {
		return
	}
	resources := acceptor.Resources{MemoryBytes: n.MemoryBytes(), Descriptors: n.Descriptors()}
	l, err := acceptor.New(enforcer.NewMemory(metricsMemory), log).Listen("metrics", n.Metrics(), resources.ForProbes())
	if err != nil {
		log.Warn("no metrics", zap.Error(err))
		return
	}
	m := http.NewServeMux()
	m.Handle("GET /metrics", acceptor.LimitAnswers(maxMetricsAnswers, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})))
	s := &http.Server{Handler: m, ReadHeaderTimeout: metricsHeadTimeout, ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, IdleTimeout: metricsIdleTimeout}
	l.Track(s)
	go func() { log.Warn("metrics end", zap.Error(s.Serve(l))) }()
}

// run runs the router or keeper of the settings until ctx is done. A value from changed means that the
// settings have changed.
func run(ctx context.Context, changed <-chan os.Signal) error {
	n, warnings, err := loader.LoadNode(os.Getenv(settingsVariable))
	if err != nil {
		return err
	}
	out, flush := reporter.NewQueue(os.Stdout)
	defer flush()
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, zap.InfoLevel),
		zap.Fields(zap.String("process", n.Name())))
	serveMetrics(n, log)
	if m := n.MemoryBytes(); m > 0 {
		debug.SetMemoryLimit(int64(acceptor.HeapFraction * float64(m)))
	}
	for _, w := range warnings {
		log.Warn(w)
	}
	if n.Kind() == loader.KindRouter {
		c := courier.New(courier.Options{
			Node: n, Log: log, Decode: platform.DecodeDocument, Wire: platform.HeaderCodec{},
			ClassifyResponse: platform.ClassifyResponse, QueryCache: platform.QueryCache, ProbeInstance: platform.ProbeInstance, ReadyPath: platform.ReadyPath,
		})
		go reload(ctx, changed, n, log, c.AddKeepers)
		return c.Run(ctx)
	}
	s, cleanUp, err := steward.New(n, log)
	if err != nil {
		return err
	}
	defer cleanUp()
	go reload(ctx, changed, n, log, s.AddSeeds)
	return s.Run(ctx, func(s *steward.Keeper) http.Handler {
		return platform.NewControl(steward.NewControl(s, platform.DecodeDocument), s.RequestMemory())
	})
}

// reload adds the seeds of changed settings, on SIGHUP or when the file has changed without a signal.
// All other changes take effect when the platform starts the process again.
func reload(ctx context.Context, changed <-chan os.Signal, n *loader.Node, log *zap.Logger, addSeeds func([]string)) {
	file := os.Getenv(settingsVariable)
	seeds := n.Seeds()
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
		next, _, err := loader.LoadNode(file)
		if err != nil {
			log.Warn("changed settings refused, the old ones stay", zap.Error(err))
			continue
		}
		if !slices.Equal(next.Seeds(), seeds) {
			seeds = next.Seeds()
			log.Info("seeds changed", zap.Strings("seeds", seeds))
			addSeeds(seeds)
		}
	}
}
