package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/imitator"
)

// errFailedCalls makes the exit code non-zero if calls of a comparison failed.
var errFailedCalls = errors.New("calls failed; see the table")

func hopCommand() *cobra.Command {
	h := imitator.Hop{}
	c := &cobra.Command{
		Use: "hop", Short: "Compare calls through routers with direct calls of the same plain endpoint", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runHop(c.Context(), h) },
	}
	f := c.Flags()
	f.StringSliceVar(&h.Routers, "router", nil, "host:port (repeatable)")
	f.StringVar(&h.Endpoint, "endpoint", "", "host:port of the plain endpoint")
	f.IntSliceVar(&h.Callers, "callers", []int{1, 16, 256}, "callers at once, one comparison each")
	f.DurationVar(&h.For, "for", 5*time.Second, "time of each way")
	f.StringVar(&h.Call.Key, "key", "", "workspace key")
	f.StringVar(&h.Call.Workspace, "workspace", "", "workspace name")
	f.StringVar(&h.Call.Service, "service", "", "plain service")
	f.StringVar(&h.Call.Path, "path", "/hop", "path at the plain service")
	return c
}

func runHop(ctx context.Context, h imitator.Hop) error {
	results, err := h.Run(ctx)
	if err != nil {
		return err
	}
	failed := int64(0)
	fmt.Printf("%-8s %-8s %10s %10s %10s %10s %8s\n", "callers", "way", "p50_ms", "p99_ms", "max_ms", "calls_s", "failed")
	for _, r := range results {
		fmt.Printf("%-8d %-8s %10.3f %10.3f %10.3f %10.0f %8d\n", r.Callers, r.Way, r.End.P50, r.End.P99, r.End.Max, r.Rate, r.Failed)
		failed += r.Failed
	}
	if failed > 0 {
		return errFailedCalls
	}
	return nil
}
