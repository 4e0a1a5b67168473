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

// pageFileMode is the mode of a capacity page that does not exist yet.
const pageFileMode = 0o644

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "rattanhoist-measure", Short: "Measure the product's parts", SilenceUsage: true}
	root.AddCommand(listCommand(), runCommand(), capacityCommand())
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

func capacityCommand() *cobra.Command {
	return &cobra.Command{
		Use: "capacity SLOPES PAGE", Short: "Write the measured lines of the page on capacity", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return capacity(args[0], args[1]) },
	}
}

// capacity replaces the measured lines of a capacity page by those of a report in JSON.
func capacity(slopes, page string) error {
	f, err := os.Open(slopes)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	r, err := measurer.ReadReport(f)
	if err != nil {
		return err
	}
	old, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	text, err := measurer.ReplaceCapacity(string(old), r)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(text), pageFileMode)
}

// run runs the named experiments, or all of them, and prints one report.
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
