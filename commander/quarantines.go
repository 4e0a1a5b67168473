package commander

import (
	"context"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/quarantiner"
)

var _ = register(root, func(a *app) *cobra.Command {
	var lift string
	c := &cobra.Command{
		Use: "quarantines KEEPER", Short: "Show or lift what a fleet on a platform holds back because endpoints crashed", Args: exactArgs("KEEPER"),
		Long: `Show which requests and prompt parts a fleet on a platform holds back, because
endpoints crashed while they were in progress.

KEEPER is its internal address, IP:PORT. --lift NUMBER ends a quarantine, for
instance once a new version of the endpoints survives the part. Crashes from
before do not count any more: it is held back again after three others.`,
		RunE: func(c *cobra.Command, args []string) error {
			if lift != "" {
				return a.liftQuarantine(c.Context(), args[0], lift)
			}
			return a.quarantines(c.Context(), args[0])
		},
	}
	c.Flags().StringVar(&lift, "lift", "", "number of the quarantine to end")
	return c
})

// quarantineKinds names the kinds of subjects.
var quarantineKinds = map[quarantiner.Kind]string{
	quarantiner.KindRequest: "request", quarantiner.KindPart: "part", quarantiner.KindPartOfAny: "part",
}

// fetchQuarantines returns the quarantines that a keeper holds.
func fetchQuarantines(ctx context.Context, l *messenger.Link) ([]*messenger.QuarantineTold, error) {
	var r *messenger.FleetDocumentReply
	err := l.Call(ctx, fleetCallTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
		var err error
		r, err = c.Fetch(ctx, &messenger.FleetDocumentRequest{ListQuarantines: true})
		return err
	})
	return r.GetQuarantined(), err
}

func (a *app) quarantines(ctx context.Context, keeper string) error {
	l := messenger.NewLink(keeper)
	defer l.Close()
	list, err := fetchQuarantines(ctx, l)
	if err != nil {
		return err
	}
	var rows [][]any
	for _, q := range list {
		s := quarantiner.SubjectFromMessage(q.Request)
		workspace := s.Workspace
		if s.Kind == quarantiner.KindPartOfAny {
			workspace = "*"
		}
		left := (time.Duration(q.LeftMs) * time.Millisecond).Round(time.Second)
		rows = append(rows, []any{q.Number, quarantineKinds[s.Kind], s, workspace, left, q.Trials})
	}
	return a.print(&messenger.FleetDocumentReply{Quarantined: list}, "NUMBER KIND HASH WORKSPACE LEFT TRIALS", rows)
}

// liftQuarantine ends the quarantine with a number.
func (a *app) liftQuarantine(ctx context.Context, keeper, number string) error {
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return merry.Errorf("want the number of a quarantine, not %q", number)
	}
	l := messenger.NewLink(keeper)
	defer l.Close()
	list, err := fetchQuarantines(ctx, l)
	if err != nil {
		return err
	}
	for _, q := range list {
		if q.Number == n {
			return releaseSubject(ctx, l, q.Request)
		}
	}
	return merry.Errorf("no quarantine has number %d", n)
}

// releaseSubject has the fleet let a subject go.
func releaseSubject(ctx context.Context, l *messenger.Link, subject *messenger.Content) error {
	change := &messenger.QuarantineChange{Requests: []*messenger.Content{subject}}
	return l.Call(ctx, fleetCallTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
		r, err := c.Order(ctx, &messenger.OrderRequest{Change: &messenger.FleetChange{Body: &messenger.FleetChange_Quarantine{Quarantine: change}}})
		if err == nil && !r.Done {
			return merry.New("no majority of the keepers")
		}
		return err
	})
}
