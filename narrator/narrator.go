// Package narrator reconstructs the history of a request from the log files of
// several processes. It corrects for differences between their clocks.
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
	// maxLineBytes is the maximum length of a log line. The longest lines that
	// the product writes are a few kilobytes.
	maxLineBytes = 1 << 20
	// maxPropagationDelay is the longest delay, with synchronized clocks,
	// between the first process and another one reporting the same
	// configuration. It allows for a few requests to keepers. Larger
	// differences are attributed to the clocks.
	maxPropagationDelay = 1500 * time.Millisecond
	// contextWindow is the time before and after a request's own lines in which
	// other lines are included in its history. It is the time that a router
	// needs to detect a network partition.
	contextWindow = 1500 * time.Millisecond
)

// Line is one line of a log. Its JSON form has the fields process, at,
// offset_ms, message, fields and own.
type Line struct {
	// Process is the process that wrote the line, At the time by its own clock,
	// and Offset how far that clock is ahead of the others.
	Process string
	At      time.Time
	Offset  time.Duration
	Message string
	// Fields holds the remaining fields of the line.
	Fields map[string]any
	// Own reports whether the line names the request, or another attempt of its
	// caller to get the same stream. Other lines of its history describe the
	// state of the system at the time.
	Own bool
}

// Time returns the time of the line, corrected by the clock offset of its
// process.
func (l *Line) Time() time.Time { return l.At.Add(-l.Offset) }

// MarshalJSON encodes the line in the format that other programs read.
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

// Text formats the fields as key=value pairs, sorted by key.
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

// Read parses the lines of one log file and returns them with the number of
// lines that could not be parsed. Text before the first brace of a line is
// skipped, because log collectors put their own timestamp there. The file name
// identifies the process for lines that do not name one.
func Read(r io.Reader, file string) (lines []*Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l := parse(s.Bytes(), file); l != nil {
			lines = append(lines, l)
		} else if len(bytes.TrimSpace(s.Bytes())) > 0 {
			skipped++
		}
	}
	return lines, skipped, s.Err()
}

// parse parses one log line. It returns nil if the line is not a JSON object
// with a timestamp and a message.
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

// History returns the history of a request in chronological order: the lines that
// name the request or another attempt of its stream, and lines that show the
// state known to the processes involved. It returns nil if no line names the
// request.
func History(all []*Line, request string) []*Line {
	alignClocks(all)
	var own, out []*Line
	attempts := streamAttempts(all, request)
	for _, l := range all {
		id, _ := l.Fields["request"].(string)
		l.Own = attempts[id]
		if l.Own {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	s := newRequestScope(own)
	for _, l := range all {
		if l.Own || s.includes(l) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b *Line) int {
		return cmp.Or(a.Time().Compare(b.Time()), cmp.Compare(a.Process, b.Process))
	})
	return out
}

// streamAttempts returns the request and the other attempts of its stream: the
// one that began it, and those that resume it.
func streamAttempts(all []*Line, request string) map[string]bool {
	first := request
	for _, l := range all {
		if r, ok := l.Fields["resumes"].(string); ok && r != "" && l.Fields["request"] == request {
			first = r
		}
	}
	out := map[string]bool{request: true, first: true}
	for _, l := range all {
		id, ok := l.Fields["request"].(string)
		if r, resumes := l.Fields["resumes"].(string); ok && resumes && r == first {
			out[id] = true
		}
	}
	return out
}

// requestScope describes the time span, processes, endpoints, workspace and
// content of a request. It selects the lines that are relevant to the request.
type requestScope struct {
	from, to             time.Time
	processes, endpoints map[string]bool
	workspace            string
	// content is empty unless an endpoint broke off while serving the request
	// or the request was held back. part is the prompt part that held it back, if any.
	content, part string
}

// newRequestScope derives the scope of a request from the lines that name it.
func newRequestScope(own []*Line) *requestScope {
	s := &requestScope{processes: map[string]bool{}, endpoints: map[string]bool{}, from: own[0].Time(), to: own[0].Time()}
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
		if p, ok := l.Fields["held_part"].(string); ok {
			s.part = p
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

// prepaidTotalMessage is the message that keepers log about the location of a
// workspace's prepaid total.
const prepaidTotalMessage = "prepaid total"

// stateMessages maps messages to the kind of state that they report. A state is
// valid until the next message of its kind, so the last message before a
// request is relevant however old it is.
var stateMessages = map[string]string{
	"no keeper answers; serving what is known": "keepers", "keepers answer again": "keepers",
	"configuration in force": "configuration",
}

// matchesContent reports whether the line is about a request with the same
// content. Such lines are included regardless of their time, because the reason
// for holding a request back is logged long before that request arrives.
func (s *requestScope) matchesContent(l *Line) bool {
	if s.content == "" {
		return false
	}
	list, _ := l.Fields["contents"].([]any)
	return l.Fields["content"] == s.content || slices.Contains(list, any(s.content))
}

// matchesPart reports whether the line is about the prompt part that held the request back, whenever
// it was logged.
func (s *requestScope) matchesPart(l *Line) bool {
	if s.part == "" {
		return false
	}
	list, _ := l.Fields["parts_unanswered"].([]any)
	return l.Fields["part"] == s.part || slices.ContainsFunc(list, func(entry any) bool {
		text, _ := entry.(string)
		return strings.HasPrefix(text, s.part+":")
	})
}

// includes reports whether a line that does not name the request belongs to its
// history.
func (s *requestScope) includes(l *Line) bool {
	if _, other := l.Fields["request"]; other {
		return false
	}
	if s.matchesContent(l) || s.matchesPart(l) {
		return true
	}
	if l.Time().Before(s.from.Add(-contextWindow)) || l.Time().After(s.to.Add(contextWindow)) {
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

// StateBefore returns the state in which the history of a request begins: the last
// line of each kind of state that the request's process wrote before, and the
// last line about the prepaid total of its workspace.
func StateBefore(all, story []*Line) []*Line {
	i := slices.IndexFunc(story, func(l *Line) bool { return l.Own })
	if i < 0 {
		return nil
	}
	process, at := story[i].Process, story[0].Time()
	workspace := newRequestScope(story[i : i+1]).workspace
	last := map[string]*Line{}
	for _, l := range all {
		kind, ok := stateMessages[l.Message]
		if l.Message == prepaidTotalMessage {
			kind, ok = prepaidTotalMessage, l.Fields["workspace"] == workspace
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
