package commander

import (
	"context"
	"fmt"
	"os/user"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	maxChangeID = 200
	// maxHistoryEntries is the maximum number of changes that a keeper retains in full.
	maxHistoryEntries = 2048
)

// change is a change of the configuration. It is sent with the same id until its outcome is known.
type change struct {
	id string
	// maybeSent reports whether an earlier attempt with this id may have been accepted.
	maybeSent bool
	// base is the version that the edits are based on; 0 stands for the current one.
	base uint64
	// edits returns the edits for the current configuration.
	edits func(*messenger.Configuration) ([]*messenger.Edit, error)
}

func (c *change) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.id, "change-id", "", "id of a command that is repeated after a lost answer: it counts once")
}

// prepare validates the id of the change, or generates one.
func (c *change) prepare() error {
	c.maybeSent = c.id != ""
	if len(c.id) > maxChangeID {
		return merry.Errorf("%w: --change-id: longer than %d characters", ErrUsage, maxChangeID)
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	return nil
}

// propose sends the change to one keeper after the other until its outcome is known.
func (a *app) propose(ctx context.Context, c *change) (*messenger.ProposeReply, error) {
	if err := c.prepare(); err != nil {
		return nil, err
	}
	return a.proposePrepared(ctx, c)
}

// proposePrepared is propose for a change that has its id already.
func (a *app) proposePrepared(ctx context.Context, c *change) (*messenger.ProposeReply, error) {
	return queryKeeper(ctx, a, func(ctx context.Context, k *client) (*messenger.ProposeReply, error) { return k.propose(ctx, c) })
}

func (k *client) propose(ctx context.Context, c *change) (*messenger.ProposeReply, error) {
	if c.maybeSent {
		// The edits may be refused because they are in force already. A repeated command must get
		// the result of the first.
		version, err := k.acceptedVersion(ctx, c.id)
		if err != nil {
			return nil, err
		}
		if version > 0 {
			return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED, Version: version}, nil
		}
	}
	now, err := k.config().Read(ctx, &messenger.ReadRequest{Confirmed: true})
	if err != nil {
		return nil, err
	}
	edits, err := c.edits(now.Configuration)
	if err != nil {
		return nil, err
	}
	base := c.base
	if base == 0 {
		base = now.Configuration.Version
	}
	c.maybeSent = true
	out, err := k.config().Propose(ctx, &messenger.ProposeRequest{Change: &messenger.Change{
		ChangeId: c.id, BaseVersion: base, Edits: edits, Author: author(),
	}})
	if status.Code(err) == codes.Aborted {
		return nil, merry.Errorf("%w: %s", errNotAnswered, status.Convert(err).Message())
	}
	if outcomeUncertain(err) {
		return nil, c.unknown(status.Convert(err).Message())
	}
	if err != nil {
		return nil, err
	}
	return out, c.outcome(out)
}

// author returns the name of the user, for the history of changes.
func author() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// acceptedVersion returns the version with which the change of an id was accepted, or 0 if it is not
// among the changes that the keeper retains in full.
func (k *client) acceptedVersion(ctx context.Context, id string) (uint64, error) {
	entries, err := k.lastChanges(ctx, maxHistoryEntries)
	for _, e := range entries {
		if e.Change.ChangeId == id {
			return e.Version, nil
		}
	}
	return 0, err
}

// lastChanges returns the latest accepted changes, at most limit of them. A keeper retains a bounded
// number and size of them, and rejects requests that start earlier.
func (k *client) lastChanges(ctx context.Context, limit uint64) ([]*messenger.HistoryEntry, error) {
	now, err := k.config().Read(ctx, &messenger.ReadRequest{})
	if err != nil {
		return nil, err
	}
	version := now.Configuration.Version
	for back := min(limit, version); ; back /= 2 {
		h, err := k.config().History(ctx, &messenger.HistoryRequest{AfterVersion: version - back})
		if status.Code(err) == codes.OutOfRange && back > 0 {
			continue
		}
		return h.GetEntries(), err
	}
}

func (c *change) unknown(detail string) error {
	return merry.Errorf("%w: the change may be in force or not (%s); repeat the same command with --change-id %s", ErrOutcomeUnknown, detail, c.id)
}

func (c *change) outcome(r *messenger.ProposeReply) error {
	switch r.Outcome {
	case messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED:
		return nil
	case messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT:
		return merry.Errorf("%w: the configuration is at version %d now%s; look at it with `config history` and try again", ErrConflict, r.Version, since(r.Since))
	case messenger.ChangeOutcome_CHANGE_OUTCOME_REFUSED:
		return merry.Errorf("%w:\n  %s", ErrRefused, strings.Join(r.Faults, "\n  "))
	default:
		return c.unknown("no majority of keepers answered")
	}
}

func since(changes []*messenger.Change) string {
	if len(changes) == 0 {
		return ""
	}
	last := changes[len(changes)-1]
	return fmt.Sprintf(", last changed by %s: %s", orDash(last.Author), showEdits(last.Edits))
}

// accepted prints the result of an accepted change.
func (a *app) accepted(c *change, r *messenger.ProposeReply) error {
	if a.output == outputJSON {
		return a.printValue(map[string]any{"change_id": c.id, "version": r.Version})
	}
	_, err := fmt.Fprintf(a.out, "accepted as version %d\n", r.Version)
	return err
}

// proposeEdit proposes one edit and prints the result.
func (a *app) proposeEdit(ctx context.Context, c *change, e *messenger.Edit) error {
	c.edits = func(*messenger.Configuration) ([]*messenger.Edit, error) { return []*messenger.Edit{e}, nil }
	r, err := a.propose(ctx, c)
	if err != nil {
		return err
	}
	return a.accepted(c, r)
}

// showEdits describes edits, for tables.
func showEdits(edits []*messenger.Edit) string {
	var out []string
	for _, e := range edits {
		out = append(out, showEdit(e))
	}
	return strings.Join(out, ", ")
}

func showEdit(e *messenger.Edit) string {
	switch k := e.Kind.(type) {
	case *messenger.Edit_PutWorkspace:
		return "put workspace " + k.PutWorkspace.GetName()
	case *messenger.Edit_DeleteWorkspace:
		return "delete workspace " + k.DeleteWorkspace
	case *messenger.Edit_PutService:
		return "put service " + k.PutService.GetName()
	case *messenger.Edit_DeleteService:
		return "delete service " + k.DeleteService
	case *messenger.Edit_PutStatement:
		return "put statement " + k.PutStatement.GetName()
	case *messenger.Edit_DeleteStatement:
		return "delete statement " + k.DeleteStatement
	case *messenger.Edit_PutMember:
		return "put member " + k.PutMember.GetName()
	case *messenger.Edit_DeleteMember:
		return "delete member " + k.DeleteMember
	default:
		return "unknown edit"
	}
}
