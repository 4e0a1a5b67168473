package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
)

const (
	relayBuffer = 4 << 10
	// eventMost bounds one event, in bytes.
	eventMost = 1 << 20
)

// relay passes events on as they come. An event that breaks off is held back,
// so that the stream can go on elsewhere after the last whole one.
func (j *job) relay(ctx context.Context, a *pooler.Answer, work *predictor.Work) outcome {
	events := bufio.NewReaderSize(a.Body, relayBuffer)
	for {
		event, err := readEvent(events)
		if len(event) > 0 && err == nil {
			j.pace(time.Now(), work)
			if !j.passEvent(a, event, !holdsEvent(events)) {
				j.log(0, "caller gone")
				panic(http.ErrAbortHandler)
			}
			continue
		}
		if err == io.EOF && a.Ended() && len(event) == 0 && !a.Unframed {
			j.succeeded(a.Status, work.Endpoint())
			j.begin(a)
			j.log(a.Status, "")
			return done
		}
		return j.torn(ctx, a, work, event, err)
	}
}

// torn ends a stream that broke off.
func (j *job) torn(ctx context.Context, a *pooler.Answer, work *predictor.Work, event []byte, err error) outcome {
	if err == io.EOF && a.Unframed && len(event) == 0 && j.began {
		// Without a length, the end of the connection is the end of the answer.
		j.log(a.Status, "unframed")
		return done
	}
	j.why = "stream broken off"
	if err != nil {
		j.why += ": " + err.Error()
	}
	j.blame(ctx, work.Endpoint())
	return lost
}

// begin sends the head of the first endpoint's answer, once. It waits for the
// first whole event: a stream that breaks off before that can still be
// answered by another endpoint, or by a failure that bears no signature.
func (j *job) begin(a *pooler.Answer) {
	if j.began {
		return
	}
	j.began = true
	j.head(a, false)
	j.w.Header().Del("Content-Length")
	j.w.WriteHeader(a.Status)
}

// pace notes how long the first event and the longest pause took.
func (j *job) pace(now time.Time, work *predictor.Work) {
	if j.events == 0 {
		j.first, j.predicted = now.Sub(j.begun), work.Predicted()
		j.unread = work.Unread()
	} else {
		j.pause = max(j.pause, now.Sub(j.eventAt))
	}
	work.First(now)
	j.events++
	j.eventAt = now
}

// passEvent passes a whole event on, at once with flush, and otherwise with the next one.
func (j *job) passEvent(a *pooler.Answer, event []byte, flush bool) bool {
	j.begin(a)
	if id, ok := eventID(event); ok {
		j.lastEvent = id
	}
	// Counted before it is written: a caller that has read it has had it.
	if e := j.service.Engine; e != nil {
		j.delivered += max(e.Stride, 1)
	}
	if _, err := j.w.Write(event); err != nil {
		return false
	}
	if f, ok := j.w.(http.Flusher); ok && flush {
		f.Flush()
	}
	return true
}

// holdsEvent reports whether another whole event has been received already.
func holdsEvent(r *bufio.Reader) bool {
	b, err := r.Peek(r.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\r\n\r\n")))
}

// readEvent returns the bytes up to and with the empty line that ends an
// event. With an error, the bytes are those of an event that broke off.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err == bufio.ErrBufferFull && len(event) < eventMost {
			continue
		}
		if err != nil {
			return event, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimRight(event, "\r\n")) > 0 {
			return event, nil
		}
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
