package steward

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/publisher"
)

// ErrNotNow says that an order or a question can't be answered for sure here
// and now; it may be sent again, to any keeper.
var ErrNotNow = merry.Sentinel("no majority of keepers answers")

// leaderWait is the pause before an order looks for a leader again.
const leaderWait = 50 * time.Millisecond

// Decoder reads a configuration as operators send it.
type Decoder func([]byte) (*publisher.Document, error)

// Control takes the orders of operators and the heartbeats of endpoints.
type Control struct {
	s        *Steward
	decode   Decoder
	services atomic.Pointer[services]
	// Refusals logs what is refused, so many lines a second at most: a program
	// that sends nothing else must not fill the log.
	refusals *zap.Logger
}

// refusalsLogged bounds the lines a second on refused heartbeats.
const refusalsLogged = 5

// NewControl returns the steward's control, which reads documents with decode.
func NewControl(s *Steward, decode Decoder) *Control {
	sampled := s.log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, refusalsLogged, 0)
	}))
	return &Control{s: s, decode: decode, refusals: sampled}
}

// Publish returns nil once the document, or one with a higher number, is on
// the disks of a majority.
func (c *Control) Publish(ctx context.Context, content []byte) error {
	d, err := c.decode(content)
	if err != nil {
		return err
	}
	if err := d.Check(); err != nil {
		c.s.log.Info("configuration refused", zap.Uint64("number", d.Number), zap.Error(err))
		return err
	}
	if d.Number <= c.s.view.Load().document.Number() {
		return nil
	}
	packed, err := publisher.Pack(content)
	if err != nil {
		return err
	}
	change := &messenger.DocumentChange{Number: d.Number, Content: packed}
	for _, w := range d.Workspaces {
		if w.Prepaid != nil {
			change.Totals = append(change.Totals, &messenger.PrepaidTotal{Workspace: w.Name, Tokens: *w.Prepaid})
		}
	}
	began := time.Now()
	err = c.s.mustOrder(ctx, &messenger.FleetChange{Body: &messenger.FleetChange_Document{Document: change}})
	c.s.log.Info("configuration order", zap.Uint64("number", d.Number), zap.Duration("took", time.Since(began)), zap.Error(err))
	return err
}

// Document returns the newest document, confirmed by a majority after the call
// began.
func (c *Control) Document(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	i, err := c.s.confirm(ctx)
	if err != nil {
		return nil, err
	}
	if err := c.s.loop.Reached(ctx, i); err != nil {
		return nil, merry.Errorf("%w: %s", ErrNotNow, err.Error())
	}
	d := c.s.view.Load().document
	if d.Number() == 0 {
		return nil, merry.Errorf("%w: no configuration yet", ErrNotNow)
	}
	return publisher.Unpack(d.Content())
}

// Beat takes a heartbeat in. One that says that the endpoint leaves is
// answered only once a majority holds that.
func (c *Control) Beat(ctx context.Context, b enroller.Beat) (string, error) {
	beats.Inc()
	if err := c.take(b); err != nil {
		c.Refused(b.ID, err)
		return "", err
	}
	if b.Leaving {
		return "", c.Leave(ctx, b.Incarnation)
	}
	return "", nil
}

// take takes a heartbeat in, or returns ErrUnusable for one that some other
// program must have written: taken in, it would put an endpoint in service that
// is none, or another address behind an id that is in service.
func (c *Control) take(b enroller.Beat) error {
	if !c.names(b.Service) {
		return merry.Errorf("%w: no service %q", enroller.ErrUnusable, b.Service)
	}
	if !c.s.roster.beat(time.Now(), b) {
		return merry.Errorf("%w: it disagrees with what %s told before", enroller.ErrUnusable, b.ID)
	}
	return nil
}

// services are the names that a document gives to services; immutable.
type services struct {
	number uint64
	names  map[string]bool
}

// names reports whether the document in force has a service. Before the first
// document every name may be one.
func (c *Control) names(service string) bool {
	d := c.s.view.Load().document
	if d.Number() == 0 {
		return true
	}
	known := c.services.Load()
	if known == nil || known.number != d.Number() {
		known = c.readServices(d)
		c.services.Store(known)
	}
	return known.names == nil || known.names[service]
}

func (c *Control) readServices(d *governor.Document) *services {
	out := &services{number: d.Number()}
	b, err := publisher.Unpack(d.Content())
	if err != nil {
		c.s.log.Error("services unknown: configuration is unreadable", zap.Uint64("number", d.Number()), zap.Error(err))
		return out
	}
	decoded, err := c.decode(b)
	if err != nil {
		c.s.log.Error("services unknown: configuration is unreadable", zap.Uint64("number", d.Number()), zap.Error(err))
		return out
	}
	out.names = map[string]bool{}
	for _, s := range decoded.Services {
		out.names[s.Name] = true
	}
	return out
}

// Refused notes a heartbeat that was not taken in.
func (c *Control) Refused(endpoint string, why error) {
	beatsRefused.Inc()
	c.refusals.Warn("heartbeat refused", zap.String("endpoint", endpoint), zap.Error(why))
}

// Leave returns nil once a majority holds that the endpoint takes no new work.
func (c *Control) Leave(ctx context.Context, i enroller.Incarnation) error {
	i = c.s.roster.resolve(i)
	if slices.Contains(c.s.view.Load().left, i) {
		return nil
	}
	err := c.s.mustOrder(ctx, &messenger.FleetChange{Body: &messenger.FleetChange_Leave{Leave: i.Leave()}})
	c.s.log.Info("endpoint leaves", zap.Stringer("endpoint", i), zap.Error(err))
	return err
}

