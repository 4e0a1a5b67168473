// Package tracer configures OpenTelemetry tracing and creates the spans for the
// steps of a request, called hops. With the exporter "none", a hop costs a
// single comparison.
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

// ErrExporter is returned by Start if the exporter name is unknown.
var ErrExporter = merry.Sentinel("unknown trace exporter")

// None is the name of the exporter that disables tracing.
const None = "none"

// Options configures tracing for one process.
type Options struct {
	// Process is the process name that is recorded with the spans.
	Process string
	// Exporter is one of the names that Exporters returns.
	Exporter string
	// File is the output file of the exporter "file". Each span is appended as
	// a JSON object.
	File string
	// Endpoint is the host:port of the collector for the exporter "otlp".
	Endpoint string
	// Ratio is the fraction of new traces to sample, from 0 to 1. For a trace
	// that a caller started, the sampling decision of the caller applies.
	Ratio float64
}

// exporterFactory creates an exporter, and optionally a closer to be closed
// after the exporter has shut down. A nil exporter disables tracing.
type exporterFactory func(context.Context, Options) (sdk.SpanExporter, io.Closer, error)

var exporterFactories = map[string]exporterFactory{
	None: func(context.Context, Options) (sdk.SpanExporter, io.Closer, error) { return nil, nil, nil },
	"stdout": func(context.Context, Options) (sdk.SpanExporter, io.Closer, error) {
		e, err := stdouttrace.New()
		return e, nil, err
	},
	"file": newFileExporter,
	"otlp": func(ctx context.Context, o Options) (sdk.SpanExporter, io.Closer, error) {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure())
		return e, nil, err
	},
}

const traceFileMode = 0o600

// newFileExporter creates an exporter that appends spans to the file of the
// options.
func newFileExporter(_ context.Context, o Options) (sdk.SpanExporter, io.Closer, error) {
	f, err := os.OpenFile(o.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, nil, err
	}
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))
	return e, f, err
}

