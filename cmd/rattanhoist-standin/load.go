package main

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/imitator"
)

// errWrongAnswer makes the exit code non-zero if an answer was wrong.
var errWrongAnswer = errors.New("wrong answers; see the summary")

func loadCommand() *cobra.Command {
	l := imitator.Load{}
	var outcomes string
	c := &cobra.Command{
		Use: "load", Short: "Send a bounded load, check every answer, print a JSON summary", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runLoad(c, l, outcomes) },
	}
	f := c.Flags()
	f.StringSliceVar(&l.Routers, "router", nil, "host:port (repeatable)")
	f.IntVar(&l.Count, "count", 100, "number of requests")
	f.DurationVar(&l.For, "for", time.Minute, "longest time of the whole load")
	f.IntVar(&l.Concurrent, "concurrent", 4, "callers at once")
	f.IntVar(&l.Retries, "retries", 3, "retries under the same id, each at the next router")
	f.Uint64Var(&l.Seed, "seed", 1, "seed of ids, prompts and shapes")
	f.StringVar(&l.Prefix, "prefix", "load-", "first part of every request id")
	f.StringVar(&l.Call.Key, "key", "", "workspace key")
	f.StringVar(&l.Call.Workspace, "workspace", "", "workspace name, for the oracle")
	f.StringVar(&l.Call.Model, "model", "", "model")
	f.StringVar(&l.Call.Service, "service", "", "plain service, in place of a model")
	f.StringVar(&l.Call.Path, "path", "/load", "path at the plain service")
	f.StringVar(&l.Call.Prompt, "prompt", "", "head of every prompt")
	f.Int64Var(&l.Call.MaxTokens, "max-tokens", 16, "largest answer in tokens")
	f.DurationVar(&l.Call.Timeout, "deadline", 0, "deadline of each request")
	f.BoolVar(&l.Call.NotRepeatable, "not-repeatable", false, "mark requests as not repeatable")
	f.IntVar(&l.Call.Priority, "priority", 0, "0 (first) to 9")
	f.StringVar(&outcomes, "outcomes", "", "file for a JSON line for each request")
	return c
}

func runLoad(c *cobra.Command, l imitator.Load, outcomes string) error {
	if outcomes != "" {
		f, err := os.Create(outcomes)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		l.Outcomes = f
	}
	s, err := l.Run(c.Context())
	if err != nil {
		return err
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(s); err != nil {
		return err
	}
	if s.Wrong > 0 {
		return errWrongAnswer
	}
	return nil
}
