// Package reporter serves the metrics and state of a process over HTTP on its
// debug address and, if the settings allow it, the fault injection endpoints for
// tests. It also provides latency histograms and a non-blocking log writer.
package reporter

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"rattanhoist.example/rattanhoist/acceptor"
	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// readHeaderTimeout, readTimeout, writeTimeout and idleTimeout bound how long a client may take to send its
	// head and its request, to read the answer, and for its next request.
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 5 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 30 * time.Second
	stateTimeout      = 2 * time.Second
	// maxFaultBytes bounds the body of a call that injects a fault, and requestMemory all that clients hold, in
	// bytes.
	maxFaultBytes = 4 << 10
	requestMemory = 1 << 20
	// maxAnswers bounds the answers that are made at the same time.
	maxAnswers = 4
)

// stateProvider returns the state of a process. Servers of the Operations service
// implement it.
type stateProvider interface {
	State(context.Context, *messenger.StateRequest) (*messenger.StateReply, error)
}

// Serve starts the debug server on address in the background and stops it when
// ctx is done. It does nothing if address is empty. If cutter is not nil, POST
// /fault/cut starts a simulated network partition to the address in the form
// value "address", and POST /fault/heal ends it. The resources are those of the process.
func Serve(ctx context.Context, address string, resources acceptor.Resources, cutter *messenger.Cutter, s stateProvider, log *zap.Logger) error {
	if address == "" {
		return nil
	}
	l, err := acceptor.New(enforcer.NewMemory(requestMemory), log).Listen("debug", address, resources.ForProbes())
	if err != nil {
		return err
	}
	h := &http.Server{
		Handler: acceptor.LimitAnswers(maxAnswers, newHandler(cutter, s)), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
	l.Track(h)
	go func() {
		<-ctx.Done()
		_ = h.Close()
	}()
	go func() {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("debug server ended", zap.Error(err))
		}
	}()
	return nil
}

// newHandler returns the HTTP handler of the debug server. It includes the fault
// injection endpoints only if cutter is not nil.
func newHandler(cutter *messenger.Cutter, s stateProvider) http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /debug/vars", expvar.Handler())
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	m.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) { writeState(w, r, s) })
	if cutter != nil {
		m.HandleFunc("POST /fault/cut", func(w http.ResponseWriter, r *http.Request) { cutter.Cut(faultAddress(w, r)) })
		m.HandleFunc("POST /fault/heal", func(w http.ResponseWriter, r *http.Request) { cutter.Heal(faultAddress(w, r)) })
	}
	return m
}

// faultAddress returns the form value "address".
func faultAddress(w http.ResponseWriter, r *http.Request) string {
	r.Body = http.MaxBytesReader(w, r.Body, maxFaultBytes)
	return r.FormValue("address")
}

// writeState writes the StateReply of the process as JSON.
func writeState(w http.ResponseWriter, r *http.Request, s stateProvider) {
	ctx, cancel := context.WithTimeout(r.Context(), stateTimeout)
	defer cancel()
	state, err := s.State(ctx, &messenger.StateRequest{})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(state)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
