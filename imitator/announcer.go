package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Announcement is what an endpoint says of itself.
type Announcement struct {
	Name          string            `json:"name"`
	Service       string            `json:"service"`
	Zone          string            `json:"zone"`
	Address       string            `json:"address"`
	Labels        map[string]string `json:"labels"`
	Incarnation   uint64            `json:"incarnation"`
	Sequence      uint64            `json:"sequence"`
	Capacity      int64             `json:"capacity"`
	Load          int64             `json:"load"`
	Leaving       bool              `json:"leaving"`
	ChecksFencing bool              `json:"checks_fencing"`
}

// Announcer renews an endpoint's announcement at routers.
type Announcer struct {
	routers []string
	key     string
	every   time.Duration
	load    func() int64
	client  *http.Client
	mu      sync.Mutex
	state   Announcement
	// Silent says that no renewals are sent.
	silent bool
}

// NewAnnouncer returns an announcer to routers given as host:port.
func NewAnnouncer(a Announcement, routers []string, key string, every time.Duration, load func() int64) *Announcer {
	a.Incarnation = uint64(time.Now().UnixNano())
	return &Announcer{routers: routers, key: key, every: every, load: load, state: a, client: &http.Client{Timeout: time.Second}}
}

// Run announces until ctx ends, then says that the endpoint leaves.
func (a *Announcer) Run(ctx context.Context) {
	t := time.NewTicker(a.every)
	defer t.Stop()
	for {
		a.renew()
		select {
		case <-ctx.Done():
			a.Leave()
			return
		case <-t.C:
		}
	}
}

func (a *Announcer) renew() {
	a.mu.Lock()
	silent := a.silent
	a.mu.Unlock()
	if !silent {
		a.announce(func(*Announcement) {})
	}
}

// Leave says that the endpoint takes no new work and ends the renewals.
func (a *Announcer) Leave() {
	a.Silence()
	a.announce(func(s *Announcement) { s.Leaving = true })
}

// Join announces under a new incarnation and renews from then on.
func (a *Announcer) Join() {
	a.announce(func(s *Announcement) {
		s.Leaving = false
		s.Incarnation = uint64(time.Now().UnixNano())
		s.Sequence = 1
	})
	a.mu.Lock()
	a.silent = false
	a.mu.Unlock()
}

// Silence ends the renewals without a word.
func (a *Announcer) Silence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = true
}

func (a *Announcer) announce(change func(*Announcement)) {
	a.mu.Lock()
	a.state.Sequence++
	change(&a.state)
	a.state.Load = a.load()
	b, err := json.Marshal(a.state)
	a.mu.Unlock()
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	for _, r := range a.routers {
		wg.Go(func() { a.post(r, b) })
	}
	wg.Wait()
}

func (a *Announcer) post(router string, body []byte) {
	r, err := http.NewRequest(http.MethodPost, "http://"+router+"/v1/endpoints", bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+a.key)
	resp, err := a.client.Do(r)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// Control adds the commands POST /leave, /join and /silence to a stand-in.
func (a *Announcer) Control(next http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle("/", next)
	for path, command := range map[string]func(){"/leave": a.Leave, "/join": a.Join, "/silence": a.Silence} {
		m.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
			command()
			w.WriteHeader(http.StatusNoContent)
		})
	}
	return m
}
