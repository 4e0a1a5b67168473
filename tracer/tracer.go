// Package tracer sets OpenTelemetry up and makes the spans of a request's
// hops. With the exporter "none" a hop costs one comparison.
package tracer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// ErrExporter says that no exporter has the name.
var ErrExporter = merry.Sentinel("unknown trace exporter")

// None is the exporter that turns traces off.
const None = "none"

// Options choose the exporter of one process.
type Options struct {
	// Process names the process in its spans.
	Process string
	// Exporter is one of Exporters.
	Exporter string
	// File takes the spans of the exporter "file", one JSON object each.
	File string
	// Endpoint is host:port of the collector for the exporter "otlp".
	Endpoint string
	// Ratio is the part of new traces that is kept, 0 to 1. Traces that a
	// caller began are kept as the caller says.
	Ratio float64
}

// makeExporter returns an exporter and what to close after it.
type makeExporter func(context.Context, Options) (sdk.SpanExporter, io.Closer, error)

var exporters = map[string]makeExporter{
	None: func(context.Context, Options) (sdk.SpanExporter, io.Closer, error) { return nil, nil, nil },
	"stdout": func(context.Context, Options) (sdk.SpanExporter, io.Closer, error) {
		e, err := stdouttrace.New()
		return e, nil, err
	},
	"file": openFile,
	"otlp": func(ctx context.Context, o Options) (sdk.SpanExporter, io.Closer, error) {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure())
		return e, nil, err
	},
}

const traceFileMode = 0o600

func openFile(_ context.Context, o Options) (sdk.SpanExporter, io.Closer, error) {
	f, err := os.OpenFile(o.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, nil, err
	}
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))
	return e, f, err
}

