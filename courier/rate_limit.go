package courier

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/warmer"
)

const (
	// minLimitedRate is the minimum rate, in requests per second, for the owners of
	// a rate limited endpoint combined. Without requests, no response could report
	// that the limit was removed.
	minLimitedRate = 0.2
	// rateLimitPollInterval is the mean interval at which a router that does not own a rate
	// limited endpoint queries one of its owners for the limit. It grows with the number of
	// routers above maxUnpacedRouters, by a factor of up to maxRateLimitPollFactor.
	rateLimitPollInterval  = time.Second
	maxRateLimitPollFactor = 16
	rateLimitPollTimeout   = time.Second
)

// rateLimitPolls is the polling state by endpoint.
type rateLimitPolls map[enroller.Incarnation]rateLimitPoll

type rateLimitPoll struct {
	next time.Time
	// count selects the owner to poll, in rotation.
	count int
}

// applyRateLimit sets this router's share of an endpoint's rate limit.
func (w *warmup) applyRateLimit(now time.Time, e *predictor.Endpoint) {
	l := e.Warmup().RateLimit()
	if !l.Limited {
		return
	}
	owners, share := w.splitRateLimit(l)
	e.Warmup().SetRateLimitShare(now, share, w.ownedUntil(now, e, owners))
}

// splitRateLimit returns how many owners a rate limited endpoint has, and the share of each.
func (w *warmup) splitRateLimit(l warmer.RateLimit) (owners int, s warmer.Share) {
	limit := w.rateLimit
	limit.PerSecond = l.PerSecond
	return limit.Split()
}

// pollRateLimits queries the owners of rate limited endpoints for the current limits, if
// this router sends no requests there whose responses would report them.
func (f *fleetView) pollRateLimits(ctx context.Context) {
	if !f.rateLimited.Load() {
		return
	}
	now := time.Now()
	byOwner := map[string][]string{}
	for i, e := range f.endpoints {
		l := e.Warmup().RateLimit()
		if !l.Limited {
			delete(f.rateLimitPolls, i)
			continue
		}
		if owner := f.ownerToPoll(now, e, l); owner != "" {
			byOwner[owner] = append(byOwner[owner], e.Name())
		}
	}
	for i := range f.rateLimitPolls {
		if f.endpoints[i] == nil {
			delete(f.rateLimitPolls, i)
		}
	}
	for owner, names := range byOwner {
		if link := f.routerLink(owner); link != nil {
			go f.pollOwner(ctx, link, names)
		}
	}
}

// ownerToPoll returns the address of the owner to query about an endpoint, in rotation, or
// "" if no query is due.
func (f *fleetView) ownerToPoll(now time.Time, e *predictor.Endpoint, l warmer.RateLimit) string {
	owners, _ := f.warmup.splitRateLimit(l)
	if f.warmup.members.IsOwner(e.Name(), e.Beat().Zone, owners) {
		return ""
	}
	p, known := f.rateLimitPolls[e.Beat().Incarnation]
	if known && now.Before(p.next) {
		return ""
	}
	interval := f.paced(rateLimitPollInterval, maxRateLimitPollFactor)
	p.next = now.Add(interval/2 + rand.N(interval))
	p.count++
	f.rateLimitPolls[e.Beat().Incarnation] = p
	list := f.warmup.members.OtherOwners(e.Name(), e.Beat().Zone, owners)
	if !known || len(list) == 0 {
		return ""
	}
	return list[p.count%len(list)]
}

// routerLink returns the link to another router, or nil if it is unknown.
func (f *fleetView) routerLink(address string) *messenger.Link {
	for _, l := range f.allPeers() {
		if l.Address() == address {
			return l
		}
	}
	return nil
}

// pollOwner queries an owner for the rate limits of endpoints and applies its reply.
func (f *fleetView) pollOwner(ctx context.Context, l *messenger.Link, names []string) {
	sentAt := time.Now()
	r, err := l.RateLimits(ctx, rateLimitPollTimeout, &messenger.RateLimitsRequest{Endpoints: names})
	if err != nil {
		f.options.Log.Info("rate limit query failed", zap.String("router", l.Address()), zap.Error(err))
		return
	}
	now := time.Now()
	for _, x := range r.Limits {
		e := f.table.Endpoint(x.Endpoint)
		if e == nil {
			continue
		}
		limit := warmer.RateLimit{Limited: x.Limited, PerSecond: x.PerSecond}
		// A lower bound on the send time, and an upper bound on the receive time.
		reportSentAt := sentAt.Add(-time.Duration(x.SentAgeMs) * time.Millisecond)
		reportReceivedAt := now.Add(-time.Duration(x.ReceivedAgeMs) * time.Millisecond)
		if e.Warmup().ObserveRateLimit(limit, reportSentAt, reportReceivedAt) {
			f.rateLimitChanged(e, limit)
		}
	}
}

// rateLimitChanged logs a new rate limit, and enables the polling of owners.
func (f *fleetView) rateLimitChanged(e *predictor.Endpoint, l warmer.RateLimit) {
	f.rateLimited.Store(true)
	f.options.Log.Info("endpoint rate limit changed", zap.String("endpoint", e.Name()), zap.String("service", e.Beat().Service),
		zap.Bool("limited", l.Limited), zap.Float64("per_second", l.PerSecond))
}

// peerServer implements the FleetRouter service for other routers.
type peerServer struct {
	*rights
	table *predictor.Table
	// relays is nil if relaying is switched off.
	relays *relays
}

// Relay relays a connection to an endpoint.
func (s *peerServer) Relay(stream messenger.FleetRouter_RelayServer) error {
	if s.relays == nil {
		return status.Error(codes.Unimplemented, "relaying is switched off")
	}
	return s.relays.server.Relay(stream)
}

// RateLimits returns the rate limits in effect at this router.
func (s *peerServer) RateLimits(_ context.Context, q *messenger.RateLimitsRequest) (*messenger.RateLimitsReply, error) {
	now, out := time.Now(), &messenger.RateLimitsReply{}
	for _, name := range q.Endpoints {
		e := s.table.Endpoint(name)
		if e == nil {
			continue
		}
		l, sentAt, receivedAt := e.Warmup().LastRateLimit()
		if sentAt.IsZero() {
			continue
		}
		out.Limits = append(out.Limits, &messenger.EndpointRateLimit{
			Endpoint: name, Limited: l.Limited, PerSecond: l.PerSecond, SentAgeMs: now.Sub(sentAt).Milliseconds() + 1,
			ReceivedAgeMs: now.Sub(receivedAt).Milliseconds(),
		})
	}
	return out, nil
}
