package courier

import (
	"context"
	"maps"
	"math/rand/v2"
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
	// permitResendInterval is how long an answer is awaited before the question is sent once more, and
	// permitTimeout how long in all: a round trip between regions takes a part of that.
	permitResendInterval = 40 * time.Millisecond
	permitTimeout        = 120 * time.Millisecond
	// maxCoordinators is how many routers are asked for one permit, if they do not answer.
	maxCoordinators = 2
	// A coordinator that does not answer is passed over for minCoordinatorSilence, and for twice as
	// long each further time, up to maxCoordinatorSilence.
	minCoordinatorSilence = 2 * time.Second
	maxCoordinatorSilence = 16 * time.Second
	// holdInterval is how often a router states the requests that it has at endpoints that limit
	// rejections, besides each time that one begins or ends.
	holdInterval = permitter.HoldTTL / 4
	// maxHoldDatagram is the maximum size of the statements in a datagram.
	maxHoldDatagram = 400
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
	// members holds the routers that may coordinate, with this one.
	members atomic.Pointer[[]warmer.Member]

	mu          sync.Mutex
	coordinator *permitter.Coordinator
	sequence    uint64
	// questions holds the channels for answers by the sequence of the question.
	questions map[uint64]chan bool
	// silent holds the coordinators that did not answer.
	silent map[string]silence
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
		questions: map[uint64]chan bool{}, silent: map[string]silence{}, stated: map[string]bool{},
	}
	p.setMembers([]warmer.Member{{Address: f.self.Address, Zone: f.self.Zone}})
	return p
}

// setMembers replaces the routers that may coordinate.
func (p *permits) setMembers(list []warmer.Member) { p.members.Store(&list) }

// AcquirePermit asks the endpoint's coordinator for a permit, and the next router in its place if that
// does not answer.
func (f *fleetView) AcquirePermit(ctx context.Context, e *predictor.Endpoint) bool {
	p := f.permits
	if p == nil {
		return true
	}
	for range maxCoordinators {
		to := p.coordinatorOf(time.Now(), e)
		if to == f.self.Address {
			return p.grantOwn(e)
		}
		granted, answered := p.ask(ctx, to, e)
		if answered || ctx.Err() != nil {
			return granted
		}
		p.recordSilence(time.Now(), to)
	}
	return false
}

// ReleasePermit tells the endpoint's coordinator that a request has ended.
func (f *fleetView) ReleasePermit(e *predictor.Endpoint) {
	p := f.permits
	if p == nil || !e.NeedsPermit(time.Now()) {
		return
	}
	to := p.coordinatorOf(time.Now(), e)
	if to == f.self.Address {
		p.recordOwn(e)
		return
	}
	p.mu.Lock()
	m := p.messageLocked()
	m.Holds = append(m.Holds, holdOf(e, time.Now()))
	p.mu.Unlock()
	p.send(to, m, e)
}

// coordinatorOf returns the address of the router that grants permits for an endpoint, as far as this
// router knows.
func (p *permits) coordinatorOf(now time.Time, e *predictor.Endpoint) string {
	list := *p.members.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	b := e.Beat()
	m, _ := warmer.Coordinator(list, e.Name(), b.Zone, func(m warmer.Member) bool {
		return m.Address != p.fleet.self.Address && now.Before(p.silent[m.Address].until)
	})
	return m.Address
}

// holdOf states this router's requests at an endpoint.
func holdOf(e *predictor.Endpoint, now time.Time) *messenger.EndpointHold {
	return &messenger.EndpointHold{Endpoint: e.Name(), Requests: uint32(max(e.Running(), 0)), Rejected: e.RecentRejections(now) > 0}
}

// messageLocked returns an empty message with the next sequence. The caller holds p.mu until it has read
// what the message states, so that a later message states what is newer.
func (p *permits) messageLocked() *messenger.PermitMessage {
	p.sequence++
	return &messenger.PermitMessage{From: p.fleet.self.Address, Process: p.process, Sequence: p.sequence}
}

// grantOwn decides on a permit for this router.
func (p *permits) grantOwn(e *predictor.Endpoint) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.messageLocked()
	return p.grantLocked(now, e, m, holdOf(e, now))
}

