// Command fleet runs the cases of the second review: it starts the project's processes on loopback
// addresses with the commands of the deploy file, and stands in for the platform, the operator, the
// workers and the requesters.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*run) (bool, error){
	"founding": founding,
	"same-id":  sameID,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, serveWorker(os.Args[2:]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet CASE RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRun(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	held, err := cases[os.Args[1]](r)
	code := exitHeld
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		code = exitNotRun
	case !held:
		code = exitBroken
	}
	r.note("exit code %d", code)
	r.close()
	os.Exit(code)
}
