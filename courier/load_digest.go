package courier

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
)

const (
	// maxDigestDatagram is the maximum size of a datagram with a digest. With 16 of them a second, a
	// router sends at most 8 kB/s. Routers of earlier versions receive up to 512 bytes.
	maxDigestDatagram = 480
	// digestFraming is the size of the tag and length of a digest in its datagram.
	digestFraming = 3
)

// sendDigests regularly sends digests of load to other routers until ctx is done, if they are
// switched on.
func (n *dispatchNotifier) sendDigests(ctx context.Context) {
	if !n.digestsEnabled() {
		return
	}
	t := time.NewTicker(predictor.GossipInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.sendDigest(time.Now())
		}
	}
}

// digestsEnabled reports whether digests are exchanged.
func (n *dispatchNotifier) digestsEnabled() bool {
	return n.fleet.options.Node.Features().LoadDigests
}

// sendDigest sends a digest to the routers whose turn it is, unless nothing was observed recently or
// the link is busy. Digests may be lost.
func (n *dispatchNotifier) sendDigest(now time.Time) {
	d := n.fleet.table.Digest(now, maxDigestDatagram-digestFraming)
	if d == nil {
		return
	}
	b, err := proto.Marshal(&messenger.Dispatched{Digest: d})
	if err != nil {
		n.log.Error("encoding a load digest failed", zap.Error(err))
		return
	}
	for _, a := range n.fleet.digestTargets(now) {
		if !n.admission.AdmitOptional(now, len(b)) {
			return
		}
		// As with dispatch notices, errors are ignored.
		_, _ = n.conn.WriteToUDPAddrPort(b, a)
		digestsSent.Inc()
	}
}

// receiveDigest applies a digest of another router, unless digests are switched off.
func (n *dispatchNotifier) receiveDigest(now time.Time, d *messenger.LoadDigest) {
	if !n.digestsEnabled() {
		return
	}
	digestsReceived.Inc()
	r := n.fleet.table.ApplyDigest(now, d)
	loadEntriesUsed.Add(r.Used)
	loadEntriesDropped.Add(r.Dropped)
}
