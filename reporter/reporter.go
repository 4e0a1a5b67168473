// Package reporter serves a process's counters and state on its debug
// address and, where the settings allow it, the fault port of tests.
package reporter

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	readHeaderTimeout = 2 * time.Second
	stateTimeout      = 2 * time.Second
)

// stater tells the state of a process; Operations servers do.
type stater interface {
	State(context.Context, *messenger.StateRequest) (*messenger.StateReply, error)
}

// Serve serves on address until ctx ends; an empty address serves nothing.
// With a cutter, POST /fault/cut and /fault/heal take the form value address.
func Serve(ctx context.Context, address string, cutter *messenger.Cutter, s stater, log *zap.Logger) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h := &http.Server{Handler: handler(cutter, s), ReadHeaderTimeout: readHeaderTimeout}
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

func handler(cutter *messenger.Cutter, s stater) http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /debug/vars", expvar.Handler())
	m.HandleFunc("GET /state", func(w http.ResponseWriter, r *http.Request) { writeState(w, r, s) })
	if cutter != nil {
		m.HandleFunc("POST /fault/cut", func(_ http.ResponseWriter, r *http.Request) { cutter.Cut(r.FormValue("address")) })
		m.HandleFunc("POST /fault/heal", func(_ http.ResponseWriter, r *http.Request) { cutter.Heal(r.FormValue("address")) })
	}
	return m
}

// writeState answers with the process's StateReply as JSON.
func writeState(w http.ResponseWriter, r *http.Request, s stater) {
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
