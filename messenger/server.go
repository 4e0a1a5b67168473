package messenger

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// NewServer returns a gRPC server that admits only peers with a proof.
func NewServer(k Keys, list ...Option) *grpc.Server {
	g, p := newGuard(k, time.Now), newPendingCalls(maxPendingCalls)
	options := append(serverTracing(),
		grpc.Creds(carrierCredentials{newOptions(list).credentials()}),
		grpc.InTapHandle(p.begin), grpc.MaxConcurrentStreams(maxCallsPerConnection),
		grpc.MaxHeaderListSize(maxLinkHeaderBytes), grpc.ConnectionTimeout(linkHandshakeTimeout),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		// With the library's default, the server closes connections that ping as often as those of
		// Dial, and calls in progress would fail every half minute.
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2}),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			if err := g.check(ctx, info.FullMethod); err != nil {
				return nil, count(info.FullMethod, err)
			}
			p.received(ctx)
			sendPlainAnswer(ctx)
			out, err := h(ctx, req)
			return out, count(info.FullMethod, err)
		}),
		grpc.ChainStreamInterceptor(func(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			if err := g.check(ss.Context(), info.FullMethod); err != nil {
				return count(info.FullMethod, err)
			}
			p.received(ss.Context())
			return count(info.FullMethod, h(srv, ss))
		}),
	)
	return grpc.NewServer(options...)
}
