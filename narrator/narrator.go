// Package narrator tells a request's story from the log files of a fleet's
// processes, whose clocks may differ.
package narrator

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// lineMost bounds one line, in bytes; the longest that the product writes
	// are a few kilobytes.
	lineMost = 1 << 20
	// ordinaryLag is how much later than the first process another may say that
	// it knows a configuration, with clocks that agree: a few questions to
	// keepers. Larger differences are taken for a difference of the clocks.
	ordinaryLag = 1500 * time.Millisecond
	// around is how far from a request's own lines others are part of its
	// story: the time that a router needs to find out about a cut.
	around = 1500 * time.Millisecond
)

// Line is one line of a log. As JSON it has the fields process, at, offset_ms,
// message, fields and own.
type Line struct {
	// Process wrote the line; At is when by its own clock, and Offset how far
	// that is ahead of the others'.
	Process string
	At      time.Time
	Offset  time.Duration
	Message string
	// Fields are the rest of the line.
	Fields map[string]any
	// Own says that the line names the request; others tell what was the case
	// around it.
	Own bool
}

// Time is when the line was written by the clocks that most processes share.
func (l *Line) Time() time.Time { return l.At.Add(-l.Offset) }

// MarshalJSON writes the line as other programs read it.
func (l *Line) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Process  string         `json:"process"`
		At       time.Time      `json:"at"`
		OffsetMS int64          `json:"offset_ms"`
		Message  string         `json:"message"`
		Fields   map[string]any `json:"fields"`
		Own      bool           `json:"own"`
	}{l.Process, l.At, l.Offset.Milliseconds(), l.Message, l.Fields, l.Own})
}

// Text returns the fields as text, by name.
func (l *Line) Text() string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		b, err := json.Marshal(l.Fields[k])
		if err != nil {
			b = []byte(fmt.Sprint(l.Fields[k]))
		}
		parts = append(parts, k+"="+string(b))
	}
	return strings.Join(parts, " ")
}

// Read returns the lines of one file and how many were not understood. What
// stands before the first brace of a line is skipped: collectors put their own
// time there.
func Read(r io.Reader, file string) (lines []*Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineMost)
	for s.Scan() {
		if l := parse(s.Bytes(), file); l != nil {
			lines = append(lines, l)
		} else if len(bytes.TrimSpace(s.Bytes())) > 0 {
			skipped++
		}
	}
	return lines, skipped, s.Err()
}

func parse(b []byte, file string) *Line {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return nil
	}
	l := &Line{Process: file}
	if err := json.Unmarshal(b[i:], &l.Fields); err != nil {
		return nil
	}
	at, ok := l.Fields["ts"].(float64)
	message, named := l.Fields["msg"].(string)
	if !ok || !named {
		return nil
	}
	l.At, l.Message = time.UnixMicro(int64(at*1e6)).UTC(), message
	if p, ok := l.Fields["process"].(string); ok {
		l.Process = p
	}
	for _, k := range []string{"ts", "msg", "process", "level", "caller"} {
		delete(l.Fields, k)
	}
	return l
}

// Story returns the lines that name a request, with those that tell what its
// processes believed meanwhile, in order. It returns none if no line names it.
func Story(all []*Line, request string) []*Line {
	align(all)
	var own, out []*Line
	for _, l := range all {
		l.Own = l.Fields["request"] == request
		if l.Own {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	s := scopeOf(own)
	for _, l := range all {
		if l.Own || s.covers(l) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b *Line) int {
		return cmp.Or(a.Time().Compare(b.Time()), cmp.Compare(a.Process, b.Process))
	})
	return out
}

// scope is what a request had to do with.
type scope struct {
	from, to             time.Time
	processes, endpoints map[string]bool
	workspace            string
	// Content is "" unless an endpoint broke off under the request or it was held back.
	content string
}

func scopeOf(own []*Line) *scope {
	s := &scope{processes: map[string]bool{}, endpoints: map[string]bool{}, from: own[0].Time(), to: own[0].Time()}
	for _, l := range own {
		begun := l.Time()
		if took, ok := l.Fields["took"].(float64); ok {
			begun = begun.Add(-time.Duration(took * float64(time.Second)))
		}
		if begun.Before(s.from) {
			s.from = begun
		}
		if l.Time().After(s.to) {
			s.to = l.Time()
		}
		s.processes[l.Process] = true
		if c, ok := l.Fields["content"].(string); ok {
			s.content = c
		}
		if w, ok := l.Fields["workspace"].(string); ok {
			s.workspace = w
		}
		list, _ := l.Fields["endpoints"].([]any)
		for _, e := range list {
			if id, ok := e.(string); ok {
				s.endpoints[id] = true
			}
		}
	}
	return s
}

// totalMessage is the keepers' line about where a workspace's total is.
const totalMessage = "prepaid total"

// states are messages that stay true until another of the same kind, so the
// last one before a request belongs to its story however old it is.
var states = map[string]string{
	"no keeper answers; serving what is known": "keepers", "keepers answer again": "keepers",
	"configuration in force": "configuration",
}

// equals reports whether a line tells of a request equal to this one. Why one is held
// back is told long before it comes.
func (s *scope) equals(l *Line) bool {
	if s.content == "" {
		return false
	}
	list, _ := l.Fields["contents"].([]any)
	return l.Fields["content"] == s.content || slices.Contains(list, any(s.content))
}

func (s *scope) covers(l *Line) bool {
	if _, other := l.Fields["request"]; other {
		return false
	}
	if s.equals(l) {
		return true
	}
	if l.Time().Before(s.from.Add(-around)) || l.Time().After(s.to.Add(around)) {
		return false
	}
	if e, ok := l.Fields["endpoint"].(string); ok {
		return s.endpoints[e]
	}
	if w, ok := l.Fields["workspace"].(string); ok {
		return w == s.workspace
	}
	if list, ok := l.Fields["workspaces"].([]any); ok && !slices.Contains(list, any(s.workspace)) {
		return false
	}
	return s.processes[l.Process] || l.Message == "log" || strings.HasPrefix(l.Message, "disk ")
}

// Before returns the last line of each kind of state that a request's process
// had written before its story begins, and the last one about its workspace's
// total.
func Before(all, story []*Line) []*Line {
	i := slices.IndexFunc(story, func(l *Line) bool { return l.Own })
	if i < 0 {
		return nil
	}
	process, at := story[i].Process, story[0].Time()
	workspace := scopeOf(story[i : i+1]).workspace
	last := map[string]*Line{}
	for _, l := range all {
		kind, ok := states[l.Message]
		if l.Message == totalMessage {
			kind, ok = totalMessage, l.Fields["workspace"] == workspace
		} else {
			ok = ok && l.Process == process
		}
		if !ok || !l.Time().Before(at) {
			continue
		}
		if o := last[kind]; o == nil || o.Time().Before(l.Time()) {
			last[kind] = l
		}
	}
	out := slices.Collect(maps.Values(last))
	slices.SortFunc(out, func(a, b *Line) int { return a.Time().Compare(b.Time()) })
	return out
}
