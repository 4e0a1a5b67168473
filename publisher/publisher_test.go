package publisher_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/publisher"
)

func document() *publisher.Document {
	share := []publisher.Share{{Service: "s", Weight: 1}}
	return &publisher.Document{
		Number:   1,
		Services: []publisher.Service{{Name: "s"}},
		Routes: []publisher.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Timeout: time.Second, Shares: share},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Timeout: time.Second, Shares: share},
			{Name: "all", Host: "b.example", Prefix: "/", Timeout: time.Second, Shares: share},
		},
		Workspaces: []publisher.Workspace{{Name: "w", Keys: []string{"k", "l"}}},
	}
}

func TestLongestPrefixIsFound(t *testing.T) {
	g := gomega.NewWithT(t)
	x := publisher.NewIndex(document())
	for path, want := range map[string]string{"/x/": "short", "/x/1": "short", "/x/y/1/2": "long", "/x/y": "short"} {
		g.Expect(x.Route("A.example:8080", path).Name).To(gomega.Equal(want), path)
	}
	g.Expect(x.Route("b.example", "/").Name).To(gomega.Equal("all"))
	g.Expect(x.Route("a.example", "/x")).To(gomega.BeNil())
	g.Expect(x.Route("c.example", "/x/")).To(gomega.BeNil())
	g.Expect(x.Workspace("l").Name).To(gomega.Equal("w"))
	g.Expect(x.Workspace("")).To(gomega.BeNil())
}

func TestInvalidDocumentsAreRefused(t *testing.T) {
	for name, spoil := range map[string]func(*publisher.Document){
		"no number":       func(d *publisher.Document) { d.Number = 0 },
		"unknown service": func(d *publisher.Document) { d.Routes[0].Shares = []publisher.Share{{Service: "t", Weight: 1}} },
		"same place":      func(d *publisher.Document) { d.Routes[1].Prefix = "/x/" },
		"no weight":       func(d *publisher.Document) { d.Routes[0].Shares = []publisher.Share{{Service: "s"}} },
		"no timeout":      func(d *publisher.Document) { d.Routes[0].Timeout = 0 },
		"shared key": func(d *publisher.Document) {
			d.Workspaces = append(d.Workspaces, publisher.Workspace{Name: "v", Keys: []string{"k"}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := document()
			spoil(d)
			gomega.NewWithT(t).Expect(d.Check()).To(gomega.MatchError(publisher.ErrInvalid))
		})
	}
	gomega.NewWithT(t).Expect(document().Check()).To(gomega.Succeed())
}
