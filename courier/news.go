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
	// minNotifiedPrompt is the smallest prompt that other routers hear of, in tokens:
	// shorter ones are read while a datagram is on its way.
	minNotifiedPrompt = 500
	// maxNotifiedPeers bounds the fan-out of a dispatch notice; those of the endpoint's
	// zone come first.
	maxNotifiedPeers = 28
	// maxDatagram bounds a dispatch notice, in bytes.
	maxDatagram = 512
)

// news carries datagrams between routers: what one sent to an endpoint delays
// what the others send there in the same moment, long before the endpoint's own
// reports show it.
type news struct {
	fleet     *fleet
	conn      *net.UDPConn
	admission *shaper.Admission
	log       *zap.Logger
}

// newNews opens the socket. The returned function closes it.
func newNews(f *fleet, admission *shaper.Admission, log *zap.Logger) (*news, func(), error) {
	a, err := net.ResolveUDPAddr("udp", f.self.Address)
	if err != nil {
		return nil, nil, err
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, nil, err
	}
	return &news{fleet: f, conn: c, admission: admission, log: log}, func() { _ = c.Close() }, nil
}

// tell sends a dispatch to other routers; lost datagrams are not missed.
func (n *news) tell(to []netip.AddrPort, d *messenger.Dispatched) {
	if d.Unread < minNotifiedPrompt {
		return
	}
	b, err := proto.Marshal(d)
	if err != nil {
		n.log.Error("dispatch not told", zap.Error(err))
		return
	}
	for _, a := range to {
		if !n.admission.AdmitOptional(time.Now(), len(b)) {
			return
		}
		// A full link drops them; the endpoint's reports come anyway.
		_, _ = n.conn.WriteToUDPAddrPort(b, a)
	}
}

// run takes datagrams in until the socket is closed.
func (n *news) run(ctx context.Context) {
	b := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() == nil {
				n.log.Warn("no more news of other routers", zap.Error(err))
			}
			return
		}
		d := &messenger.Dispatched{}
		// A datagram that is not one of ours tells nothing.
		if proto.Unmarshal(b[:size], d) == nil && d.Unread > 0 {
			n.fleet.table.Sent(time.Now(), d.Endpoint, predictor.Dispatch{
				Unread: d.Unread, Takes: time.Duration(d.TakesUs) * time.Microsecond, Parts: d.Parts,
			})
		}
	}
}
