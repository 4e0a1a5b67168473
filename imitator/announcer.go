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
	mu      sync.Mutex
	state   Announcement
	client  *http.Client
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
		a.announce(false)
		select {
		case <-ctx.Done():
			a.announce(true)
			return
		case <-t.C:
		}
	}
}

func (a *Announcer) announce(leaving bool) {
	a.mu.Lock()
	a.state.Sequence++
	a.state.Leaving = leaving
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
