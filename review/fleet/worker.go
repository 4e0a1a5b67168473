package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// halfTime is the time between the two halves of an answer.
	halfTime = 900 * time.Millisecond
	// eventCount is the number of events of a stream, and eventPause the time between two.
	eventCount = 40
	eventPause = 30 * time.Millisecond
	signature  = "3e1b.07.5a2.600.0.c9f2a4d1"
)

// wholeBody returns the whole body of the answer to a request.
func wholeBody(path, id string) string {
	if !strings.HasPrefix(path, eventPath) {
		return strings.Repeat("report for "+id+"\n", 40) + "end of the report\n"
	}
	var b strings.Builder
	for i := range eventCount {
		b.WriteString(event(i))
	}
	return b.String()
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: %060d\n\n", i+1, i+1) }

// unframedOf is how many answers there are for one that has no length and ends with its connection.
const unframedOf = 20

// worker is a stand-in of a worker.
type worker struct {
	id string
	// garbles is set if one answer in unframedOf has no length.
	garbles bool
	// runs counts the requests.
	runs atomic.Int64
}

// serveWorker runs a worker process.
func serveWorker(args []string) error {
	f := flag.NewFlagSet("worker", flag.ContinueOnError)
	id := f.String("id", "", "id")
	listen := f.String("listen", "", "address to listen at")
	address := f.String("address", "", "address to announce")
	zone := f.String("zone", "", "availability zone")
	garbles := f.Bool("garbles", false, "leave the length out of one answer in twenty")
	control := f.String("control", "", "control addresses, joined by commas")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	w := &worker{id: *id, garbles: *garbles}
	go w.announce(strings.Split(*control, ","), *address, *zone)
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go w.serve(c)
	}
}

// announce sends a heartbeat in each interval. A control node that does not answer is followed by the next.
func (w *worker) announce(control []string, address, zone string) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		b, _ := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": zone, "version": "v1", "slots": 64, "state": "ready",
			"cold_remaining_ms": 0, "sequence": sequence, "born": born,
		})
		for i := range control {
			status, _, err := call(http.MethodPut, "http://"+control[(sequence+i)%len(control)]+"/v1/instances/"+w.id, b)
			if err == nil && status == http.StatusOK {
				break
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// serve answers the requests of one connection until it ends, or until an answer that ends with it.
func (w *worker) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !w.answer(c, q) {
			return
		}
	}
}

// answer answers a request, and reports whether the connection stays open.
func (w *worker) answer(c net.Conn, q *http.Request) bool {
	id := q.Header.Get("Rattanhoist-Request-Id")
	switch t := q.Header.Get("Rattanhoist-Target-Instance"); {
	case t != "" && t != w.id:
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRattanhoist-Request-Id: %s\r\nRattanhoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return !q.Close
	case q.URL.Path == "/health":
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRattanhoist-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
		return !q.Close
	}
	return w.run(c, q, id) && !q.Close
}

// run answers a request in parts, and reports whether it stated the length.
func (w *worker) run(c net.Conn, q *http.Request, id string) bool {
	kind, body := "text/plain", wholeBody(q.URL.Path, id)
	parts, pause := []string{body[:len(body)/2], body[len(body)/2:]}, halfTime
	if strings.HasPrefix(q.URL.Path, eventPath) {
		kind, parts, pause = "text/event-stream", strings.SplitAfter(strings.TrimSuffix(body, "\n\n"), "\n\n"), eventPause
		parts[len(parts)-1] += "\n\n"
	}
	framing := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if w.runs.Add(1)%unframedOf == 0 && w.garbles {
		framing = "Connection: close\r\n"
	}
	framed := strings.HasPrefix(framing, "Content")
	w.log("begins", q, id, framed)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: %s\r\nRattanhoist-Response-Signature: %s\r\nContent-Type: %s\r\n%s\r\n", id, signature, kind, framing)
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := fmt.Fprint(c, part); err != nil {
			w.log("drops", q, id, framed)
			return false
		}
	}
	w.log("ends", q, id, framed)
	return framed
}

// log writes what the worker runs, with its process, to its log.
func (w *worker) log(what string, q *http.Request, id string, framed bool) {
	fmt.Printf("%s  worker %s, process %d, %s request %s %s, length stated %v\n", time.Now().Format("15:04:05.000"), w.id, os.Getpid(), what, id, q.URL.Path, framed)
}
