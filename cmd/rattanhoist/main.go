// Command rattanhoist is the router fleet for prepaid token budgets: its
// processes and the operator's commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"rattanhoist.example/rattanhoist/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
