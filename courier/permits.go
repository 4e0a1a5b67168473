package courier

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/permitter"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/reporter"
	"rattanhoist.example/rattanhoist/warmer"
)

const (
	// permitResendInterval is how long an answer is awaited before the question is sent once more.
	permitResendInterval = 40 * time.Millisecond
	// permitTimeout is how long an answer is awaited in all: a round trip between regions takes a part of
	// that.
	permitTimeout = 120 * time.Millisecond
	// maxCoordinators is how many routers are asked for one permit, if they do not answer or name another
	// one.
	maxCoordinators = 3
	// learnedTTL is how long a router that keepers do not list may coordinate after its last message: it
	// has just started, or the list of this router is late.
	learnedTTL = 5 * time.Second
	// A coordinator that does not answer a question is passed over for minCoordinatorSilence, and for twice as
	// long each further time, up to maxCoordinatorSilence.
	minCoordinatorSilence = 2 * time.Second
	maxCoordinatorSilence = 16 * time.Second
	// holdInterval is how often a router states the requests that it has at endpoints that limit
	// rejections, besides each time that one begins or ends.
	holdInterval = permitter.HoldTTL / 4
	// maxHoldDatagram is the maximum size of the statements in a datagram.
	maxHoldDatagram = 400
	// keptCoordinators is how many routers know of the requests at an endpoint: the coordinator, and the one that
	// takes over from it.
	keptCoordinators = 2
	// rankedCoordinators is how many routers may take over one after the other before a router asks
	// itself.
	rankedCoordinators = 8
	// maxPermitLogLines is the maximum number of log lines a second about coordinators.
	maxPermitLogLines = 2
)

// permits asks other routers for permits to send requests to endpoints that limit rejections, and grants
// them for the endpoints that this router coordinates. All routers determine the coordinators by the
// same rule from the list of routers. It is safe for concurrent use.
type permits struct {
	fleet   *fleetView
	log     *zap.Logger
	process uint64
	// ranks orders the routers that may coordinate: those listed, this one included, and those learned of.
	ranks atomic.Pointer[coordinatorRanks]

	mu          sync.Mutex
	coordinator *permitter.Coordinator
	sequence    uint64
	// questions holds the channels for answers by the sequence of the question.
	questions map[uint64]chan *messenger.PermitAnswer
	// silent holds the coordinators that did not answer.
	silent map[string]silence
	// listed holds the routers that keepers list, and learned when others last sent a message.
	listed  []warmer.Member
	learned map[warmer.Member]time.Time
	// stated holds the endpoints of which a coordinator may know requests of this router.
	stated map[string]bool
}

// silence is the time until which a coordinator is passed over.
type silence struct {
	until time.Time
	next  time.Duration
}

func newPermits(f *fleetView, log *zap.Logger) *permits {
	p := &permits{
		fleet: f, log: reporter.Sampled(log, maxPermitLogLines), process: rand.Uint64(), coordinator: permitter.NewCoordinator(),
		questions: map[uint64]chan *messenger.PermitAnswer{}, silent: map[string]silence{}, learned: map[warmer.Member]time.Time{}, stated: map[string]bool{},
	}
	p.setMembers([]warmer.Member{{Address: f.self.Address, Zone: f.self.Zone}})
	return p
}

// coordinatorRanks orders a list of routers by endpoint.
type coordinatorRanks struct {
	members []warmer.Member

	mu sync.Mutex
	// byEndpoint holds the first rankedCoordinators addresses for each endpoint that was asked for.
	byEndpoint map[string][]string
}

// of returns the addresses of the routers that may coordinate an endpoint, by rank. Callers must not modify
// the slice.
func (r *coordinatorRanks) of(e *predictor.Endpoint) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.byEndpoint[e.Name()]
	if list == nil {
		list = warmer.Ranked(r.members, e.Name(), e.Beat().Zone, rankedCoordinators)
		r.byEndpoint[e.Name()] = list
	}
	return list
}

// setMembers replaces the routers that keepers list, which are sorted by address.
func (p *permits) setMembers(list []warmer.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = list
	p.rankLocked(time.Now())
}