// Exporters lists the names of the exporters in order.
func Exporters() []string {
	var names []string
	for n := range exporters {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// current makes the spans; nil while traces are off. It is set once, before
// the process serves.
var current trace.Tracer

var propagator = propagation.TraceContext{}

// On reports whether traces are on.
func On() bool { return current != nil }

// Start turns traces on for the process. The returned function exports what
// is left and turns them off.
func Start(ctx context.Context, o Options) (func(context.Context) error, error) {
	f, ok := exporters[o.Exporter]
	if !ok {
		return nil, merry.Errorf("%w: %q: want one of %v", ErrExporter, o.Exporter, Exporters())
	}
	e, file, err := f(ctx, o)
	if err != nil {
		return nil, err
	}
	if e == nil {
		return func(context.Context) error { return nil }, nil
	}
	p := sdk.NewTracerProvider(sdk.WithBatcher(e), sdk.WithSampler(sampler(o.Ratio)))
	otel.SetTracerProvider(p)
	otel.SetTextMapPropagator(propagator)
	current = p.Tracer("rattanhoist", trace.WithInstrumentationAttributes(attribute.String("process", o.Process)))
	return func(ctx context.Context) error {
		current = nil
		err := p.Shutdown(ctx)
		if file != nil {
			err = errors.Join(err, file.Close())
		}
		return merry.Prepend(err, "trace exporter")
	}, nil
}

// sampler keeps a ratio of the traces that begin with a request, and none of
// those that begin elsewhere: the spans of gossip and of configuration streams
// would outnumber those of requests.
func sampler(ratio float64) sdk.Sampler {
	return sdk.ParentBased(requestSampler{sdk.TraceIDRatioBased(ratio)})
}

type requestSampler struct{ sdk.Sampler }

func (s requestSampler) ShouldSample(p sdk.SamplingParameters) sdk.SamplingResult {
	if p.Name != HopRequest {
		return sdk.SamplingResult{Decision: sdk.Drop}
	}
	return s.Sampler.ShouldSample(p)
}

// Names of the hops of a request.
const (
	HopRequest  = "request"
	HopAdmit    = "admit"
	HopReserve  = "reserve"
	HopPick     = "pick"
	HopDispatch = "dispatch"
	HopBill     = "bill"
	HopHome     = "hand_over_to_home"
	HopClaim    = "claim"
)

// Span is one hop of a request; the zero value does nothing.
type Span struct{ s trace.Span }

// Begin starts the span of a hop. Call End when the hop has ended.
func Begin(ctx context.Context, hop string) (context.Context, Span) {
	if current == nil {
		return ctx, Span{}
	}
	ctx, s := current.Start(ctx, hop, trace.WithSpanKind(kinds[hop]))
	return ctx, Span{s}
}

var kinds = map[string]trace.SpanKind{
	HopRequest:  trace.SpanKindServer,
	HopDispatch: trace.SpanKindClient,
	HopHome:     trace.SpanKindClient,
}

// traceparentHeader is the field of the W3C trace context.
const traceparentHeader = "traceparent"

// BeginCall starts the span of a call that goes over a stream, where the
// context is of a trace that is kept; method is "/service/method" of gRPC.
func BeginCall(ctx context.Context, method string) (context.Context, Span) {
	if current == nil || !trace.SpanContextFromContext(ctx).IsSampled() {
		return ctx, Span{}
	}
	ctx, s := current.Start(ctx, strings.TrimPrefix(method, "/"), trace.WithSpanKind(trace.SpanKindClient))
	return ctx, Span{s}
}

// Traceparent returns the W3C trace context of a trace that is kept, or "".
func Traceparent(ctx context.Context) string {
	if current == nil || !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	c := propagation.MapCarrier{}
	propagator.Inject(ctx, c)
	return c.Get(traceparentHeader)
}

// BeginServed starts the span of a call that came over a stream; see BeginCall.
func BeginServed(ctx context.Context, method, traceparent string) (context.Context, Span) {
	if current == nil || traceparent == "" {
		return ctx, Span{}
	}
	ctx = propagator.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
	ctx, s := current.Start(ctx, strings.TrimPrefix(method, "/"), trace.WithSpanKind(trace.SpanKindServer))
	return ctx, Span{s}
}

// Set adds an attribute.
func (s Span) Set(key, value string) {
	if s.s != nil {
		s.s.SetAttributes(attribute.String(key, value))
	}
}

// End ends the span, as failed when err is set.
func (s Span) End(err error) {
	if s.s == nil {
		return
	}
	if err != nil {
		s.s.SetStatus(codes.Error, err.Error())
	}
	s.s.End()
}

// TraceID returns the trace of a context, or "".
func TraceID(ctx context.Context) string {
	if c := trace.SpanContextFromContext(ctx); c.HasTraceID() {
		return c.TraceID().String()
	}
	return ""
}

// Inject writes the trace of a context into headers (W3C trace context).
func Inject(ctx context.Context, h http.Header) {
	if current != nil {
		propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}

// extract takes the trace of a caller from headers.
func extract(ctx context.Context, h http.Header) context.Context {
	if current == nil {
		return ctx
	}
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Middleware makes the span of a request in an HTTP handler.
func Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if current == nil {
			next.ServeHTTP(w, r)
			return
		}
		ctx, s := Begin(extract(r.Context(), r.Header), HopRequest)
		s.Set("http.request.method", r.Method)
		s.Set("url.path", r.URL.Path)
		defer s.End(nil)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Link names the span of a request for work that outlives it or that several
// requests share; the zero value names none.
type Link struct{ c trace.SpanContext }

// LinkOf returns the link to a context's span.
func LinkOf(ctx context.Context) Link {
	if current == nil {
		return Link{}
	}
	return Link{trace.SpanContextFromContext(ctx)}
}

// IsZero reports whether the link names no span.
func (l Link) IsZero() bool { return !l.c.IsValid() }

// Resume returns a context whose spans belong to the link's.
func (l Link) Resume(ctx context.Context) context.Context {
	if l.IsZero() {
		return ctx
	}
	return trace.ContextWithSpanContext(ctx, l.c)
}
