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

	"rattanhoist.example/rattanhoist/messenger"
)

const readHeaderTimeout = 2 * time.Second

// Serve serves on address until ctx ends; an empty address serves nothing.
// With a cutter, POST /fault/cut and /fault/heal take the form value address.
func Serve(ctx context.Context, address string, cutter *messenger.Cutter, log *zap.Logger) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler(cutter), ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("debug server ended", zap.Error(err))
		}
	}()
	return nil
}

func handler(cutter *messenger.Cutter) http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /debug/vars", expvar.Handler())
	if cutter != nil {
		m.HandleFunc("POST /fault/cut", func(_ http.ResponseWriter, r *http.Request) { cutter.Cut(r.FormValue("address")) })
		m.HandleFunc("POST /fault/heal", func(_ http.ResponseWriter, r *http.Request) { cutter.Heal(r.FormValue("address")) })
	}
	return m
}
