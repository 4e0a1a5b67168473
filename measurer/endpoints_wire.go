package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/router"
	"rattanhoist.example/rattanhoist/tracker"
)

// The experiment on announcements and pulls over
// real connections.
var _ = register(Experiment{
	Name: "endpoints_wire", Short: "Announcements over HTTP and pulls over gRPC on loopback: processor time of both ends",
	Run: measureEndpointsWire,
})

const (
	wireAnnouncements = 2000
	wirePulls         = 300
)

// wireSizes are a zone of today, one of two years on with what its siblings
// pass on, and the whole of such a zone.
var wireSizes = []int{15, 24, 216}

func measureEndpointsWire(ctx context.Context, r *Report) error {
	f := newEndpointFleet(1)
	perAnnouncement, err := f.announceOverHTTP(ctx)
	if err != nil {
		return err
	}
	r.Figure("kept connection", "announcement, both ends", perAnnouncement, "us")
	for _, n := range wireSizes {
		perPull, err := newEndpointFleet(n).pullOverRPC(ctx)
		if err != nil {
			return err
		}
		r.Figure(fmt.Sprintf("%d endpoints, all renewed", n), "pull, both ends", perPull, "us")
	}
	return nil
}

// announceOverHTTP returns the processor time of one announcement in us.
func (f *endpointFleet) announceOverHTTP(ctx context.Context) (float64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	s := &http.Server{Handler: http.HandlerFunc(f.take), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	before := processorTime()
	for range wireAnnouncements {
		a := &f.said[0]
		a.Sequence++
		a.Token = f.told.Token(rattanhoist.MomentOf(time.Now()))
		b, err := json.Marshal(a)
		if err != nil {
			return 0, err
		}
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+"/v1/endpoints", bytes.NewReader(b))
		if err != nil {
			return 0, err
		}
		resp, err := client.Do(q)
		if err != nil {
			return 0, err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return 0, fmt.Errorf("announcement: status %d", resp.StatusCode)
		}
	}
	return float64((processorTime() - before).Microseconds()) / wireAnnouncements, nil
}

// take does what the router's handler does with an announcement.
func (f *endpointFleet) take(w http.ResponseWriter, r *http.Request) {
	var a tracker.Announcement
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := rattanhoist.MomentOf(time.Now())
	done, err := f.told.Announce(a, now)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"token": f.told.Token(now), "usable": done.Usable, "renew_after_ms": router.RenewInterval.Milliseconds()})
}

// gossipServer answers pulls from a fleet's tracker.
type gossipServer struct {
	messenger.UnimplementedRouterPeerServer
	fleet *endpointFleet
}

// Gossip implements messenger.RouterPeerServer.
func (s *gossipServer) Gossip(_ context.Context, q *messenger.GossipRequest) (*messenger.GossipReply, error) {
	return s.fleet.told.Reply(q, s.fleet.now.Add(pulledAfter)), nil
}

// pullOverRPC returns the processor time of one pull in us, the announcements
// between the pulls not counted.
func (f *endpointFleet) pullOverRPC(ctx context.Context) (float64, error) {
	key := []byte("key-of-an-experiment")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	s := messenger.NewServer(messenger.Keys{messenger.RoleMember: key})
	messenger.RegisterRouterPeerServer(s, &gossipServer{fleet: f})
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	conn, err := messenger.NewDialer("puller", messenger.RoleMember, key).Dial(l.Addr().String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	client := messenger.NewRouterPeerClient(conn)
	var spent time.Duration
	for range wirePulls {
		if _, err := f.renew(); err != nil {
			return 0, err
		}
		before := processorTime()
		reply, err := client.Gossip(ctx, f.peer.Request("puller", endpointZone, nil))
		if err != nil {
			return 0, err
		}
		f.pulls.Merge(f.peer, reply, f.now.Add(pulledAfter), f.now.Add(pulledAfter))
		spent += processorTime() - before
	}
	return float64(spent.Microseconds()) / wirePulls, nil
}
