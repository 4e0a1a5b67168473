package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
)

const (
	relayBuffer = 4 << 10
	// maxEventBytes is the limit on the size of one event.
	maxEventBytes = 1 << 20
)

// errEventTooLong is returned for an event of more than maxEventBytes.
var errEventTooLong = merry.Sentinel("event is too long")

// relay passes events on as they arrive. An incomplete event is held back, so that the
// stream can be resumed at another endpoint after the last complete one. version is that of the
// endpoint when the request was sent there.
func (j *job) relay(ctx context.Context, a *pooler.Answer, assignment *predictor.Assignment, version enroller.Version) outcome {
	events := bufio.NewReaderSize(a.Body, relayBuffer)
	a.BeginPart(j.repeatable())
	for {
		event, held, err := readEvent(events, j.holding)
		if len(event) > 0 && err == nil {
			if j.f.Origins != nil && changed(version, assignment.Endpoint().Version()) {
				j.holding.Return(held)
				j.reason = "endpoint changed its version during the stream"
				return outcomeLost
			}
			j.recordEvent(time.Now(), assignment)
			j.recordVersion(version)
			if !j.passEvent(a, event, !holdsEvent(events)) {
				j.logEnd(0, "caller gone")
				panic(http.ErrAbortHandler)
			}
			j.holding.Return(held)
			a.BeginPart(j.repeatable())
			continue
		}
		if err == io.EOF && a.Complete() && len(event) == 0 && (!a.CloseDelimited || j.headSent && !j.closedByEnd(ctx, a, assignment.Endpoint())) {
			j.recordSuccess(a.Status, assignment.Endpoint())
			j.sendHead(a)
			j.logEnd(a.Status, "")
			return outcomeDone
		}
		return j.handleBrokenOff(ctx, a, assignment, err)
	}
}

// closedByEnd reports whether an answer without length and chunks may have been completed only by the
// end of its endpoint. The system of a process that crashes closes its connections regularly.
func (j *job) closedByEnd(ctx context.Context, a *pooler.Answer, e *predictor.Endpoint) bool {
	return a.CloseDelimited && !j.f.Quarantine.IsAlive(ctx, e, j.service.HealthPath, j.sentAt)
}

// handleBrokenOff handles a stream that ended before its final event.
func (j *job) handleBrokenOff(ctx context.Context, a *pooler.Answer, assignment *predictor.Assignment, err error) outcome {
	j.reason = "stream broken off"
	if err != nil {
		j.reason += ": " + err.Error()
	}
	j.recordBrokenAnswer(ctx, assignment.Endpoint(), a.Unfinished())
	return outcomeLost
}

// sendHead sends the head of the first endpoint's answer, once. It is called at the first
// complete event: until then, a stream that breaks off can still be replaced by another
// endpoint's answer, or by an error without signature.
func (j *job) sendHead(a *pooler.Answer) {
	if j.headSent {
		return
	}
	j.headSent = true
	j.copyHeader(a, false)
	j.w.Header().Del("Content-Length")
	j.w.WriteHeader(a.Status)
}

// recordEvent updates the latency figures of the stream with the arrival of an event.
func (j *job) recordEvent(now time.Time, assignment *predictor.Assignment) {
	if j.events == 0 {
		j.firstEvent, j.predictedFirstEvent = now.Sub(j.startedAt), assignment.PredictedFirstEvent()
		j.uncachedTokens = assignment.UncachedTokens()
	} else {
		j.longestPause = max(j.longestPause, now.Sub(j.lastEventAt))
	}
	assignment.ObserveFirstByte(now)
	j.events++
	j.lastEventAt = now
}

// recordVersion records the software version that made an event.
func (j *job) recordVersion(v enroller.Version) {
	if j.headSent && j.streamVersion != v {
		streamsMixed.Inc()
	}
	j.streamVersion = v
	if !j.headSent {
		j.bindTo(v)
	}
}

// passEvent passes on a complete event, immediately if flush is set and otherwise together
// with the next one.
func (j *job) passEvent(a *pooler.Answer, event []byte, flush bool) bool {
	j.sendHead(a)
	if id, ok := eventID(event); ok {
		j.lastEventID = id
	}
	// Counted before the write: a caller that has received the event must be charged for
	// it.
	if e := j.service.Engine; e != nil {
		j.deliveredTokens += max(e.MaxTokensPerEvent, 1)
	}
	if _, err := j.w.Write(event); err != nil {
		return false
	}
	if f, ok := j.w.(http.Flusher); ok && flush {
		f.Flush()
	}
	return true
}

// holdsEvent reports whether another complete event is in the buffer.
func holdsEvent(r *bufio.Reader) bool {
	b, err := r.Peek(r.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\r\n\r\n")))
}

// readEvent returns the bytes of an event, including the empty line that ends it. If there
// is an error, the event is incomplete. For events that are longer than the buffer, it returns the number of bytes that
// are held until the caller returns them; after an error none are.
func readEvent(r *bufio.Reader, h *enforcer.Holding) (event []byte, held int, err error) {
	defer func() {
		if err != nil {
			h.Return(held)
			held = 0
		}
	}()
	// hasContent is set once the event has a line that is not empty, and inLine while a line is longer
	// than the buffer.
	var hasContent, inLine bool
	for {
		line, err := r.ReadSlice('\n')
		if len(event)+len(line) > maxEventBytes {
			return event, held, errEventTooLong
		}
		if len(event) > relayBuffer {
			if err := h.Reserve(len(line)); err != nil {
				return event, held, err
			}
			held += len(line)
		}
		event = append(event, line...)
		if err != nil && err != bufio.ErrBufferFull {
			return event, held, err
		}
		empty := !inLine && len(bytes.TrimRight(line, "\r\n")) == 0
		if err == nil && empty && hasContent {
			return event, held, nil
		}
		hasContent = hasContent || !empty
		inLine = err != nil
	}
}

// eventID returns the value of an event's id field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
