package router

import (
	"context"

	"rattanhoist.example/rattanhoist/messenger"
)

// peerServer implements the RPC service for keepers and other routers.
type peerServer struct {
	messenger.UnimplementedRouterPeerServer
	router *Router
}

// Recall returns unreserved rights, so that another router can spend them.
func (s *peerServer) Recall(ctx context.Context, r *messenger.RecallRequest) (*messenger.RecallReply, error) {
	return s.router.treasurer.Recall(ctx, r)
}

// Holdings reports the rights of this router to a keeper that lost its disk.
func (s *peerServer) Holdings(ctx context.Context, r *messenger.HoldingsRequest) (*messenger.HoldingsReply, error) {
	return s.router.treasurer.Holdings(ctx, r)
}
