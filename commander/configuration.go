package commander

import (
	"context"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// readConfiguration returns the configuration that a majority of the keepers confirms. If there is no
// majority, it returns the copy of one keeper and prints a warning.
func (a *app) readConfiguration(ctx context.Context) (*messenger.Configuration, error) {
	s, err := a.load()
	if err != nil {
		return nil, err
	}
	out, err := a.readOnce(ctx, s, true)
	if !retryable(err) {
		return out.GetConfiguration(), refusal(err)
	}
	if out, err = a.readOnce(ctx, s, false); err != nil {
		return nil, refusal(err)
	}
	a.warn("no majority of keepers answers; this copy was last confirmed %s ago", showAge(out.AgeMs))
	return out.Configuration, nil
}

// readOnce queries each keeper once, within the timeout of the command.
func (a *app) readOnce(ctx context.Context, s *loader.Settings, confirmed bool) (*messenger.ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	var out *messenger.ReadReply
	err := queryEachKeeper(ctx, s, func(ctx context.Context, k *client) error {
		var err error
		out, err = k.config().Read(ctx, &messenger.ReadRequest{Confirmed: confirmed})
		return err
	})
	return out, err
}
