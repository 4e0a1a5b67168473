package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
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

// unframedOf is how many requests there are for one whose answer has no length and ends with its connection.
const unframedOf = 20

// unframed reports whether the answer to a request has no length.
func unframed(id string) bool {
	n, err := strconv.ParseUint(id, 16, 64)
	return err == nil && n%unframedOf == 0
}

// worker is a stand-in of a worker.
type worker struct{ id string }

// serveWorker runs a worker process.
func serveWorker(args []string) error {
	f := flag.NewFlagSet("worker", flag.ContinueOnError)
	id := f.String("id", "", "id")
	listen := f.String("listen", "", "address to listen at")
	address := f.String("address", "", "address to announce")
	zone := f.String("zone", "", "availability zone")
	control := f.String("control", "", "control addresses, joined by commas")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	w := worker{id: *id}
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
func (w worker) announce(control []string, address, zone string) {
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

// serve answers one request and closes the connection.
func (w worker) serve(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if t := q.Header.Get("Rattanhoist-Target-Instance"); t != "" && t != w.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRattanhoist-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	if q.URL.Path == "/health" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRattanhoist-Instance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", w.id)
		return
	}
	w.run(c, q, q.Header.Get("Rattanhoist-Request-Id"))
}

// run answers a request in parts.
func (w worker) run(c net.Conn, q *http.Request, id string) {
	kind, body := "text/plain", wholeBody(q.URL.Path, id)
	parts, pause := []string{body[:len(body)/2], body[len(body)/2:]}, halfTime
	if strings.HasPrefix(q.URL.Path, eventPath) {
		kind, parts, pause = "text/event-stream", strings.SplitAfter(strings.TrimSuffix(body, "\n\n"), "\n\n"), eventPause
		parts[len(parts)-1] += "\n\n"
	}
	framing := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if unframed(id) {
		framing = ""
	}
	w.log("begins", q, id, framing)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: %s\r\nRattanhoist-Response-Signature: %s\r\nContent-Type: %s\r\n%sConnection: close\r\n\r\n", id, signature, kind, framing)
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		fmt.Fprint(c, part)
	}
	w.log("ends", q, id, framing)
}

// log writes what the worker runs, with its process, to its log.
func (w worker) log(what string, q *http.Request, id, framing string) {
	fmt.Printf("%s  worker %s, process %d, %s request %s %s, length stated %v\n", time.Now().Format("15:04:05.000"), w.id, os.Getpid(), what, id, q.URL.Path, framing != "")
}
