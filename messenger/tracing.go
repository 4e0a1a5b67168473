package messenger

import (
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/tracer"
)

// serverTracing returns the option that adds a span to every call served, if tracing is enabled.
func serverTracing() []grpc.ServerOption {
	if !tracer.Enabled() {
		return nil
	}
	return []grpc.ServerOption{grpc.StatsHandler(otelgrpc.NewServerHandler())}
}

// clientTracing returns the option that adds a span to every call made within a trace, if tracing is
// enabled.
func clientTracing() []grpc.DialOption {
	if !tracer.Enabled() {
		return nil
	}
	return []grpc.DialOption{grpc.WithStatsHandler(otelgrpc.NewClientHandler())}
}