func (s *Steward) mustOrder(ctx context.Context, change *messenger.FleetChange) error {
	began := time.Now()
	r, err := s.order(ctx, change)
	orders.Update(time.Since(began).Seconds())
	if err != nil {
		refusals.Inc()
		return merry.Errorf("%w: %s", ErrNotNow, err.Error())
	}
	if !r.Done {
		return ErrNotNow
	}
	return nil
}

// order commits a change here or at the leader, looking for one until the
// sender would give up.
func (s *Steward) order(ctx context.Context, change *messenger.FleetChange) (*messenger.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	arrived := time.Now()
	for {
		r, err := s.orderOnce(ctx, aged(change, time.Since(arrived)))
		if err == nil && r.Done {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return nil, merry.Errorf("%w: in time", ErrNotNow)
		case <-time.After(leaderWait):
		}
	}
}

func (s *Steward) orderOnce(ctx context.Context, change *messenger.FleetChange) (*messenger.OrderReply, error) {
	state := s.loop.State()
	if state.Leads() {
		return s.orderHere(ctx, change)
	}
	x := s.members.member(state.Leader())
	if x == nil {
		return &messenger.OrderReply{}, nil
	}
	if r := change.GetRights(); r != nil {
		stamp(r, time.Now(), func(m *messenger.RightsMoment, at int64) { m.KeeperMs = at })
	}
	var r *messenger.OrderReply
	err := x.link.Call(ctx, orderTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
		var err error
		r, err = c.Order(ctx, &messenger.OrderRequest{Change: change, Passed: true})
		return err
	})
	return r, err
}

// orderHere commits a change as the leader. A change may be committed twice
// when its first outcome was lost; each kind is made so that this does no harm.
func (s *Steward) orderHere(ctx context.Context, change *messenger.FleetChange) (*messenger.OrderReply, error) {
	if r := change.GetRights(); r != nil {
		if !s.loop.State().Leads() {
			return &messenger.OrderReply{Leader: s.loop.State().Leader()}, nil
		}
		stamp(r, time.Now(), func(m *messenger.RightsMoment, at int64) { m.LeaderMs = at })
		grants, err := s.batcher.claim(ctx, r)
		if err != nil {
			return nil, err
		}
		return &messenger.OrderReply{Done: true, Grants: grants}, nil
	}
	if l := change.GetLeave(); l != nil {
		// The keeper that was asked may have started just now and know nothing.
		change = &messenger.FleetChange{Body: &messenger.FleetChange_Leave{Leave: s.roster.resolve(enroller.LeaveOf(l)).Leave()}}
	}
	b, err := proto.Marshal(change)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	_, err = s.loop.Propose(ctx, b)
	if errors.Is(err, committer.ErrNotLeader) {
		return &messenger.OrderReply{Leader: s.loop.State().Leader()}, nil
	}
	if err != nil {
		return nil, err
	}
	return &messenger.OrderReply{Done: true}, nil
}

// confirm returns an index that covers all acknowledged before the call.
func (s *Steward) confirm(ctx context.Context) (uint64, error) {
	for {
		state := s.loop.State()
		if state.Leads() {
			if i, err := s.loop.Confirm(ctx); err == nil {
				return i, nil
			}
		} else if x := s.members.member(state.Leader()); x != nil {
			var r *messenger.ConfirmReply
			err := x.link.Call(ctx, orderTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
				var err error
				r, err = c.Confirm(ctx, &messenger.ConfirmRequest{})
				return err
			})
			if err == nil && r.Done {
				return r.Index, nil
			}
		}
		select {
		case <-ctx.Done():
			return 0, ErrNotNow
		case <-time.After(leaderWait):
		}
	}
}

// witnessTimeout bounds the way of a claim through another keeper; without it
// the claim lacks that keeper's clock and is as good otherwise.
const witnessTimeout = 150 * time.Millisecond

// claim commits a router's claim. One that came to the leader itself goes
// through another keeper first, which puts its own time of day beside the
// leader's.
func (s *Steward) claim(ctx context.Context, change *messenger.FleetChange) (*messenger.OrderReply, error) {
	claims.Inc()
	names, arrived := s.members.names(), time.Now()
	if s.loop.State().Leads() && len(names) > 0 {
		x := s.members.member(names[rand.IntN(len(names))])
		var r *messenger.OrderReply
		err := x.link.Call(ctx, witnessTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
			var err error
			r, err = c.Order(ctx, &messenger.OrderRequest{Change: change})
			return err
		})
		if err == nil && r.Done {
			return r, nil
		}
	}
	return s.order(ctx, aged(change, time.Since(arrived)))
}

// aged returns a router's claim that was held here for a time. The clocks of
// keepers are read when a claim reaches them, and count only where they agree with the
// router's.
func aged(change *messenger.FleetChange, held time.Duration) *messenger.FleetChange {
	if change.GetRights() == nil || held < time.Millisecond {
		return change
	}
	out := proto.Clone(change).(*messenger.FleetChange)
	r := out.GetRights()
	for _, m := range []*messenger.RightsMoment{r.Sent, r.Started} {
		if m != nil {
			m.AgeMs += held.Milliseconds()
		}
	}
	return out
}

// stamp puts this keeper's time of day beside the router's.
func stamp(r *messenger.RightsChange, now time.Time, set func(*messenger.RightsMoment, int64)) {
	for _, m := range []*messenger.RightsMoment{r.Sent, r.Started} {
		if m != nil {
			set(m, now.UnixMilli()-m.AgeMs)
		}
	}
}
