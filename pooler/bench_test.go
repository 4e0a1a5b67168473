package pooler_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/relayer"
)

// noRelay is a RelayDialer that is never expected to be asked.
type noRelay struct{ b *testing.B }

func (n noRelay) Dial(context.Context, relayer.Target) (*relayer.Conn, error) {
	n.b.Error("a relay was asked while the path works")
	return nil, relayer.ErrNoRelay
}

// BenchmarkExchange compares exchanges without relays and with relays that are not needed.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	for _, relays := range []bool{false, true} {
		b.Run(map[bool]string{false: "without", true: "with"}[relays], func(b *testing.B) {
			p := pooler.New(func(http.Header, string) pooler.AnswerMatch { return pooler.MatchOwn }, func() {})
			if relays {
				p.UseRelays(noRelay{b})
			}
			t := pooler.Target{ID: "e", Address: l.Addr().String(), Service: "s", MaxConnections: 4}
			for b.Loop() {
				a, err := p.Exchange(b.Context(), t, &pooler.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}, ID: "r"})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, a.Body); err != nil {
					b.Fatal(err)
				}
				a.Close()
			}
		})
	}
}
