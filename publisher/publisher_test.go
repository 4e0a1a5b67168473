package publisher_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/localizer"
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

func TestLongestPrefixMatches(t *testing.T) {
	g := gomega.NewWithT(t)
	x := publisher.NewIndex(document(), localizer.New(nil))
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

// Guards against requests that are served outside of the regions of their route or
// workspace.
func TestRouteAndWorkspaceRegionsIntersect(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &publisher.Document{
		Routes:     []publisher.Route{{Name: "free"}, {Name: "north", Regions: []string{"north"}}, {Name: "gone", Regions: []string{"nowhere"}}},
		Workspaces: []publisher.Workspace{{Name: "any"}, {Name: "both", Regions: []string{"north", "south"}}, {Name: "south", Regions: []string{"south"}}},
	}
	x := publisher.NewIndex(d, localizer.New(map[string]string{"n1": "north", "n2": "north", "s1": "south"}))
	zones := func(route, workspace int) string {
		z := x.Zones(&d.Routes[route], &d.Workspaces[workspace])
		if z == nil {
			return "all"
		}
		return z.Key()
	}
	g.Expect([]string{zones(0, 0), zones(0, 1), zones(0, 2)}).To(gomega.Equal([]string{"all", "n1,n2,s1", "s1"}))
	g.Expect([]string{zones(1, 0), zones(1, 1), zones(1, 2)}).To(gomega.Equal([]string{"n1,n2", "n1,n2", ""}))
	g.Expect(x.Zones(&d.Routes[1], nil).Key()).To(gomega.Equal("n1,n2"))
	g.Expect(x.Zones(&d.Routes[1], &d.Workspaces[2]).Empty()).To(gomega.BeTrue())
	g.Expect(x.Zones(&d.Routes[2], &d.Workspaces[0]).Empty()).To(gomega.BeTrue(), "an unknown region has no zones")
}
