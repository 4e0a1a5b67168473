package steward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/publisher"
	"rattanhoist.example/rattanhoist/reporter"
)

// ErrNoMajority says that a change could not be committed, or a read not confirmed, in
// time. The caller may retry at any keeper.
var ErrNoMajority = merry.Sentinel("no majority of keepers answers")

// leaderRetryPause is the pause before a change is tried again, by then perhaps at another
// leader.
const leaderRetryPause = 50 * time.Millisecond

// Decoder parses a configuration document in the format that operators send.
type Decoder func([]byte) (*publisher.Document, error)

// Control handles the calls of operators and the heartbeats of endpoints.
type Control struct {
	keeper       *Keeper
	decode       Decoder
	serviceNames atomic.Pointer[serviceNames]
	// decoding is held while an operator's document is parsed, which takes several times its bytes.
	decoding sync.Mutex
	// refusalLog logs refused heartbeats, at most maxRefusalLogLines a second: a program
	// that sends nothing else must not fill the log.
	refusalLog *zap.Logger
}

const (
	// maxRefusalLogLines bounds the log lines a second about refused heartbeats.
	maxRefusalLogLines = 5
	// maxStartTimeLead is by how much an endpoint's clock may be ahead of a keeper's.
	maxStartTimeLead = time.Hour
)

// NewControl returns the control of a keeper; decode parses configuration documents.
func NewControl(s *Keeper, decode Decoder) *Control {
	return &Control{keeper: s, decode: decode, refusalLog: reporter.Sampled(s.log, maxRefusalLogLines)}
}

// Publish returns nil once the document, or one with a higher number, is on the disks of a
// majority.
func (c *Control) Publish(ctx context.Context, content []byte) error {
	d, err := c.decodeDocument(ctx, content)
	if err != nil {
		return err
	}
	if d.Number <= c.keeper.committedState.Load().document.Number() {
		return nil
	}
	packed, err := publisher.Compress(content)
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
	err = c.keeper.commitChange(ctx, &messenger.FleetChange{Body: &messenger.FleetChange_Document{Document: change}})
	c.keeper.log.Info("configuration order", zap.Uint64("number", d.Number), zap.Duration("took", time.Since(began)), zap.Error(err))
	return err
}

// decodeDocument parses and checks one document at a time, unless its operator has gone meanwhile.
func (c *Control) decodeDocument(ctx context.Context, content []byte) (*publisher.Document, error) {
	c.decoding.Lock()
	defer c.decoding.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	d, err := c.decode(content)
	if err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		c.keeper.log.Info("configuration refused", zap.Uint64("number", d.Number), zap.Error(err))
		return nil, err
	}
	return d, nil
}

// Document returns the newest document, confirmed by a majority after the call began.
func (c *Control) Document(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	i, err := c.keeper.readIndex(ctx)
	if err != nil {
		return nil, err
	}
	if err := c.keeper.loop.WaitApplied(ctx, i); err != nil {
		return nil, merry.Errorf("%w: %s", ErrNoMajority, err.Error())
	}
	d := c.keeper.committedState.Load().document
	if d.Number() == 0 {
		return nil, merry.Errorf("%w: no configuration yet", ErrNoMajority)
	}
	return publisher.Decompress(d.Content())
}

// Heartbeat records a heartbeat. If the endpoint is leaving, it returns only once a
// majority has stored the leave.
func (c *Control) Heartbeat(ctx context.Context, b enroller.Heartbeat) (string, error) {
	heartbeats.Inc()
	if err := c.acceptHeartbeat(b); err != nil {
		c.HeartbeatRefused(b.ID, err)
		return "", err
	}
	if b.Leaving {
		return "", c.Leave(ctx, b.Incarnation)
	}
	return "", nil
}

// acceptHeartbeat records a heartbeat, or returns ErrInvalidHeartbeat if a program other than the endpoint must
// have sent it, and ErrTableFull if there are too many endpoints. Accepting such a heartbeat would put a
// nonexistent endpoint in service, change the address behind an id that is in service, or leave an endpoint that
// no message between processes can hold.
func (c *Control) acceptHeartbeat(b enroller.Heartbeat) error {
	if err := b.Check(); err != nil {
		return err
	}
	if err := checkStartTime(b.Incarnation); err != nil {
		return err
	}
	if !c.hasService(b.Service) {
		return merry.Errorf("%w: no service %q", enroller.ErrInvalidHeartbeat, b.Service)
	}
	return c.keeper.registry.observeHeartbeat(time.Now(), b)
}

