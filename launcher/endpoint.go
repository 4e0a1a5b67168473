package launcher

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"rattanhoist.example/rattanhoist/imitator"
)

// EndpointCommand posts to stand-in endpoint number n: to "/faults" with a fault as JSON, or to "/leave",
// "/join" or "/silence" with "".
func (f *Fleet) EndpointCommand(n int, path, body string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.EndpointAddress(n)+path, "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		f.t.Fatalf("%s %s: status %d", path, body, resp.StatusCode)
	}
}

// Runs returns the lines of the run log of an endpoint, or none if it does not exist yet.
func (f *Fleet) Runs(name string) []imitator.Run {
	f.t.Helper()
	text, err := ReadWhole(f.RunLog(name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		f.t.Fatal(err)
	}
	var out []imitator.Run
	for line := range strings.Lines(text) {
		var r imitator.Run
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			f.t.Fatal(err)
		}
		out = append(out, r)
	}
	return out
}

// ReadWhole reads a file of lines that a process is writing to. A line that crosses a page may be
// incomplete, so the read is repeated until the last line is complete, for at most readWait.
func ReadWhole(path string) (string, error) {
	end := time.Now().Add(readWait)
	for {
		text, err := os.ReadFile(path)
		if err != nil || len(text) == 0 || text[len(text)-1] == '\n' || time.Now().After(end) {
			return string(text), err
		}
		time.Sleep(readPause)
	}
}

// A write takes microseconds. A process that is killed during one leaves an incomplete line.
const (
	readWait  = time.Second
	readPause = time.Millisecond
)
