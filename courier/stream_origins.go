package courier

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/reporter"
	"rattanhoist.example/rattanhoist/resumer"
)

const (
	// maxStreamDatagram is the maximum size of a message on streams, without proof and addresses.
	// Routers of earlier versions receive up to 512 bytes.
	maxStreamDatagram = 400
	// originsTickInterval is how often origins that are due are sent again.
	originsTickInterval = 250 * time.Millisecond
	// searchPollInterval is how often a search looks at the clock.
	searchPollInterval = 20 * time.Millisecond
	// maxSearches bounds the searches that go on at a time.
	maxSearches = 512
	// handOverSends is how often a stopping router sends what it keeps, and handOverInterval the time
	// between two.
	handOverSends    = 2
	handOverInterval = 50 * time.Millisecond
	// lossNoticeDelay is how long keepers take to notice that a router has ended, and to tell.
	lossNoticeDelay = 5 * time.Second
	// maxTickGap is the time between two ticks from which this router counts as having stood still.
	maxTickGap = time.Second
	// maxProofLogLines is the maximum number of log lines a second about datagrams without a proof.
	maxProofLogLines = 2
)

// streamOrigins exchanges the origins of streams, which are the services and versions that began them,
// with other routers. It is safe for concurrent use.
type streamOrigins struct {
	fleet     *fleetView
	guard     *messenger.MemberGuard
	log       *zap.Logger
	startedAt time.Time

	mu          sync.Mutex
	replication *resumer.Replication
	placement   *resumer.Placement
	members     streamMembers
	// completeSince is the time from which no origin that this router would keep was lost: it has kept them
	// since its start, and no router ended just before. It is zero until a keeper has told.
	completeSince time.Time
	// tickedAt is when the goroutine of run last ticked; zero if that does not run. The clocks of a VM that was
	// suspended disagree.
	tickedAt rattanhoist.Moment
	// receivedAt is when a datagram of another router last arrived.
	receivedAt time.Time
	// searches holds the searches in progress by their numbers.
	searches map[uint64]*originSearch
}

// originSearch is a search in progress; its core is guarded by streamOrigins.mu.
type originSearch struct {
	core     *resumer.Search
	answered chan struct{}
}

func newStreamOrigins(f *fleetView, log *zap.Logger) *streamOrigins {
	s := &streamOrigins{
		fleet: f, log: reporter.Sampled(log, maxProofLogLines), startedAt: time.Now(),
		replication: resumer.NewReplication(), placement: resumer.NewPlacement(f.self.Zone, nil), searches: map[uint64]*originSearch{},
	}
	s.guard = messenger.NewMemberGuard(s.incarnationOf, time.Now)
	return s
}

// incarnationOf returns the incarnation of another router, also of one that keepers no longer list
// because it lost its paths to them.
func (s *streamOrigins) incarnationOf(address string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members.incarnationOf(address)
}

// setRouters replaces the routers among which origins are placed.
func (s *streamOrigins) setRouters(routers []*messenger.FleetMember) {
	var others []resumer.Member
	for _, m := range routers {
		if m.Address != s.fleet.self.Address {
			others = append(others, resumer.Member{Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation})
		}
	}
	now := time.Now()
	s.mu.Lock()
	s.placement = resumer.NewPlacement(s.fleet.self.Zone, others)
	s.replication.SetPlacement(now, s.placement)
	s.members.update(now, others)
	early := s.members.takeEarly()
	s.mu.Unlock()
	for _, e := range early {
		s.receive(e.message, e.receivedAt)
	}
}

// Record keeps the origin of a stream and sends it to the routers that keep it as well.
func (s *streamOrigins) Record(o resumer.Origin, retention time.Duration, content resumer.Key, attempts ...resumer.Key) {
	s.mu.Lock()
	sends := s.replication.Begin(time.Now(), o, retention, content, attempts...)
	s.mu.Unlock()
	s.sendAll(sends)
}

// run sends origins again that are due, until ctx is done.
func (s *streamOrigins) run(ctx context.Context) {
	t := time.NewTicker(originsTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		s.mu.Lock()
		if s.stoodStillLocked(now) {
			s.completeSince = now
		}
		s.tickedAt = rattanhoist.MomentOf(now)
		sends := s.replication.Tick(now)
		s.mu.Unlock()
		s.sendAll(sends)
	}
}

// stoodStillLocked reports whether this process or its VM has stood still since the last tick. Origins that were
// sent meanwhile may be lost. The caller holds s.mu.
func (s *streamOrigins) stoodStillLocked(now time.Time) bool {
	if s.tickedAt.IsZero() {
		return false
	}
	gap, agree := rattanhoist.MomentOf(now).Since(s.tickedAt)
	return !agree || gap > maxTickGap
}