// checkStartTime returns ErrInvalidHeartbeat if an endpoint states a start time so far in the future that
// no clock explains it. It would end the incarnations that start until then.
func checkStartTime(i enroller.Incarnation) error {
	if i.BornMS > time.Now().Add(maxStartTimeLead).UnixMilli() {
		return merry.Errorf("%w: %s starts in the future", enroller.ErrInvalidHeartbeat, i)
	}
	return nil
}

// serviceNames holds the names of a document's services; immutable.
type serviceNames struct {
	number uint64
	names  map[string]bool
}

// hasService reports whether the current document has a service of this name. Before the
// first document every name counts as valid.
func (c *Control) hasService(service string) bool {
	d := c.keeper.committedState.Load().document
	if d.Number() == 0 {
		return true
	}
	known := c.serviceNames.Load()
	if known == nil || known.number != d.Number() {
		known = c.loadServiceNames(d)
		c.serviceNames.Store(known)
	}
	return known.names == nil || known.names[service]
}

// loadServiceNames decodes a document and returns the names of its services, without names
// if it cannot be decoded.
func (c *Control) loadServiceNames(d *governor.Document) *serviceNames {
	out := &serviceNames{number: d.Number()}
	b, err := publisher.Decompress(d.Content())
	if err != nil {
		c.keeper.log.Error("cannot read the service names of the configuration", zap.Uint64("number", d.Number()), zap.Error(err))
		return out
	}
	decoded, err := c.decode(b)
	if err != nil {
		c.keeper.log.Error("cannot read the service names of the configuration", zap.Uint64("number", d.Number()), zap.Error(err))
		return out
	}
	out.names = map[string]bool{}
	for _, s := range decoded.Services {
		out.names[s.Name] = true
	}
	return out
}

// HeartbeatRefused counts and logs a heartbeat that was refused.
func (c *Control) HeartbeatRefused(endpoint string, why error) {
	heartbeatsRefused.Inc()
	c.refusalLog.Warn("heartbeat refused", zap.String("endpoint", endpoint), zap.Error(why))
}

// Leave returns nil once a majority has stored that the endpoint takes no new work, and the routers
// that sync with this keeper have been told, as far as they do so in time.
func (c *Control) Leave(ctx context.Context, i enroller.Incarnation) error {
	arrived := time.Now()
	if err := errors.Join(i.Check(), checkStartTime(i)); err != nil {
		c.HeartbeatRefused(i.ID, err)
		return err
	}
	i = c.keeper.registry.resolveIncarnation(i)
	if c.keeper.registry.hasLeft(i) {
		// A repeated call. The first one may have been committed just now.
		return c.keeper.awaitLeaveNotified(ctx, i, arrived)
	}
	err := c.keeper.commitChange(ctx, &messenger.FleetChange{Body: &messenger.FleetChange_Leave{Leave: i.LeaveChange()}})
	if err == nil {
		err = c.keeper.awaitLeaveNotified(ctx, i, arrived)
	}
	c.keeper.log.Info("endpoint leaves", zap.Stringer("endpoint", i), zap.Duration("took", time.Since(arrived)), zap.Error(err))
	return err
}

// commitChange commits a change, counts the result, and returns ErrNoMajority if it fails.
func (s *Keeper) commitChange(ctx context.Context, change *messenger.FleetChange) error {
	began := time.Now()
	r, err := s.submitChange(ctx, change)
	changeDurations.Update(time.Since(began).Seconds())
	if err != nil {
		changesNotCommitted.Inc()
		return merry.Errorf("%w: %s", ErrNoMajority, err.Error())
	}
	if !r.Done {
		return ErrNoMajority
	}
	return nil
}

// submitChange commits a change here or at the leader, and retries until changeTimeout.
func (s *Keeper) submitChange(ctx context.Context, change *messenger.FleetChange) (*messenger.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	arrived := time.Now()
	for {
		r, err := s.trySubmit(ctx, withAddedAge(change, time.Since(arrived)))
		if err == nil && r.Done {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return nil, merry.Errorf("%w: in time", ErrNoMajority)
		case <-time.After(leaderRetryPause):
		}
	}
}

// trySubmit commits a change here if this keeper leads, and otherwise passes it to the
// known leader. Done is not set in the reply if neither leads.
func (s *Keeper) trySubmit(ctx context.Context, change *messenger.FleetChange) (*messenger.OrderReply, error) {
	state := s.loop.State()
	if state.IsLeader() {
		return s.commitAsLeader(ctx, change)
	}
	x := s.peers.get(state.Leader())
	if x == nil {
		return &messenger.OrderReply{}, nil
	}
	if r := change.GetRights(); r != nil {
		recordKeeperClock(r, time.Now(), func(m *messenger.RightsMoment, at int64) { m.KeeperMs = at })
	}
	var r *messenger.OrderReply
	err := x.link.Call(ctx, changeTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
		var err error
		r, err = c.Order(ctx, &messenger.OrderRequest{Change: change, Passed: true})
		return err
	})
	return r, err
}