// recordOwn records the requests of this router at an endpoint that it coordinates.
func (p *permits) recordOwn(e *predictor.Endpoint) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLocked(now, p.messageLocked(), holdOf(e, now))
}

func (p *permits) recordLocked(now time.Time, m *messenger.PermitMessage, h *messenger.EndpointHold) {
	if h.Rejected {
		p.coordinator.RecordRejection(now, h.Endpoint)
	}
	p.coordinator.Record(now, h.Endpoint, statement(m, h))
}

func statement(m *messenger.PermitMessage, h *messenger.EndpointHold) permitter.Hold {
	return permitter.Hold{Router: m.From, Process: m.Process, Sequence: m.Sequence, Requests: int(h.Requests)}
}

// grantLocked decides on a permit for a router. The caller holds p.mu.
func (p *permits) grantLocked(now time.Time, e *predictor.Endpoint, m *messenger.PermitMessage, h *messenger.EndpointHold) bool {
	if h.Rejected {
		p.coordinator.RecordRejection(now, h.Endpoint)
	}
	load, at := e.ReportedLoad()
	return p.coordinator.Grant(now, h.Endpoint, e.Beat().Slots, permitter.Load{Requests: load.Running + load.Waiting, At: at}, statement(m, h))
}

// ask asks a coordinator for a permit. It returns whether it was granted, and whether an answer came.
func (p *permits) ask(ctx context.Context, to string, e *predictor.Endpoint) (granted, answered bool) {
	answer := make(chan bool, maxCoordinators)
	var sequences []uint64
	defer func() { p.forget(sequences) }()
	begun := time.Now()
	for time.Since(begun) < permitTimeout {
		p.mu.Lock()
		m := p.messageLocked()
		m.Ask = holdOf(e, time.Now())
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
		case granted = <-answer:
			return granted, true
		case <-ctx.Done():
			return false, false
		case <-time.After(wait):
		}
	}
	return false, false
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
	delete(p.silent, m.From)
	for _, h := range m.Holds {
		p.recordLocked(now, m, h)
	}
	if a := m.Answer; a != nil {
		if c := p.questions[a.Sequence]; c != nil {
			select {
			case c <- a.Granted:
			default:
			}
		}
	}
	p.mu.Unlock()
	if m.Ask != nil {
		p.answer(now, m)
	}
}

// answer decides on a permit for another router and tells it. An endpoint that is not known here may be
// gone, or has just started: the next question comes later.
func (p *permits) answer(now time.Time, m *messenger.PermitMessage) {
	e := p.fleet.table.Endpoint(m.Ask.Endpoint)
	p.mu.Lock()
	granted := e != nil && p.grantLocked(now, e, m, m.Ask)
	reply := p.messageLocked()
	p.mu.Unlock()
	reply.Answer = &messenger.PermitAnswer{Sequence: m.Sequence, Granted: granted}
	p.send(m.From, reply, e)
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

// stateAll states the requests at all endpoints that limit rejections to their coordinators. An endpoint
// without requests is stated once more, as the message on the last one may have been lost.
func (p *permits) stateAll(now time.Time) {
	p.forgetGone()
	byCoordinator := map[string][]*predictor.Endpoint{}
	for _, name := range p.fleet.table.Names() {
		e := p.fleet.table.Endpoint(name)
		if e == nil || !e.NeedsPermit(now) || !p.markStated(name, e.Running() > 0) {
			continue
		}
		to := p.coordinatorOf(now, e)
		byCoordinator[to] = append(byCoordinator[to], e)
	}
	for to, list := range byCoordinator {
		if to == p.fleet.self.Address {
			for _, e := range list {
				p.recordOwn(e)
			}
			continue
		}
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

// stateTo states the requests at endpoints to a coordinator, as many in one datagram as fit.
func (p *permits) stateTo(to string, list []*predictor.Endpoint) {
	for len(list) > 0 {
		now := time.Now()
		p.mu.Lock()
		m := p.messageLocked()
		for size := 0; len(list) > 0; list = list[1:] {
			h := holdOf(list[0], now)
			if size += proto.Size(h); size > maxHoldDatagram && len(m.Holds) > 0 {
				break
			}
			m.Holds = append(m.Holds, h)
		}
		p.mu.Unlock()
		p.send(to, m, nil)
	}
}