// recordReceived records that a datagram of another router arrived.
func (s *streamOrigins) recordReceived(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedAt = now
}

// contactLost records that no keeper has answered this router for a time. If no other router was heard
// either, it was cut off, and has missed origins.
func (s *streamOrigins) contactLost(now time.Time, silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.receivedAt) >= silence && !s.completeSince.IsZero() {
		s.completeSince = now
	}
}

// handOver sends everything that this router keeps to the routers that keep it from now on.
func (s *streamOrigins) handOver() {
	for i := range handOverSends {
		if i > 0 {
			time.Sleep(handOverInterval)
		}
		s.mu.Lock()
		sends := s.replication.Close(time.Now())
		s.mu.Unlock()
		s.sendAll(sends)
	}
}

// counts returns how many origins are known, and how many were dropped early.
func (s *streamOrigins) counts() (known, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replication.Counts()
}

// Find returns the origin of a stream. It returns resumer.ErrUnknown if the routers that would keep it
// do not know it, or have kept origins for less than minKept, and resumer.ErrUnreachable if they do not
// answer.
func (s *streamOrigins) Find(ctx context.Context, k resumer.Key, minKept time.Duration) (resumer.Origin, error) {
	number := rand.Uint64()
	search, o, err := s.startSearch(number, k, minKept)
	if search == nil {
		return o, err
	}
	defer s.endSearch(number)
	t := time.NewTicker(searchPollInterval)
	defer t.Stop()
	for {
		asked, o, done, err := s.stepSearch(search, k, minKept)
		if done {
			countSearch(err)
			return o, err
		}
		for _, m := range asked {
			s.send(m.Address, &messenger.StreamMessage{Query: &messenger.StreamQuery{Number: number, Key: k[:]}})
		}
		select {
		case <-ctx.Done():
			return resumer.Origin{}, resumer.ErrUnreachable
		case <-search.answered:
		case <-t.C:
		}
	}
}

// startSearch returns nil and the result if no other router has to be asked, or can be.
func (s *streamOrigins) startSearch(number uint64, k resumer.Key, minKept time.Duration) (*originSearch, resumer.Origin, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	own, known := s.replication.Find(now, k)
	known = known && s.keptLocked(now) >= minKept
	if known && minKept == 0 {
		return nil, own, nil
	}
	if len(s.searches) >= maxSearches {
		originSearchesDropped.Inc()
		return nil, resumer.Origin{}, resumer.ErrUnreachable
	}
	candidates := s.placement.Candidates(k)
	if len(candidates) == 0 {
		s.fleet.listRoutersSoon(now)
	}
	search := &originSearch{core: resumer.NewSearch(now, candidates, minKept), answered: make(chan struct{}, 1)}
	if known {
		search.core = resumer.NewConfirmation(now, candidates, minKept, own)
	}
	s.searches[number] = search
	return search, resumer.Origin{}, nil
}

func (s *streamOrigins) endSearch(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.searches, number)
}

// stepSearch returns the routers to ask now, or the result.
func (s *streamOrigins) stepSearch(search *originSearch, k resumer.Key, minKept time.Duration) (ask []resumer.Member, o resumer.Origin, done bool, err error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.replication.Find(now, k); ok && minKept == 0 {
		return nil, o, true, nil
	}
	ask = search.core.Tick(now)
	o, done, err = search.core.Result(now)
	return ask, o, done, err
}

// keptLocked returns for how long this router has kept all origins that it was sent, or would have been sent
// if it had run. The caller holds s.mu.
func (s *streamOrigins) keptLocked(now time.Time) time.Duration {
	since := s.completeSince
	if since.IsZero() || s.stoodStillLocked(now) {
		return 0
	}
	if at := s.replication.DroppedAt(); at.After(since) {
		since = at
	}
	return now.Sub(since)
}

// recordRoutersKept records for how long no router has ended. What ends later takes nothing away from what
// this router keeps.
func (s *streamOrigins) recordRoutersKept(now time.Time, kept time.Duration) {
	since := now.Add(-kept)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.completeSince.IsZero() || since.After(s.completeSince) && since.Before(s.startedAt.Add(lossNoticeDelay)) {
		s.completeSince = since
	}
}

// sendAll sends origins, as many in one datagram as fit.
func (s *streamOrigins) sendAll(sends []resumer.Send) {
	for _, send := range sends {
		m, size := &messenger.StreamMessage{}, 0
		for _, e := range send.Entries {
			o := &messenger.StreamOrigin{Key: e.Key[:], Service: e.Service, Version: string(e.Version), RemainingMs: e.Remaining.Milliseconds()}
			n := proto.Size(o)
			if size+n > maxStreamDatagram && size > 0 {
				s.send(send.To.Address, m)
				m, size = &messenger.StreamMessage{}, 0
			}
			m.Origins = append(m.Origins, o)
			size += n
		}
		s.send(send.To.Address, m)
	}
}

