package imitator_test

import (
	"os"
	"strings"
	"testing"
)

// events counts the lines of one kind in a run log.
func events(t *testing.T, file, kind string) int {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Count(string(b), `"event":"`+kind+`"`)
}
