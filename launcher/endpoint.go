package launcher

import (
	"bufio"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"

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
	file, err := os.Open(f.RunLog(name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var out []imitator.Run
	sc := bufio.NewScanner(file)
	for sc.Scan() {
		var r imitator.Run
		if err := json.Unmarshal(sc.Bytes(), &r); err != nil {
			f.t.Fatal(err)
		}
		out = append(out, r)
	}
	return out
}