// learnLocked records that a router may coordinate. The caller holds p.mu.
func (p *permits) learnLocked(now time.Time, m warmer.Member) {
	if _, err := netip.ParseAddrPort(m.Address); err != nil || slices.Contains(p.listed, m) || len(p.learned) >= maxPeers {
		return
	}
	p.learned[m] = now
	p.rankLocked(now)
}

// rankLocked orders the routers that may coordinate, if they have changed. The caller holds p.mu.
func (p *permits) rankLocked(now time.Time) {
	members := slices.Clone(p.listed)
	for m, at := range p.learned {
		if now.Sub(at) >= learnedTTL || slices.Contains(p.listed, m) {
			delete(p.learned, m)
			continue
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b warmer.Member) int { return strings.Compare(a.Address, b.Address) })
	if known := p.ranks.Load(); known == nil || !slices.Equal(known.members, members) {
		p.ranks.Store(&coordinatorRanks{members: members, byEndpoint: map[string][]string{}})
	}
}

// AcquirePermit asks the endpoint's coordinator for a permit, and the next router in its place if that
// does not answer.
func (f *fleetView) AcquirePermit(ctx context.Context, e *predictor.Endpoint) bool {
	p := f.permits
	if p == nil {
		return true
	}
	for range maxCoordinators {
		to, passedOver := p.coordinatorOf(time.Now(), e)
		if to == f.self.Address {
			granted := p.grantOwn(e)
			p.stateGranted(e, granted, to)
			return granted
		}
		a := p.ask(ctx, to, e, passedOver)
		switch {
		case a != nil && a.Coordinator == "":
			p.stateGranted(e, a.Granted, to)
			return a.Granted
		case ctx.Err() != nil:
			return false
		case a == nil:
			p.recordSilence(time.Now(), to)
		default:
			p.learn(warmer.Member{Address: a.Coordinator, Zone: a.CoordinatorZone})
		}
	}
	return false
}

// stateGranted states this router's requests at an endpoint after a permit was granted, except to the router that
// granted it.
func (p *permits) stateGranted(e *predictor.Endpoint, granted bool, by string) {
	if granted {
		p.state(e, by)
	}
}

// learn records a router that another one has named.
func (p *permits) learn(m warmer.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnLocked(time.Now(), m)
}

// ReleasePermit tells that a request to an endpoint has ended.
func (f *fleetView) ReleasePermit(e *predictor.Endpoint) {
	if f.permits != nil && e.NeedsPermit(time.Now()) {
		f.permits.state(e, "")
	}
}

// state states this router's requests at an endpoint to the routers that know of them, except one.
func (p *permits) state(e *predictor.Endpoint, except string) {
	for _, to := range p.keepersOf(time.Now(), e) {
		if to != except {
			p.stateTo(to, []*predictor.Endpoint{e})
		}
	}
}

// coordinatorOf returns the address of the router that grants permits for an endpoint, as far as this
// router knows. PassedOver is set if others come before it that did not answer.
func (p *permits) coordinatorOf(now time.Time, e *predictor.Endpoint) (address string, passedOver bool) {
	ranked := p.ranks.Load().of(e)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, address := range ranked {
		if address == p.fleet.self.Address || !now.Before(p.silent[address].until) {
			return address, i > 0
		}
	}
	return p.fleet.self.Address, true
}

// keepersOf returns the addresses of the routers that know of the requests at an endpoint. A coordinator
// that did not answer is among them: it may answer others, or be back.
func (p *permits) keepersOf(now time.Time, e *predictor.Endpoint) []string {
	out := slices.Clone(p.ranks.Load().of(e))
	out = out[:min(len(out), keptCoordinators)]
	if current, _ := p.coordinatorOf(now, e); !slices.Contains(out, current) {
		out = append(out, current)
	}
	return out
}

// holdOf states this router's requests at an endpoint.
func holdOf(e *predictor.Endpoint, now time.Time) *messenger.EndpointHold {
	h := &messenger.EndpointHold{Endpoint: e.Name(), Requests: uint32(max(e.Running(), 0))}
	if at, recent := e.LastRejection(now); recent {
		h.RejectedMs = proto.Uint32(uint32(now.Sub(at).Milliseconds()))
	}
	return h
}

