package narrator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// lossWindow is the length of the intervals in which losses are counted to find
// their peak.
const lossWindow = 2 * time.Second

// Loss summarizes the requests that failed, were refused or were answered late
// for one cause.
type Loss struct {
	Cause    string `json:"cause"`
	Requests int    `json:"requests"`
	// Prompt is the total number of prompt tokens of these requests.
	Prompt int64 `json:"prompt_tokens"`
	// Share is the fraction of all requests, from 0 to 1.
	Share float64 `json:"share"`
	// From is the start of the lossWindow with the most losses, and Peak is the
	// number of losses in it.
	From time.Time `json:"from"`
	Peak int       `json:"peak"`
	// Routes is the number of losses by route.
	Routes map[string]int `json:"routes"`
}

// endedMessage is the message that routers log with the final answer to a
// request.
const endedMessage = "ended"

// Losses groups the requests that did not end well by cause, the most frequent
// cause first. It also returns the total number of requests. A retry by a
// caller that was refused counts as another request.
func Losses(all []*Line) (losses []*Loss, requests int) {
	alignClocks(all)
	byCause := map[string][]*Line{}
	for _, l := range all {
		if l.Message != endedMessage {
			continue
		}
		requests++
		if c := lossCause(l); c != "" {
			byCause[c] = append(byCause[c], l)
		}
	}
	for _, c := range slices.Sorted(maps.Keys(byCause)) {
		losses = append(losses, summarizeLoss(c, byCause[c], requests))
	}
	slices.SortStableFunc(losses, func(a, b *Loss) int { return cmp.Compare(b.Requests, a.Requests) })
	return losses, requests
}

// summarizeLoss builds the Loss of one cause from the final lines of its
// requests; requests is the total number of requests.
func summarizeLoss(cause string, lines []*Line, requests int) *Loss {
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

// lossCause returns the cause why a request failed, was refused, was abandoned
// by its caller or was answered late. It returns an empty string for a request
// that ended well.
func lossCause(l *Line) string {
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
	return kind + ": " + generalizeReason(why)
}

// generalizeReason strips the parts of a reason that are specific to one
// request, so that equal causes can be grouped. It cuts the reason at the first
// part after a colon that contains a digit, since such a part identifies one
// connection or one moment.
func generalizeReason(why string) string {
	parts := strings.Split(why, ": ")
	for i, p := range parts {
		if i > 0 && strings.ContainsAny(p, "0123456789") {
			return strings.Join(parts[:i], ": ")
		}
	}
	return strings.Join(parts, ": ")
}