// commitAsLeader commits a change if this keeper leads. A change may be committed twice
// when its first outcome was lost; applying any kind of change again does no harm.
func (s *Keeper) commitAsLeader(ctx context.Context, change *messenger.FleetChange) (*messenger.OrderReply, error) {
	if r := change.GetRights(); r != nil {
		if !s.loop.State().IsLeader() {
			return &messenger.OrderReply{Leader: s.loop.State().Leader()}, nil
		}
		recordKeeperClock(r, time.Now(), func(m *messenger.RightsMoment, at int64) { m.LeaderMs = at })
		grants, err := s.batcher.submit(ctx, r)
		if err != nil {
			return nil, err
		}
		return &messenger.OrderReply{Done: true, Grants: s.withClaimInterval(time.Now(), grants)}, nil
	}
	if l := change.GetLeave(); l != nil {
		// The keeper that received the call may have just started and not know the
		// incarnation.
		change = &messenger.FleetChange{Body: &messenger.FleetChange_Leave{Leave: s.registry.resolveIncarnation(enroller.IncarnationFromLeave(l)).LeaveChange()}}
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

// withClaimInterval adds the interval at which routers should send claims, if this keeper states
// one.
func (s *Keeper) withClaimInterval(now time.Time, grants *messenger.RightsGrants) *messenger.RightsGrants {
	if s.node.Features().PacedClaims {
		grants.ClaimIntervalMs = s.claimPace.step(now, s.loop.State().Term(), s.registry.routerCount()).Milliseconds()
	}
	return grants
}

// readIndex returns a log index that covers everything acknowledged before the call.
func (s *Keeper) readIndex(ctx context.Context) (uint64, error) {
	for {
		state := s.loop.State()
		if state.IsLeader() {
			if i, err := s.loop.ReadIndex(ctx); err == nil {
				return i, nil
			}
		} else if x := s.peers.get(state.Leader()); x != nil {
			var r *messenger.ConfirmReply
			err := x.link.Call(ctx, changeTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
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
			return 0, ErrNoMajority
		case <-time.After(leaderRetryPause):
		}
	}
}

// relayTimeout bounds the relay of a claim through another keeper. A claim that was not
// relayed lacks that keeper's clock reading and is otherwise as valid.
const relayTimeout = 150 * time.Millisecond

// submitClaim commits a router's claim. If this keeper leads, it relays the claim through
// another keeper first, which adds its own clock reading to the leader's.
func (s *Keeper) submitClaim(ctx context.Context, change *messenger.FleetChange) (*messenger.OrderReply, error) {
	rightsClaims.Inc()
	names, arrived := s.peers.names(), time.Now()
	if s.loop.State().IsLeader() && len(names) > 0 {
		x := s.peers.get(names[rand.IntN(len(names))])
		var r *messenger.OrderReply
		err := x.link.Call(ctx, relayTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
			var err error
			r, err = c.Order(ctx, &messenger.OrderRequest{Change: change})
			return err
		})
		if err == nil && r.Done {
			return r, nil
		}
	}
	return s.submitChange(ctx, withAddedAge(change, time.Since(arrived)))
}

// withAddedAge returns a router's claim with the time that it waited at this keeper added
// to its ages. Keepers read their clocks when a claim reaches them, and the reading counts
// only if it agrees with the router's clock.
func withAddedAge(change *messenger.FleetChange, waited time.Duration) *messenger.FleetChange {
	if change.GetRights() == nil || waited < time.Millisecond {
		return change
	}
	out := proto.Clone(change).(*messenger.FleetChange)
	r := out.GetRights()
	for _, m := range []*messenger.RightsMoment{r.Sent, r.Started} {
		if m != nil {
			m.AgeMs += waited.Milliseconds()
		}
	}
	return out
}

// recordKeeperClock stores this keeper's clock reading for the moments that a claim names,
// using set to choose the field.
func recordKeeperClock(r *messenger.RightsChange, now time.Time, set func(*messenger.RightsMoment, int64)) {
	for _, m := range []*messenger.RightsMoment{r.Sent, r.Started} {
		if m != nil {
			set(m, now.UnixMilli()-m.AgeMs)
		}
	}
}
