package courier

import (
	"context"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/shaper"
)

const (
	// minNotifiedPrompt is the size, in tokens, of the smallest prompt of which other
	// routers are notified. An endpoint has read a shorter one by the time that the
	// datagram arrives.
	minNotifiedPrompt = 500
	// maxNotifiedPeers is the maximum number of routers that are notified of a dispatch.
	// Routers in the endpoint's zone come first.
	maxNotifiedPeers = 28
	// maxDatagramBytes is the size of the largest datagram that is received: what a network passes
	// on without fragments.
	maxDatagramBytes = 1500
)

// dispatchNotifier exchanges datagrams with other routers about prompts sent to endpoints, digests
// of load, and messages on streams. A prompt delays what other routers send to the same endpoint at the same time, long
// before the endpoint's own reports show its load.
type dispatchNotifier struct {
	fleet     *fleetView
	conn      *net.UDPConn
	admission *shaper.Admission
	log       *zap.Logger
}

// newDispatchNotifier opens the UDP socket. The returned function closes it.
func newDispatchNotifier(f *fleetView, admission *shaper.Admission, log *zap.Logger) (*dispatchNotifier, func(), error) {
	a, err := net.ResolveUDPAddr("udp", f.self.Address)
	if err != nil {
		return nil, nil, err
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, nil, err
	}
	return &dispatchNotifier{fleet: f, conn: c, admission: admission, log: log}, func() { _ = c.Close() }, nil
}

// notify sends a dispatch notice to other routers. Datagrams may be lost: routers don't
// depend on them.
func (n *dispatchNotifier) notify(to []netip.AddrPort, d *messenger.Dispatched) {
	if d.Unread < minNotifiedPrompt {
		return
	}
	b, err := proto.Marshal(d)
	if err != nil {
		n.log.Error("encoding a dispatch notice failed", zap.Error(err))
		return
	}
	for _, a := range to {
		if !n.admission.AdmitOptional(time.Now(), len(b)) {
			return
		}
		// Errors are ignored: on a full link the datagram is dropped, and the endpoint
		// reports its load anyway.
		_, _ = n.conn.WriteToUDPAddrPort(b, a)
	}
}

// receive processes dispatch notices until the socket is closed.
func (n *dispatchNotifier) receive(ctx context.Context) {
	b := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() == nil {
				n.log.Warn("receiving dispatch notices failed", zap.Error(err))
			}
			return
		}
		n.handle(time.Now(), b[:size])
	}
}

// handle processes a datagram. One that doesn't parse is ignored.
func (n *dispatchNotifier) handle(now time.Time, b []byte) {
	d := &messenger.Dispatched{}
	if proto.Unmarshal(b, d) != nil {
		datagramsInvalid.Inc()
		return
	}
	if n.fleet.origins != nil {
		n.fleet.origins.recordReceived(now)
	}
	if d.Unread > 0 {
		n.fleet.table.RecordDispatch(now, d.Endpoint, predictor.Dispatch{
			UncachedTokens: d.Unread, PrefillTime: time.Duration(d.TakesUs) * time.Microsecond, Parts: d.Parts,
		})
	}
	if d.Digest != nil {
		n.receiveDigest(now, d.Digest)
	}
	if d.Stream != nil && n.fleet.origins != nil {
		n.fleet.origins.receive(d.Stream, now)
	}
	if d.Permits != nil && n.fleet.permits != nil {
		n.fleet.permits.receive(now, d.Permits)
	}
}