// Exporters returns the names of the available exporters in alphabetical order.
func Exporters() []string {
	var names []string
	for n := range exporterFactories {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// activeTracer creates the spans. It is nil while tracing is disabled, and is
// set once, before the process serves requests.
var activeTracer trace.Tracer

var propagator = propagation.TraceContext{}

// Enabled reports whether tracing is enabled.
func Enabled() bool { return activeTracer != nil }

// Start enables tracing for the process. The returned function exports the
// remaining spans and disables tracing.
func Start(ctx context.Context, o Options) (func(context.Context) error, error) {
	f, ok := exporterFactories[o.Exporter]
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
	activeTracer = p.Tracer("rattanhoist", trace.WithInstrumentationAttributes(attribute.String("process", o.Process)))
	return func(ctx context.Context) error {
		activeTracer = nil
		err := p.Shutdown(ctx)
		if file != nil {
			err = errors.Join(err, file.Close())
		}
		return merry.Prepend(err, "trace exporter")
	}, nil
}

// sampler returns a sampler that keeps the given ratio of the traces that start
// with a request, and drops all others: the spans of gossip and configuration
// streams would outnumber those of requests.
func sampler(ratio float64) sdk.Sampler {
	return sdk.ParentBased(requestSampler{sdk.TraceIDRatioBased(ratio)})
}

// requestSampler drops every root span that is not a request.
type requestSampler struct{ sdk.Sampler }

// ShouldSample drops spans other than HopRequest and passes the others on to
// the embedded sampler.
func (s requestSampler) ShouldSample(p sdk.SamplingParameters) sdk.SamplingResult {
	if p.Name != HopRequest {
		return sdk.SamplingResult{Decision: sdk.Drop}
	}
	return s.Sampler.ShouldSample(p)
}

// Hops are the steps of processing a request. They are used as span names.
const (
	HopRequest  = "request"
	HopAdmit    = "admit"
	HopReserve  = "reserve"
	HopPick     = "pick"
	HopDispatch = "dispatch"
	HopBill     = "bill"
	HopHandOver = "hand_over_to_home"
	HopClaim    = "claim"
)

// Span is the span of one hop or call. Its zero value is a no-op.
type Span struct{ s trace.Span }

// StartSpan starts a span for a hop. The caller must call End when the hop is
// finished.
func StartSpan(ctx context.Context, hop string) (context.Context, Span) {
	if activeTracer == nil {
		return ctx, Span{}
	}
	ctx, s := activeTracer.Start(ctx, hop, trace.WithSpanKind(spanKinds[hop]))
	return ctx, Span{s}
}

// spanKinds maps hops to their OpenTelemetry span kind. Other hops are
// internal.
var spanKinds = map[string]trace.SpanKind{
	HopRequest:  trace.SpanKindServer,
	HopDispatch: trace.SpanKindClient,
	HopHandOver: trace.SpanKindClient,
}

// traceparentHeader is the header name defined by W3C Trace Context.
const traceparentHeader = "traceparent"

// StartClientSpan starts a client span for a call over a stream if the trace in ctx
// is sampled. The method has the gRPC form "/service/method".
func StartClientSpan(ctx context.Context, method string) (context.Context, Span) {
	if activeTracer == nil || !trace.SpanContextFromContext(ctx).IsSampled() {
		return ctx, Span{}
	}
	ctx, s := activeTracer.Start(ctx, strings.TrimPrefix(method, "/"), trace.WithSpanKind(trace.SpanKindClient))
	return ctx, Span{s}
}

// Traceparent returns the W3C traceparent value for the trace in ctx, or an
// empty string if the trace is not sampled.
func Traceparent(ctx context.Context) string {
	if activeTracer == nil || !trace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	c := propagation.MapCarrier{}
	propagator.Inject(ctx, c)
	return c.Get(traceparentHeader)
}

// StartServerSpan starts the server span for a call received over a stream. The
// traceparent comes from the caller; if it is empty, no span is started. The
// method has the gRPC form "/service/method".
func StartServerSpan(ctx context.Context, method, traceparent string) (context.Context, Span) {
	if activeTracer == nil || traceparent == "" {
		return ctx, Span{}
	}
	ctx = propagator.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
	ctx, s := activeTracer.Start(ctx, strings.TrimPrefix(method, "/"), trace.WithSpanKind(trace.SpanKindServer))
	return ctx, Span{s}
}

// Set sets a string attribute on the span.
func (s Span) Set(key, value string) {
	if s.s != nil {
		s.s.SetAttributes(attribute.String(key, value))
	}
}

// End ends the span. If err is not nil, the span status is set to Error.
func (s Span) End(err error) {
	if s.s == nil {
		return
	}
	if err != nil {
		s.s.SetStatus(codes.Error, err.Error())
	}
	s.s.End()
}

// TraceID returns the ID of the trace in ctx, or an empty string if there is
// none.
func TraceID(ctx context.Context) string {
	if c := trace.SpanContextFromContext(ctx); c.HasTraceID() {
		return c.TraceID().String()
	}
	return ""
}

// Inject writes the trace context of ctx into HTTP headers, in W3C Trace
// Context format.
func Inject(ctx context.Context, h http.Header) {
	if activeTracer != nil {
		propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}

// extract returns a context with the caller's trace context from HTTP headers.
func extract(ctx context.Context, h http.Header) context.Context {
	if activeTracer == nil {
		return ctx
	}
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Middleware returns an HTTP handler that creates a HopRequest span around each
// request to next.
func Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if activeTracer == nil {
			next.ServeHTTP(w, r)
			return
		}
		ctx, s := StartSpan(extract(r.Context(), r.Header), HopRequest)
		s.Set("http.request.method", r.Method)
		s.Set("url.path", r.URL.Path)
		defer s.End(nil)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Link refers to the span of a request, for work that outlives the request or
// that several requests share. The zero value refers to no span.
type Link struct{ c trace.SpanContext }

// LinkFromContext returns a link to the span in ctx, or the zero value if tracing is
// disabled.
func LinkFromContext(ctx context.Context) Link {
	if activeTracer == nil {
		return Link{}
	}
	return Link{trace.SpanContextFromContext(ctx)}
}

// IsZero reports whether the link refers to no span.
func (l Link) IsZero() bool { return !l.c.IsValid() }

// Resume returns a context in which new spans are children of the linked span.
func (l Link) Resume(ctx context.Context) context.Context {
	if l.IsZero() {
		return ctx
	}
	return trace.ContextWithSpanContext(ctx, l.c)
}
