package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
)

const rewatchAfter = 200 * time.Millisecond

// follow keeps the snapshot at the keeper's version until ctx ends.
func (r *Router) follow(ctx context.Context) {
	book := configurer.NewBook()
	for ctx.Err() == nil {
		if err := r.followOnce(ctx, book); err != nil && ctx.Err() == nil {
			r.log.Debug("configuration stream ended", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(rewatchAfter):
		}
	}
}

func (r *Router) followOnce(ctx context.Context, book *configurer.Book) error {
	w, err := r.config.Watch(ctx, &messenger.WatchRequest{Node: r.self.Name(), Zone: r.self.Zone(), Version: book.Version()})
	if err != nil {
		return err
	}
	for {
		u, err := w.Recv()
		if err != nil {
			return err
		}
		r.take(ctx, book, u)
	}
}

// take applies an update. A version below the one served is passed over: a
// keeper that restarted from an old disk must not take the router back.
func (r *Router) take(ctx context.Context, book *configurer.Book, u *messenger.Update) {
	if u.Version >= book.Version() && u.BaseVersion == book.Version() {
		for _, c := range u.Changes {
			book.Apply(c)
		}
		r.snapshot.Store(configurer.Compile(book.Configuration()))
		if r.life.Is(stateStarting) {
			_ = r.life.Event(ctx, eventReady)
		}
	}
	_, _ = r.config.ReportInForce(ctx, &messenger.InForceReport{Node: r.self.Name(), Zone: r.self.Zone(), Version: book.Version()})
}
