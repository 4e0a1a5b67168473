package narrator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// lossWindow is the time in which losses count as one trouble.
const lossWindow = 2 * time.Second

// Loss is what callers did not get, or got late, for one cause.
type Loss struct {
	Cause    string `json:"cause"`
	Requests int    `json:"requests"`
	// Prompt is the sum of their prompts, in tokens.
	Prompt int64 `json:"prompt_tokens"`
	// Share is their part of all requests.
	Share float64 `json:"share"`
	// From is the begin of the lossWindow that holds most of them, Peak how many.
	From time.Time `json:"from"`
	Peak int       `json:"peak"`
	// Routes counts them by route.
	Routes map[string]int `json:"routes"`
}

// endedMessage is the routers' line about a request's final answer.
const endedMessage = "ended"

// Losses returns what became of the requests that did not end well, by cause,
// the largest first, and the number of all requests. A caller that was refused
// and comes back counts as another request.
func Losses(all []*Line) (losses []*Loss, requests int) {
	align(all)
	byCause := map[string][]*Line{}
	for _, l := range all {
		if l.Message != endedMessage {
			continue
		}
		requests++
		if c := cause(l); c != "" {
			byCause[c] = append(byCause[c], l)
		}
	}
	for _, c := range slices.Sorted(maps.Keys(byCause)) {
		losses = append(losses, lossOf(c, byCause[c], requests))
	}
	slices.SortStableFunc(losses, func(a, b *Loss) int { return cmp.Compare(b.Requests, a.Requests) })
	return losses, requests
}

func lossOf(cause string, lines []*Line, requests int) *Loss {
	x := &Loss{Cause: cause, Requests: len(lines), Share: float64(len(lines)) / float64(requests), Routes: map[string]int{}}
	windows := map[time.Time]int{}
	for _, l := range lines {
		if n, ok := l.Fields["prompt"].(float64); ok {
			x.Prompt += int64(n)
		}
		if r, ok := l.Fields["route"].(string); ok {
			x.Routes[r]++
		}
		w := l.Time().Truncate(lossWindow)
		windows[w]++
		if windows[w] > x.Peak || windows[w] == x.Peak && w.Before(x.From) {
			x.Peak, x.From = windows[w], w
		}
	}
	return x
}

// cause names why a request did not end well, or returns "".
func cause(l *Line) string {
	status, _ := l.Fields["status"].(float64)
	why, _ := l.Fields["why"].(string)
	if status >= 200 && status < 300 {
		if late, ok := l.Fields["late"].(string); ok {
			return "late: " + late
		}
		return ""
	}
	kind := "failed"
	switch status {
	case 0:
		kind = "left"
	case 400, 401, 402, 404, 408, 413, 421, 429, 503:
		kind = "refused"
	}
	if why == "" {
		why = "endpoint's own answer"
	}
	return kind + ": " + general(why)
}

// general returns the part of a reason that is the same for many requests: what
// follows a colon names one connection, or one moment.
func general(why string) string {
	parts := strings.Split(why, ": ")
	for i, p := range parts {
		if i > 0 && strings.ContainsAny(p, "0123456789") {
			return strings.Join(parts[:i], ": ")
		}
	}
	return strings.Join(parts, ": ")
}
