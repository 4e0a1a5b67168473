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
	// Token is that of the router's last answer; it bounds the age.
	Token string `json:"token,omitempty"`
}

// Announcer renews an endpoint's announcement at routers.
type Announcer struct {
	routers []*announcedRouter
	key     string
	every   time.Duration
	load    func() int64
	client  *http.Client
	mu      sync.Mutex
	state   Announcement
	// Silent says that no renewals are sent.
	silent bool
}

// announcedRouter is one router that is told.
type announcedRouter struct {
	address string
	// Busy is held while a message is on its way; it guards token.
	busy  sync.Mutex
	token string
}

// NewAnnouncer returns an announcer to routers given as host:port.
func NewAnnouncer(a Announcement, routers []string, key string, every time.Duration, load func() int64) *Announcer {
	a.Incarnation = uint64(time.Now().UnixNano())
	out := &Announcer{key: key, every: every, load: load, state: a, client: &http.Client{Timeout: time.Second}}
	for _, r := range routers {
		out.routers = append(out.routers, &announcedRouter{address: r})
	}
	return out
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

// renew tells every router that is not still being told: one that does not
// answer must not hold up the others.
func (a *Announcer) renew() {
	a.mu.Lock()
	silent := a.silent
	a.mu.Unlock()
	if silent {
		return
	}
	for _, r := range a.routers {
		if r.busy.TryLock() {
			go func() {
				defer r.busy.Unlock()
				a.tell(r)
			}()
		}
	}
}

// Leave says that the endpoint takes no new work and ends the renewals. It
// returns when every router that answers has been told.
func (a *Announcer) Leave() {
	a.mu.Lock()
	a.silent = true
	a.state.Leaving = true
	a.mu.Unlock()
	var wg sync.WaitGroup
	for _, r := range a.routers {
		wg.Go(func() {
			r.busy.Lock()
			defer r.busy.Unlock()
			a.tell(r)
		})
	}
	wg.Wait()
}

// Join announces under a new incarnation and renews from then on.
func (a *Announcer) Join() {
	a.mu.Lock()
	a.silent = false
	a.state.Leaving = false
	a.state.Incarnation = uint64(time.Now().UnixNano())
	a.mu.Unlock()
	a.renew()
}

// Silence ends the renewals without a word.
func (a *Announcer) Silence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = true
}

// tell announces to one router, and at once again when the router had no
// fresh token of its own back.
func (a *Announcer) tell(r *announcedRouter) {
	again, err := a.post(r)
	if err == nil && again {
		_, _ = a.post(r)
	}
}

// message returns the next announcement to one router.
func (a *Announcer) message(r *announcedRouter) Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Sequence++
	a.state.Load = a.load()
	m := a.state
	m.Token = r.token
	return m
}

// post sends one announcement; again asks for another one.
func (a *Announcer) post(r *announcedRouter) (again bool, err error) {
	m := a.message(r)
	b, err := json.Marshal(m)
	if err != nil {
		return false, err
	}
	q, err := http.NewRequest(http.MethodPost, "http://"+r.address+"/v1/endpoints", bytes.NewReader(b))
	if err != nil {
		return false, err
	}
	q.Header.Set("Authorization", "Bearer "+a.key)
	resp, err := a.client.Do(q)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct {
		Token  string `json:"token"`
		Usable bool   `json:"usable"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return false, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.token = reply.Token
	return reply.Token != "" && !reply.Usable && !m.Leaving && !a.silent, nil
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