// messageLocked returns an empty message with the next sequence. The caller holds p.mu until it has read
// what the message states, so that a later message states what is newer.
func (p *permits) messageLocked() *messenger.PermitMessage {
	p.sequence++
	return &messenger.PermitMessage{From: p.fleet.self.Address, Zone: p.fleet.self.Zone, Process: p.process, Sequence: p.sequence}
}

// grantOwn decides on a permit for this router.
func (p *permits) grantOwn(e *predictor.Endpoint) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.messageLocked()
	return p.grantLocked(now, e, m, holdOf(e, now))
}

// recordLocked records what a router states of an endpoint in service. The caller holds p.mu.
func (p *permits) recordLocked(now time.Time, m *messenger.PermitMessage, h *messenger.EndpointHold) {
	if p.fleet.table.Endpoint(h.Endpoint) == nil {
		return
	}
	p.recordRejectionLocked(now, h)
	p.coordinator.Record(now, h.Endpoint, statement(m, h))
}

// recordRejectionLocked records the rejection that a router states, if any. The caller holds p.mu.
func (p *permits) recordRejectionLocked(now time.Time, h *messenger.EndpointHold) {
	if h.RejectedMs != nil {
		p.coordinator.RecordRejection(now, now.Add(-time.Duration(h.GetRejectedMs())*time.Millisecond), h.Endpoint)
	}
}

// statement returns what a message states of an endpoint.
func statement(m *messenger.PermitMessage, h *messenger.EndpointHold) permitter.Hold {
	return permitter.Hold{Router: m.From, Process: m.Process, Sequence: m.Sequence, Requests: int(h.Requests)}
}

// grantLocked decides on a permit for a router. The caller holds p.mu.
func (p *permits) grantLocked(now time.Time, e *predictor.Endpoint, m *messenger.PermitMessage, h *messenger.EndpointHold) bool {
	p.recordRejectionLocked(now, h)
	load, at := e.ReportedLoad()
	return p.coordinator.Grant(now, h.Endpoint, e.Beat().Slots, permitter.Load{Requests: load.Running + load.Waiting, At: at}, statement(m, h))
}

