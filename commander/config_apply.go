package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	defaultWaitTimeout = 30 * time.Second
	standardInput      = "-"
)

const applyHelp = `Apply the edits of a JSON file as one change: all of them or none.

    {"base_version": 7, "change_id": "tuesday-1", "edits": [
      {"put_statement": {"name": "all", "endpoints": "tier=standard"}},
      {"delete_service": "old-portal"}]}

Edits are put_workspace, put_service, put_statement, put_member and
delete_workspace, delete_service, delete_statement, delete_member. base_version
is the version that you looked at: when another change came since, the outcome
is a conflict (exit code 3) and nothing changes. Without it, the change is
based on the current version. The change id is printed before anything is sent;
after a lost answer (exit code 4), the same command with --change-id counts
once.`

type applyOptions struct {
	change      change
	wait        bool
	waitTimeout time.Duration
}

var _ = register("config", func(a *app) *cobra.Command {
	o := &applyOptions{}
	c := &cobra.Command{
		Use: "apply FILE", Short: "Apply the edits of a JSON file (- for standard input) as one change", Long: applyHelp, Args: exactArgs("FILE"),
		RunE: func(c *cobra.Command, args []string) error { return a.configApply(c.Context(), o, args[0]) },
	}
	c.Flags().Uint64Var(&o.change.base, "base-version", 0, "version that the edits are based on; overrides the file's")
	c.Flags().BoolVar(&o.wait, "wait", false, "wait until every router that answers has the change in force")
	c.Flags().DurationVar(&o.waitTimeout, "wait-timeout", defaultWaitTimeout, "how long to wait")
	o.change.flags(c)
	return c
})

func (a *app) configApply(ctx context.Context, o *applyOptions, file string) error {
	c, err := a.readChange(file)
	if err != nil {
		return err
	}
	ch := &o.change
	if ch.base == 0 {
		ch.base = c.BaseVersion
	}
	if ch.id == "" {
		ch.id = c.ChangeId
	}
	if err := ch.prepare(); err != nil {
		return err
	}
	ch.edits = func(*messenger.Configuration) ([]*messenger.Edit, error) { return c.Edits, nil }
	_, _ = fmt.Fprintf(a.errOut, "change id %s\n", ch.id)
	r, err := a.proposePrepared(ctx, ch)
	if err != nil {
		return err
	}
	if err := a.accepted(ch, r); err != nil || !o.wait {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.waitTimeout)
	defer cancel()
	return a.waitInForce(ctx, r.Version)
}

// readChange reads a change from a file. Unknown fields are errors.
func (a *app) readChange(file string) (*messenger.Change, error) {
	read := func() ([]byte, error) { return os.ReadFile(file) }
	if file == standardInput {
		read = func() ([]byte, error) { return io.ReadAll(a.in) }
	}
	b, err := read()
	if err != nil {
		return nil, merry.Errorf("%w: FILE: %w", ErrUsage, err)
	}
	c := &messenger.Change{}
	if err := protojson.Unmarshal(b, c); err != nil {
		return nil, merry.Errorf("%w: FILE: %s: %s", ErrUsage, file, normalizeSpaces(err.Error()))
	}
	if len(c.Edits) == 0 {
		return nil, merry.Errorf("%w: FILE: %s: edits: missing; see `config apply --help`", ErrUsage, file)
	}
	return c, nil
}
