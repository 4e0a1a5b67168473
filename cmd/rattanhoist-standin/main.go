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
	root.AddCommand(endpointCommand("engine"), endpointCommand("plain"), callCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// worker is a stand-in that serves requests.
type worker interface {
	http.Handler
	Load() int64
}

type endpointFlags struct {
	name, service, zone, listen, keyFile, runLog string
	routers, labels                              []string
	capacity                                     int
	pace                                         time.Duration
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
	return c
}

const announceEvery = 500 * time.Millisecond

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
	var w worker = imitator.NewEngine(f.capacity, f.pace, runs)
	if kind == "plain" {
		w = imitator.NewPlain(f.capacity, f.pace, runs)
	}
	l, err := net.Listen("tcp", f.listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	imitator.NewAnnouncer(f.announcement(), f.routers, strings.TrimSpace(string(key)), announceEvery, w.Load).Run(ctx)
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), 10*time.Second)
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
		Labels: labels, Capacity: int64(f.capacity),
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
