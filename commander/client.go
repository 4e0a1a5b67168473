package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

const commandTimeout = 10 * time.Second

// client is an operator's connection to a keeper.
type client struct {
	settings *loader.Settings
	conn     *grpc.ClientConn
}

func (c *client) config() messenger.ConfigurationKeeperClient {
	return messenger.NewConfigurationKeeperClient(c.conn)
}

func (c *client) budget() messenger.BudgetKeeperClient {
	return messenger.NewBudgetKeeperClient(c.conn)
}

// withKeeper calls f with the first keeper that answers.
func (a *app) withKeeper(ctx context.Context, f func(context.Context, *client) error) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	d := messenger.NewDialer("operator", messenger.RoleOperator, s.OperatorKey())
	var last error
	for _, p := range s.Processes(loader.KindKeeper) {
		conn, err := d.Dial(p.RPC())
		if err != nil {
			return err
		}
		err = f(ctx, &client{settings: s, conn: conn})
		_ = conn.Close()
		if status.Code(err) != codes.Unavailable {
			return err
		}
		last = err
	}
	return last
}

// propose sends edits based on the current version.
func (c *client) propose(ctx context.Context, edits ...*messenger.Edit) (*messenger.ProposeReply, error) {
	now, err := c.config().Read(ctx, &messenger.ReadRequest{Confirmed: true})
	if err != nil {
		return nil, err
	}
	out, err := c.config().Propose(ctx, &messenger.ProposeRequest{Change: &messenger.Change{
		ChangeId: uuid.NewString(), BaseVersion: now.Configuration.Version, Edits: edits,
	}})
	if err != nil {
		return nil, err
	}
	return out, outcomeError(out)
}

func outcomeError(r *messenger.ProposeReply) error {
	switch r.Outcome {
	case messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED:
		return nil
	case messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT:
		return merry.Errorf("%w: the configuration is at version %d now; look at it and try again", ErrConflict, r.Version)
	case messenger.ChangeOutcome_CHANGE_OUTCOME_REFUSED:
		return merry.Errorf("%w:\n  %s", ErrRefused, strings.Join(r.Faults, "\n  "))
	default:
		return merry.Errorf("%w: repeat the command with the same change id", ErrOutcomeUnknown)
	}
}

// print writes a message as JSON, or rows as a table.
func (a *app) print(m proto.Message, header string, rows [][]any) error {
	if a.output == "json" {
		b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true, Multiline: true}.Marshal(m)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(a.out, "%s\n", b)
		return err
	}
	if a.output != "table" {
		return merry.Errorf("%w: --output: want table or json, not %q", ErrUsage, a.output)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	for _, r := range rows {
		cells := make([]string, len(r))
		for i, c := range r {
			cells[i] = fmt.Sprint(c)
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// printValue writes any value as JSON.
func (a *app) printValue(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// parseLabels reads key=value flags.
func parseLabels(flags []string) (map[string]string, error) {
	out := map[string]string{}
	for _, l := range flags {
		k, v, ok := strings.Cut(l, "=")
		if !ok {
			return nil, errors.Join(ErrUsage, fmt.Errorf("--label: %q: want key=value", l))
		}
		out[k] = v
	}
	return out, nil
}
