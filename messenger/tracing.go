package messenger

import (
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/tracer"
)

// serverTracing adds a span to every call served, when traces are on.
func serverTracing() []grpc.ServerOption {
	if !tracer.Enabled() {
		return nil
	}
	return []grpc.ServerOption{grpc.StatsHandler(otelgrpc.NewServerHandler())}
}

// clientTracing adds a span to every call made within a trace, when traces
// are on.
func clientTracing() []grpc.DialOption {
	if !tracer.Enabled() {
		return nil
	}
	return []grpc.DialOption{grpc.WithStatsHandler(otelgrpc.NewClientHandler())}
}
