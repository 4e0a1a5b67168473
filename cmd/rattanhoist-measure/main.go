// Command rattanhoist-measure runs experiments on the product's parts. The
// product does not contain it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/measurer"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "rattanhoist-measure", Short: "Measure the product's parts", SilenceUsage: true}
	root.AddCommand(listCommand(), runCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func listCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the experiments", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			for _, e := range measurer.Experiments() {
				fmt.Printf("%-16s %s\n", e.Name, e.Short)
			}
		},
	}
}

func runCommand() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use: "run [NAME...]", Short: "Run experiments, all by default",
		RunE: func(c *cobra.Command, names []string) error { return run(c.Context(), names, output) },
	}
	c.Flags().StringVarP(&output, "output", "o", "table", "table or json")
	return c
}

func run(ctx context.Context, names []string, output string) error {
	if len(names) == 0 {
		for _, e := range measurer.Experiments() {
			names = append(names, e.Name)
		}
	}
	r := &measurer.Report{}
	for _, n := range names {
		e, ok := measurer.Lookup(n)
		if !ok {
			return fmt.Errorf("no experiment %q; see list", n)
		}
		r.Begin(n)
		if err := e.Run(ctx, r); err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
	}
	if output == "json" {
		return r.WriteJSON(os.Stdout)
	}
	return r.WriteText(os.Stdout)
}