// send sends a message to a router. It may be lost.
func (s *streamOrigins) send(to string, m *messenger.StreamMessage) {
	n := s.fleet.notifier.Load()
	if n == nil {
		return
	}
	content, err := proto.Marshal(m)
	if err != nil {
		s.log.Error("encoding a message on streams failed", zap.Error(err))
		return
	}
	self := s.fleet.self
	n.send(to, &messenger.Dispatched{Stream: &messenger.ProvenStreamMessage{
		From: self.Address, Content: content, Proof: messenger.SignDatagram(self, to, content),
	}})
	streamDatagramsSent.Inc()
}

// receive handles a datagram. One without the proof of a member is kept for a while, as this router may
// not know yet that its sender has started, and then dropped.
func (s *streamOrigins) receive(p *messenger.ProvenStreamMessage, receivedAt time.Time) {
	if !s.guard.CheckDatagram(p.From, s.fleet.self.Address, p.Content, p.Proof) {
		s.mu.Lock()
		refused := s.members.addEarly(time.Now(), earlyDatagram{p, receivedAt})
		s.mu.Unlock()
		s.fleet.listRoutersSoon(receivedAt)
		for _, from := range refused {
			streamDatagramsRefused.Inc()
			s.log.Warn("message on streams refused", zap.String("from", from))
		}
		return
	}
	m := &messenger.StreamMessage{}
	if proto.Unmarshal(p.Content, m) != nil {
		datagramsInvalid.Inc()
		return
	}
	streamDatagramsReceived.Inc()
	s.hold(m.Origins)
	if m.Query != nil {
		s.answer(p.From, m.Query)
	}
	if m.Answer != nil {
		s.receiveAnswer(p.From, m.Answer)
	}
}

// hold keeps origins of other routers.
func (s *streamOrigins) hold(origins []*messenger.StreamOrigin) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range origins {
		if k, ok := resumer.KeyFromBytes(o.Key); ok {
			s.replication.Hold(now, resumer.Entry{Key: k, Origin: originFromMessage(o), Remaining: time.Duration(o.RemainingMs) * time.Millisecond})
		}
	}
}

// answer answers the query of another router.
func (s *streamOrigins) answer(to string, q *messenger.StreamQuery) {
	k, ok := resumer.KeyFromBytes(q.Key)
	if !ok {
		return
	}
	now := time.Now()
	s.mu.Lock()
	o, known := s.replication.Find(now, k)
	a := &messenger.StreamQueryAnswer{Number: q.Number, KeptMs: s.keptLocked(now).Milliseconds()}
	s.mu.Unlock()
	if known {
		a.Origin = &messenger.StreamOrigin{Service: o.Service, Version: string(o.Version)}
	}
	s.send(to, &messenger.StreamMessage{Answer: a})
}

// receiveAnswer passes an answer on to the search that asked.
func (s *streamOrigins) receiveAnswer(from string, a *messenger.StreamQueryAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	search := s.searches[a.Number]
	if search == nil {
		return
	}
	search.core.Answer(from, originFromMessage(a.Origin), a.Origin != nil, time.Duration(a.KeptMs)*time.Millisecond)
	select {
	case search.answered <- struct{}{}:
	default:
	}
}

func originFromMessage(o *messenger.StreamOrigin) resumer.Origin {
	return resumer.Origin{Service: o.GetService(), Version: enroller.Version(o.GetVersion())}
}

// SoleVersion returns the version of a service if its endpoints have had no other one for a time.
func (s *streamOrigins) SoleVersion(ctx context.Context, service string, within time.Duration) (enroller.Version, bool) {
	return s.fleet.soleVersion(ctx, service, within)
}

// KnowsVersion reports whether an endpoint of a service has, or has had lately, a version.
func (s *streamOrigins) KnowsVersion(service string, v enroller.Version) bool {
	return s.fleet.knowsVersion(service, v)
}

// send sends a datagram to the router at an internal address. It may be lost.
func (n *dispatchNotifier) send(to string, d *messenger.Dispatched) {
	a, err := netip.ParseAddrPort(to)
	if err != nil {
		n.log.Warn("invalid router address", zap.String("router", to), zap.Error(err))
		return
	}
	b, err := proto.Marshal(d)
	if err != nil {
		n.log.Error("encoding a datagram failed", zap.Error(err))
		return
	}
	n.admission.Sent(time.Now(), len(b))
	// As with dispatch notices, errors are ignored.
	_, _ = n.conn.WriteToUDPAddrPort(b, a)
}
