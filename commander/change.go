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
	// historyMost is how many changes a keeper keeps whole, at most.
	historyMost = 2048
)

// change is one change of the configuration, sent under one id until its
// outcome is known.
type change struct {
	id string
	// Sent says that a try under the id may have been accepted before.
	sent bool
	// Base is the version that the edits are based on; 0 takes the current.
	base uint64
	// Edits makes the edits from the current configuration.
	edits func(*messenger.Configuration) ([]*messenger.Edit, error)
}

func (c *change) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.id, "change-id", "", "id of a command that is repeated after a lost answer: it counts once")
}

// prepare checks the change's id, or gives it one.
func (c *change) prepare() error {
	c.sent = c.id != ""
	if len(c.id) > maxChangeID {
		return merry.Errorf("%w: --change-id: longer than %d characters", ErrUsage, maxChangeID)
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	return nil
}

// propose sends the change to one keeper after the other until its outcome is
// known.
func (a *app) propose(ctx context.Context, c *change) (*messenger.ProposeReply, error) {
	if err := c.prepare(); err != nil {
		return nil, err
	}
	return a.proposePrepared(ctx, c)
}

// proposePrepared is propose for a change whose id is settled already.
func (a *app) proposePrepared(ctx context.Context, c *change) (*messenger.ProposeReply, error) {
	return askKeeper(ctx, a, func(ctx context.Context, k *client) (*messenger.ProposeReply, error) { return k.propose(ctx, c) })
}

func (k *client) propose(ctx context.Context, c *change) (*messenger.ProposeReply, error) {
	if c.sent {
		// The edits below may be refused because they are in force already:
		// a resend must get its first answer.
		version, err := k.acceptedAs(ctx, c.id)
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
	c.sent = true
	out, err := k.config().Propose(ctx, &messenger.ProposeRequest{Change: &messenger.Change{
		ChangeId: c.id, BaseVersion: base, Edits: edits, Author: author(),
	}})
	if status.Code(err) == codes.Aborted {
		return nil, merry.Errorf("%w: %s", errNotAnswered, status.Convert(err).Message())
	}
	if lost(err) {
		return nil, c.unknown(status.Convert(err).Message())
	}
	if err != nil {
		return nil, err
	}
	return out, c.outcome(out)
}

// author names who makes a change, for the history.
func author() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// acceptedAs returns the version that a change id was accepted as, or 0. It
// looks as far back as the keeper keeps whole changes.
func (k *client) acceptedAs(ctx context.Context, id string) (uint64, error) {
	entries, err := k.lastChanges(ctx, historyMost)
	for _, e := range entries {
		if e.Change.ChangeId == id {
			return e.Version, nil
		}
	}
	return 0, err
}

// lastChanges returns the last accepted changes, at most as many as given. A
// keeper keeps a bounded number and bounded bytes of them, and refuses to
// begin before those.
func (k *client) lastChanges(ctx context.Context, most uint64) ([]*messenger.HistoryEntry, error) {
	now, err := k.config().Read(ctx, &messenger.ReadRequest{})
	if err != nil {
		return nil, err
	}
	version := now.Configuration.Version
	for back := min(most, version); ; back /= 2 {
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

// accepted prints the answer to a change.
func (a *app) accepted(c *change, r *messenger.ProposeReply) error {
	if a.output == outputJSON {
		return a.printValue(map[string]any{"change_id": c.id, "version": r.Version})
	}
	_, err := fmt.Fprintf(a.out, "accepted as version %d\n", r.Version)
	return err
}

// proposeEdit proposes one edit and prints the answer.
func (a *app) proposeEdit(ctx context.Context, c *change, e *messenger.Edit) error {
	c.edits = func(*messenger.Configuration) ([]*messenger.Edit, error) { return []*messenger.Edit{e}, nil }
	r, err := a.propose(ctx, c)
	if err != nil {
		return err
	}
	return a.accepted(c, r)
}

// showEdits names what edits do, for tables.
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
