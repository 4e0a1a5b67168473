package router

import (
	"net"
	"net/http"
	"slices"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// connect creates the clients for keepers and other routers; the returned
// function closes them.
func (r *Router) connect() (func(), error) {
	s := r.settings
	r.dialer = messenger.NewDialer(r.self.Name(), messenger.RoleMember, s.DeploymentKey(), messenger.WithTLS(s.TLS()))
	var opened cleanUps
	var err error
	if r.keeperConn, err = r.dialer.Dial(zoneKeeper(s, r.self.Zone()).RPC()); err != nil {
		return nil, err
	}
	opened.add(func() { _ = r.keeperConn.Close() })
	var closeOne func()
	if r.treasurer, closeOne, err = newTreasurer(s, r.self, r.dialer, r.keeperConn, r.log); err != nil {
		opened.run()
		return nil, err
	}
	opened.add(closeOne)
	if r.peers, closeOne, err = newPeerTable(s, r.self, r.dialer); err != nil {
		opened.run()
		return nil, err
	}
	opened.add(closeOne)
	if r.claims, closeOne, err = newClaimKeepers(s, r.dialer); err != nil {
		opened.run()
		return nil, err
	}
	opened.add(closeOne)
	r.gossip = newGossiper(r)
	opened.add(r.gossip.close)
	return opened.run, nil
}

// cleanUps is a stack of functions that release resources.
type cleanUps []func()

// add pushes a function onto the stack.
func (c *cleanUps) add(f func()) { *c = append(*c, f) }

// run calls the functions in reverse order.
func (c *cleanUps) run() {
	for _, f := range slices.Backward(*c) {
		f()
	}
}

// registerRPC creates the gRPC server and registers the services of this
// router.
func (r *Router) registerRPC() {
	s := r.settings
	r.peerRPC = messenger.NewServer(messenger.Keys{
		messenger.RoleMember:   s.DeploymentKey(),
		messenger.RoleOperator: s.OperatorKey(),
	}, messenger.WithTLS(s.TLS()))
	messenger.RegisterRouterPeerServer(r.peerRPC, &peerServer{router: r})
	messenger.RegisterHomeRouterServer(r.peerRPC, &homeServer{router: r})
	messenger.RegisterOperationsServer(r.peerRPC, &operationsServer{router: r})
}

// newEngineClient returns the HTTP client for endpoints. It neither
// decompresses bodies nor follows redirects.
func newEngineClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerEndpoint, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
			DialContext: dialChecked(&net.Dialer{Timeout: dialTimeout}),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// zoneKeeper returns the keeper of a zone. Validated settings have one for each
// zone.
func zoneKeeper(s *loader.Settings, zone string) loader.Process {
	for _, p := range s.Processes(loader.KindKeeper) {
		if p.Zone() == zone {
			return p
		}
	}
	return loader.Process{}
}
