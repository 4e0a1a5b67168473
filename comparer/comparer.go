// Package comparer compares output of tests with golden files in testdata. UPDATE_GOLDEN=1 rewrites the
// files. The product does not contain it.
package comparer

import (
	"os"
	"path/filepath"
	"testing"
)

const (
	updateVariable = "UPDATE_GOLDEN"
	goldenMode     = 0o644
)

// Golden compares text with testdata/NAME.
func Golden(t testing.TB, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if os.Getenv(updateVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), goldenMode); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("%v; record it with %s=1", err, updateVariable)
	}
	if string(want) != got {
		t.Errorf("%s differs; record it anew with %s=1 if that is meant\n--- want\n%s\n--- got\n%s", file, updateVariable, want, got)
	}
}
