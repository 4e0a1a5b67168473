// Command standins runs the cases of the review: it starts the system's programs, stand-ins for
// workers, requesters and the operator, and checks a rule by what these have seen.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// current is the fleet whose processes are ended at any exit.
var current *fleet

func must(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

// cannotRun ends the case with the exit code for a case that could not run.
func cannotRun(why string) {
	fmt.Fprintln(os.Stderr, "cannot run:", why)
	exit(2)
}

func exit(code int) {
	if current != nil {
		current.stop()
	}
	os.Exit(code)
}

// record writes record.txt.
type record struct{ w *bufio.Writer }

func newRecord(dir string) *record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	must(err)
	return &record{w: bufio.NewWriter(f)}
}

func (r *record) line(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	fmt.Fprintln(r.w, time.Now().Format("15:04:05.000"), text)
}

// detail writes a line to the record only.
func (r *record) detail(format string, args ...any) {
	fmt.Fprintf(r.w, format+"\n", args...)
}

// writeAll writes what was sent, answered and run. Times are Unix milliseconds.
func (r *record) writeAll() {
	r.detail("requests sent, and their answers:")
	for _, a := range everything.answers {
		r.detail("%s to %s%s sent %d done %d status %d complete %v events %d signature %q error %q", a.ID, a.Request.router, a.Request.path,
			a.SentMS, a.DoneMS, a.Status, a.Complete, len(a.Events), a.Signed, a.Error)
	}
	r.detail("what the workers ran:")
	for _, x := range current.runs() {
		r.detail("%d %s %s %s from %d sent %d whole %v", x.At, x.Worker, x.Event, x.ID, x.From, x.Sent, x.Whole)
	}
}

// runs reads the log of what the workers ran.
func (f *fleet) runs() []run {
	file, err := os.Open(filepath.Join(f.dir, "runs.jsonl"))
	if err != nil {
		return nil
	}
	defer file.Close()
	var out []run
	s := bufio.NewScanner(file)
	for s.Scan() {
		var r run
		if json.Unmarshal(s.Bytes(), &r) == nil {
			out = append(out, r)
		}
	}
	return out
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		workerMain(os.Args[2])
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		exit(2)
	}()
	c := cases[os.Args[1]]
	if c == nil {
		cannotRun("no case " + os.Args[1])
	}
	r := newRecord(os.Args[2])
	broken := c(r, os.Getenv("TROUBLE") != "0")
	if broken {
		r.line("the rule was broken")
	} else {
		r.line("the rule held")
	}
	r.writeAll()
	_ = r.w.Flush()
	if broken {
		exit(1)
	}
	exit(0)
}
