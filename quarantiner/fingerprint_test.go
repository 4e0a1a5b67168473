package quarantiner_test

import (
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/quarantiner"
)

func TestFingerprintDependsOnEveryPartOfARequest(t *testing.T) {
	g := gomega.NewWithT(t)
	first := quarantiner.Request{Workspace: "labone", Method: "POST", Host: "a.example", Target: "/a/x", Body: []byte("b")}
	equal := first
	equal.Body = []byte("b")
	g.Expect(equal.Fingerprint()).To(gomega.Equal(first.Fingerprint()))
	for name, change := range map[string]func(*quarantiner.Request){
		"workspace": func(r *quarantiner.Request) { r.Workspace = "tema" },
		"method":    func(r *quarantiner.Request) { r.Method = "PUT" },
		"host":      func(r *quarantiner.Request) { r.Host = "b.example" },
		"target":    func(r *quarantiner.Request) { r.Target = "/a/y" },
		"body":      func(r *quarantiner.Request) { r.Body = []byte("c") },
		"divided":   func(r *quarantiner.Request) { r.Host, r.Target = "a.example/", "a/x" },
		"shifted":   func(r *quarantiner.Request) { r.Target, r.Body = "/a/", []byte("xb") },
	} {
		other := first
		change(&other)
		g.Expect(other.Fingerprint()).NotTo(gomega.Equal(first.Fingerprint()), name)
	}
}
