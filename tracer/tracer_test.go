package tracer_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/tracer"
)

const (
	callerTraceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	callerSpanID  = "00f067aa0ba902b7"
)

// exportedSpan holds the fields of an exported span that the tests check.
type exportedSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Status      struct{ Code, Description string }
}

func TestRequestContinuesTheCallersTrace(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "spans")
	stop, err := tracer.Start(t.Context(), tracer.Options{Exporter: "file", File: file, Ratio: 0})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	out := http.Header{}
	h := tracer.Middleware(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ctx, s := tracer.StartSpan(r.Context(), tracer.HopDispatch)
		tracer.Inject(ctx, out)
		s.End(errors.New("endpoint is gone"))
	}))
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	r.Header.Set("traceparent", "00-"+callerTraceID+"-"+callerSpanID+"-01")
	h.ServeHTTP(httptest.NewRecorder(), r)
	// No span is exported for a request without a caller's trace at ratio 0, or
	// for a hop outside of a request.
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	_, s := tracer.StartSpan(t.Context(), tracer.HopBill)
	s.End(nil)
	g.Expect(stop(context.Background())).To(gomega.Succeed())

	spans := readSpans(t, file)
	g.Expect(spans).To(gomega.HaveLen(2))
	dispatch, request := spans[0], spans[1]
	g.Expect(request.Name).To(gomega.Equal(tracer.HopRequest))
	g.Expect(request.Parent.SpanID).To(gomega.Equal(callerSpanID))
	g.Expect(dispatch.Parent.SpanID).To(gomega.Equal(request.SpanContext.SpanID))
	g.Expect(dispatch.SpanContext.TraceID).To(gomega.Equal(callerTraceID))
	g.Expect(dispatch.Status.Description).To(gomega.Equal("endpoint is gone"))
}

// readSpans parses the spans that the exporter "file" has written.
func readSpans(t *testing.T, file string) []exportedSpan {
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var out []exportedSpan
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		var e exportedSpan
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			t.Fatal(err)
		}
		out = append(out, e)
	}
	return out
}

func TestOffCostsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	stop, err := tracer.Start(t.Context(), tracer.Options{Exporter: tracer.None})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = stop(context.Background()) }()
	g.Expect(tracer.Enabled()).To(gomega.BeFalse())
	ctx, h := t.Context(), http.Header{}
	g.Expect(testing.AllocsPerRun(100, func() {
		c, s := tracer.StartSpan(ctx, tracer.HopPick)
		tracer.Inject(c, h)
		s.Set("k", "v")
		s.End(nil)
	})).To(gomega.BeZero())
	g.Expect(h).To(gomega.BeEmpty())
}

func TestUnknownExporter(t *testing.T) {
	_, err := tracer.Start(t.Context(), tracer.Options{Exporter: "paper"})
	if !errors.Is(err, tracer.ErrExporter) {
		t.Fatal(err)
	}
}

func TestOTLPGoesOverHTTP(t *testing.T) {
	g := gomega.NewWithT(t)
	paths := make(chan string, 8)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.URL.Path }))
	defer collector.Close()
	address := strings.TrimPrefix(collector.URL, "http://")
	stop, err := tracer.Start(t.Context(), tracer.Options{Exporter: "otlp", Endpoint: address, Ratio: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, s := tracer.StartSpan(t.Context(), tracer.HopRequest)
	s.End(nil)
	g.Expect(stop(context.Background())).To(gomega.Succeed())
	g.Expect(paths).To(gomega.Receive(gomega.Equal("/v1/traces")))
}

func TestLinkResumesATraceElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(tracer.LinkFromContext(t.Context()).IsZero()).To(gomega.BeTrue())
	file := filepath.Join(t.TempDir(), "spans")
	stop, err := tracer.Start(t.Context(), tracer.Options{Exporter: "file", File: file, Ratio: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, request := tracer.StartSpan(t.Context(), tracer.HopRequest)
	_, bill := tracer.StartSpan(tracer.LinkFromContext(ctx).Resume(context.Background()), tracer.HopBill)
	bill.End(nil)
	request.End(nil)
	g.Expect(stop(context.Background())).To(gomega.Succeed())
	spans := readSpans(t, file)
	g.Expect(spans).To(gomega.HaveLen(2))
	g.Expect(spans[0].Parent.SpanID).To(gomega.Equal(spans[1].SpanContext.SpanID))
}
