// Package keeper implements the process that holds durable state: the
// spending rights of its availability zone and a copy of the configuration
// log.
package keeper

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/acceptor"
	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/reporter"
	"rattanhoist.example/rattanhoist/storer"
)

// Keeper is a keeper process: its store, its gRPC servers and its connections
// to other processes.
type Keeper struct {
	settings *loader.Settings
	self     loader.Process
	log      *zap.Logger
	store    *storer.Store
	peers    *peers
	dialer   *messenger.Dialer
	budget   *budgetServer
	claims   *claimServer
	config   *configurationServer
	server   *grpc.Server
}

// New opens the keeper's store and restores its state. The returned function
// closes the store and the connections.
func New(s *loader.Settings, self loader.Process, log *zap.Logger) (*Keeper, func(), error) {
	store, closeStore, err := storer.Open(self.DataDir())
	if err != nil {
		return nil, nil, err
	}
	dialer := messenger.NewDialer(self.Name(), messenger.RoleMember, s.DeploymentKey(), messenger.WithTLS(s.TLS()))
	p, closePeers, err := newPeers(s, self, dialer)
	if err != nil {
		_ = closeStore()
		return nil, nil, err
	}
	k := &Keeper{settings: s, self: self, log: log, store: store, peers: p, dialer: dialer}
	cleanUp := func() {
		closePeers()
		if err := closeStore(); err != nil {
			log.Error("store did not close", zap.Error(err))
		}
	}
	if k.config, err = newConfigurationServer(k); err != nil {
		cleanUp()
		return nil, nil, err
	}
	k.budget = newBudgetServer(k)
	if k.claims, err = newClaimServer(k); err != nil {
		cleanUp()
		return nil, nil, err
	}
	k.server = messenger.NewServer(messenger.Keys{
		messenger.RoleMember:   s.DeploymentKey(),
		messenger.RoleOperator: s.OperatorKey(),
	}, messenger.WithTLS(s.TLS()))
	messenger.RegisterBudgetKeeperServer(k.server, k.budget)
	messenger.RegisterClaimKeeperServer(k.server, k.claims)
	messenger.RegisterConfigurationKeeperServer(k.server, k.config)
	messenger.RegisterOperationsServer(k.server, &operationsServer{keeper: k})
	messenger.RegisterLogKeeperServer(k.server, &logServer{loop: k.config.loop})
	return k, cleanUp, nil
}

// Run serves until ctx ends or the store fails.
func (k *Keeper) Run(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	p := k.settings.Policy()
	resources := acceptor.Resources{MemoryBytes: p.MemoryBytes(), Descriptors: p.MaxDescriptors(), Shares: acceptor.KeeperShares}
	l, err := acceptor.New(enforcer.NewMemory(resources.RequestMemory()), k.log).Listen("processes", k.self.RPC(), resources.ForPeers())
	if err != nil {
		return err
	}
	var cutter *messenger.Cutter
	if k.settings.Policy().FaultPortEnabled() {
		cutter = k.dialer.Cutter()
	}
	if err := reporter.Serve(ctx, k.self.Debug(), resources, cutter, &operationsServer{keeper: k}, k.log); err != nil {
		return err
	}
	go func() { cancel(k.server.Serve(l)) }()
	go func() { cancel(k.budget.run(ctx)) }()
	go func() { cancel(k.claims.run(ctx)) }()
	go func() { cancel(k.config.run(ctx)) }()
	k.log.Info("keeper serves", zap.String("name", k.self.Name()), zap.String("zone", k.self.Zone()),
		zap.Uint64("configuration_version", k.config.version()))
	<-ctx.Done()
	k.server.Stop()
	// If the parent context ended, the process was asked to stop, which is
	// not an error.
	if parent.Err() != nil {
		return nil
	}
	return context.Cause(ctx)
}
