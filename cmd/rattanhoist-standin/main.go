// Command rattanhoist-standin runs the stand-ins for engines, plain services
// and callers. The product does not contain it.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/imitator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "rattanhoist-standin", Short: "Stand-ins for engines, plain services and callers", SilenceUsage: true}
	root.AddCommand(endpointCommand("engine"), endpointCommand("plain"), callCommand(), loadCommand(), hopCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// endpointHandler serves the requests of a stand-in for an endpoint. Load is the number of requests that
// it reports to routers.
type endpointHandler interface {
	http.Handler
	Load() int64
}

// endpointFlags holds the flags of the commands that serve as an endpoint.
type endpointFlags struct {
	name, service, zone, listen, keyFile, runLog string
	routers, announceTo, labels                  []string
	capacity                                     int
	pace, prefill, loadLag, grace, keep, drain   time.Duration
	announceEvery                                time.Duration
	checksFencing                                bool
	cacheBlocks                                  int
}

func (f *endpointFlags) engineOptions() imitator.EngineOptions {
	return imitator.EngineOptions{
		Capacity: f.capacity, TokenTime: f.pace, PrefillTime: f.prefill, CacheBlocks: f.cacheBlocks,
		LoadLag: f.loadLag, Grace: f.grace, Keep: f.keep,
	}
}

func endpointCommand(kind string) *cobra.Command {
	var f endpointFlags
	c := &cobra.Command{
		Use: kind, Short: "Serve as a " + kind + " endpoint", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return f.serve(c.Context(), kind) },
	}
	c.Flags().StringVar(&f.name, "name", "", "unique name")
	c.Flags().StringVar(&f.service, "service", "", "service that it serves")
	c.Flags().StringVar(&f.zone, "zone", "", "availability zone")
	c.Flags().StringVar(&f.listen, "listen", "", "host:port")
	c.Flags().StringVar(&f.keyFile, "key-file", "", "file of the endpoints' key")
	c.Flags().StringVar(&f.runLog, "run-log", "runs.jsonl", "file that every run is logged to")
	c.Flags().StringSliceVar(&f.routers, "router", nil, "host:port of a router (repeatable)")
	c.Flags().StringSliceVar(&f.labels, "label", nil, "key=value (repeatable)")
	c.Flags().IntVar(&f.capacity, "capacity", 8, "requests that run at once")
	c.Flags().DurationVar(&f.pace, "pace", 2*time.Millisecond, "time of a token, or of a plain call")
	c.Flags().StringSliceVar(&f.announceTo, "announce-to", nil, "host:port of the only routers to announce to, in place of --router")
	c.Flags().DurationVar(&f.announceEvery, "announce-every", 500*time.Millisecond, "time between announcements")
	c.Flags().BoolVar(&f.checksFencing, "checks-fencing", false, "announce that orders with an old fencing number are refused")
	c.Flags().DurationVar(&f.drain, "drain", 10*time.Second, "longest wait for requests in progress after a leave")
	if kind == "engine" {
		c.Flags().DurationVar(&f.prefill, "prefill", 20*time.Microsecond, "time for a prompt token that is not cached")
		c.Flags().DurationVar(&f.loadLag, "load-lag", 200*time.Millisecond, "age of the load that it reports")
		c.Flags().DurationVar(&f.grace, "grace", 2*time.Second, "how long a run goes on after its connection is lost")
		c.Flags().DurationVar(&f.keep, "keep", 30*time.Second, "how long a finished stream can be resumed")
		c.Flags().IntVar(&f.cacheBlocks, "cache-blocks", 1024, "prefix cache, in blocks of 64 bytes")
	}
	return c
}

// serve serves requests and announces the endpoint to routers until ctx is done.
func (f *endpointFlags) serve(ctx context.Context, kind string) error {
	key, err := os.ReadFile(f.keyFile)
	if err != nil {
		return err
	}
	runs, closeRuns, err := imitator.NewRunLog(f.name, f.runLog)
	if err != nil {
		return err
	}
	defer func() { _ = closeRuns() }()
	var handler endpointHandler = imitator.NewEngine(f.engineOptions(), runs)
	if kind == "plain" {
		handler = imitator.NewPlain(f.capacity, f.pace, runs)
	}
	l, err := net.Listen("tcp", f.listen)
	if err != nil {
		return err
	}
	routers := f.routers
	if len(f.announceTo) > 0 {
		routers = f.announceTo
	}
	a := imitator.NewAnnouncer(f.announcement(), routers, strings.TrimSpace(string(key)), f.announceEvery, handler.Load)
	server := &http.Server{Handler: a.Control(handler), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	a.Run(ctx)
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.drain)
	defer cancel()
	return server.Shutdown(stop)
}

func (f *endpointFlags) announcement() imitator.Announcement {
	labels := map[string]string{}
	for _, l := range f.labels {
		k, v, _ := strings.Cut(l, "=")
		labels[k] = v
	}
	return imitator.Announcement{
		Name: f.name, Service: f.service, Zone: f.zone, Address: f.listen,
		Labels: labels, Capacity: int64(f.capacity), ChecksFencing: f.checksFencing,
	}
}

func callCommand() *cobra.Command {
	var c imitator.Call
	cmd := &cobra.Command{
		Use: "call", Short: "Send one request, check that the answer is whole, print its figures", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := c.Do(cmd.Context())
			if err != nil {
				return errors.Join(errors.New("request "+c.RequestID), err)
			}
			fmt.Printf("%-12s %-14s charged=%d chunks=%d bytes=%d\n", r.RequestID, r.Endpoint, r.ChargedTokens, r.Chunks, len(r.Text))
			return nil
		},
	}
	cmd.Flags().StringVar(&c.Router, "router", "", "host:port")
	cmd.Flags().StringVar(&c.Key, "key", "", "workspace key")
	cmd.Flags().StringVar(&c.RequestID, "id", "", "request id")
	cmd.Flags().StringVar(&c.Model, "model", "", "model")
	cmd.Flags().StringVar(&c.Prompt, "prompt", "", "prompt")
	cmd.Flags().Int64Var(&c.MaxTokens, "max-tokens", 64, "largest answer in tokens")
	cmd.Flags().BoolVar(&c.Stream, "stream", false, "ask for a stream")
	return cmd
}