// ask asks a coordinator for a permit. It returns nil if no answer came.
func (p *permits) ask(ctx context.Context, to string, e *predictor.Endpoint, passedOver bool) *messenger.PermitAnswer {
	answer := make(chan *messenger.PermitAnswer, 1)
	var sequences []uint64
	defer func() { p.forget(sequences) }()
	begun := time.Now()
	for time.Since(begun) < permitTimeout {
		p.mu.Lock()
		m := p.messageLocked()
		m.Ask, m.PassedOver = holdOf(e, time.Now()), passedOver
		p.questions[m.Sequence] = answer
		p.stated[e.Name()] = true
		p.mu.Unlock()
		sequences = append(sequences, m.Sequence)
		p.send(to, m, e)
		wait := permitTimeout - time.Since(begun)
		if len(sequences) == 1 {
			wait = permitResendInterval
		}
		select {
		case a := <-answer:
			return a
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
	return nil
}

// forget removes questions that nobody waits for.
func (p *permits) forget(sequences []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range sequences {
		delete(p.questions, n)
	}
}

// recordSilence passes over a coordinator that did not answer.
func (p *permits) recordSilence(now time.Time, address string) {
	coordinatorsSilent.Inc()
	p.log.Info("coordinator of permits does not answer", zap.String("router", address))
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.silent[address]
	s.next = min(max(2*s.next, minCoordinatorSilence), maxCoordinatorSilence)
	s.until = now.Add(s.next)
	p.silent[address] = s
}

// send sends a message to a router, with the known load of an endpoint unless that is nil. It may be lost.
func (p *permits) send(to string, m *messenger.PermitMessage, e *predictor.Endpoint) {
	n := p.fleet.notifier.Load()
	if n == nil {
		return
	}
	if e != nil {
		if load := e.EncodeLoad(time.Now()); load != nil {
			m.Loads = append(m.Loads, load)
		}
	}
	n.send(to, &messenger.Dispatched{Permits: m})
}

// receive handles a message of another router.
func (p *permits) receive(now time.Time, m *messenger.PermitMessage) {
	p.fleet.table.ApplyDigest(now, &messenger.LoadDigest{Endpoints: m.Loads})
	p.mu.Lock()
	p.learnLocked(now, warmer.Member{Address: m.From, Zone: m.Zone})
	for _, h := range m.Holds {
		p.recordLocked(now, m, h)
	}
	if a := m.Answer; a != nil {
		delete(p.silent, m.From)
		if c := p.questions[a.Sequence]; c != nil {
			select {
			case c <- a:
			default:
			}
		}
	}
	p.mu.Unlock()
	if m.Ask != nil {
		p.answer(now, m)
	}
}

// answer decides on a permit for another router and tells it, or names the router that comes first. An
// endpoint that is not known here may be gone, or has just started: the next question comes later.
func (p *permits) answer(now time.Time, m *messenger.PermitMessage) {
	a, e := &messenger.PermitAnswer{Sequence: m.Sequence}, p.fleet.table.Endpoint(m.Ask.Endpoint)
	if e != nil && !m.PassedOver {
		a.Coordinator, a.CoordinatorZone = p.firstBefore(now, e)
	}
	p.mu.Lock()
	if e != nil && a.Coordinator == "" {
		a.Granted = p.grantLocked(now, e, m, m.Ask)
	}
	reply := p.messageLocked()
	p.mu.Unlock()
	reply.Answer = a
	p.send(m.From, reply, e)
}

// firstBefore returns the address and zone of the router that grants permits for an endpoint, or "" if it is this one.
func (p *permits) firstBefore(now time.Time, e *predictor.Endpoint) (address, zone string) {
	first, _ := p.coordinatorOf(now, e)
	for _, m := range p.ranks.Load().members {
		if m.Address == first && first != p.fleet.self.Address {
			return first, m.Zone
		}
	}
	return "", ""
}

// run states the requests of this router regularly until ctx is done.
func (p *permits) run(ctx context.Context) {
	t := time.NewTicker(holdInterval)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		p.mu.Lock()
		if now.Sub(last) >= permitter.HoldTTL {
			// The process stood still, and others may have coordinated meanwhile.
			p.coordinator.Reset()
		}
		p.coordinator.Sweep(now)
		p.mu.Unlock()
		last = now
		p.stateAll(now)
	}
}

// stateAll states the requests at all endpoints that limit rejections. An endpoint without requests is
// stated once more, as the message on the last one may have been lost.
func (p *permits) stateAll(now time.Time) {
	p.forgetGone()
	byRouter := map[string][]*predictor.Endpoint{}
	for _, name := range p.fleet.table.Names() {
		e := p.fleet.table.Endpoint(name)
		if e == nil || !e.NeedsPermit(now) || !p.markStated(name, e.Running() > 0) {
			continue
		}
		for _, to := range p.keepersOf(now, e) {
			byRouter[to] = append(byRouter[to], e)
		}
	}
	for to, list := range byRouter {
		p.stateTo(to, list)
	}
}

// forgetGone removes the endpoints that are not in service any more.
func (p *permits) forgetGone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.stated, func(name string, _ bool) bool { return p.fleet.table.Endpoint(name) == nil })
}

// markStated reports whether the requests at an endpoint have to be stated.
func (p *permits) markStated(name string, active bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasStated := p.stated[name]
	if active {
		p.stated[name] = true
	} else {
		delete(p.stated, name)
	}
	return wasStated || active
}

// stateTo states the requests at endpoints to a router, as many in one datagram as fit.
func (p *permits) stateTo(to string, list []*predictor.Endpoint) {
	for len(list) > 0 {
		now := time.Now()
		p.mu.Lock()
		m := p.messageLocked()
		var loads []*messenger.EndpointLoad
		for size := 0; len(list) > 0; list = list[1:] {
			h, l := holdOf(list[0], now), list[0].EncodeLoad(now)
			if size += proto.Size(h) + proto.Size(l); size > maxHoldDatagram && len(m.Holds) > 0 {
				break
			}
			m.Holds = append(m.Holds, h)
			if l != nil {
				loads = append(loads, l)
			}
		}
		if to == p.fleet.self.Address {
			for _, h := range m.Holds {
				p.recordLocked(now, m, h)
			}
		}
		p.mu.Unlock()
		if to != p.fleet.self.Address {
			m.Loads = loads
			p.send(to, m, nil)
		}
	}
}
