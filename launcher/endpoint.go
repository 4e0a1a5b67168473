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

// EndpointCommand posts to stand-in endpoint number n: "/faults" with a
// JSON fault, or "/leave", "/join" and "/silence" with "".
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

// Runs returns the lines of an endpoint's run log; none before it has begun.
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

// ReadWhole reads a file of lines that a process writes meanwhile. A line that
// crosses a page is seen half-written; the read is repeated until the last line
// has its end, for readWait at most, so that no line is left out.
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

// A write takes microseconds; a process killed within one leaves half a line.
const (
	readWait  = time.Second
	readPause = time.Millisecond
)
