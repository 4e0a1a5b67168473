package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/publisher"
)

const priorityHeader = "Rattanhoist-Request-Priority"

// sentPriorities returns the priority that the endpoint receives for a request of a workspace and
// for one without a key, "" for none.
func sentPriorities(t *testing.T, on bool, edit func(*publisher.Document)) [2]string {
	d := document()
	d.Routes = append(d.Routes, d.Routes[0])
	public := &d.Routes[len(d.Routes)-1]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	edit(d)
	e := newEndpoint(t, responds(answerOK))
	w := newTestRouterWith(t, d, func(p *forwarder.Dependencies) { p.EnginePriorities = on }, func(int) string { return "z" }, e)
	w.send(t, http.MethodGet, "/read/x", "")
	w.send(t, http.MethodGet, "/public/x", "")
	r := e.requests()
	if len(r) != 2 {
		t.Fatalf("%d requests arrived, want 2", len(r))
	}
	return [2]string{r[0].Header.Get(priorityHeader), r[1].Header.Get(priorityHeader)}
}

// Guards against engines that rank requests by priorities that nobody stated, by that of the wrong
// owner, or by one outside the range that engines accept.
func TestPrioritiesSentToEngines(t *testing.T) {
	routes := func(d *publisher.Document, p int) {
		for i := range d.Routes {
			d.Routes[i].Priority = p
		}
	}
	workspace := func(d *publisher.Document, p int) { d.Workspaces[0].Priority = &p }
	for name, c := range map[string]struct {
		off  bool
		edit func(*publisher.Document)
		want [2]string
	}{
		"a document without priorities":  {edit: func(*publisher.Document) {}},
		"one priority of all":            {edit: func(d *publisher.Document) { routes(d, 4); workspace(d, 4) }},
		"one priority within the limits": {edit: func(d *publisher.Document) { routes(d, 9); workspace(d, 12) }},
		"a workspace before its route":   {edit: func(d *publisher.Document) { routes(d, 4); workspace(d, 2) }, want: [2]string{"2", "4"}},
		"a route's own":                  {edit: func(d *publisher.Document) { d.Routes[0].Priority = 3 }, want: [2]string{"3", "0"}},
		"limited":                        {edit: func(d *publisher.Document) { routes(d, 12); workspace(d, -3) }, want: [2]string{"0", "9"}},
		"switched off":                   {off: true, edit: func(d *publisher.Document) { routes(d, 4); workspace(d, 2) }},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(sentPriorities(t, !c.off, c.edit)).To(gomega.Equal(c.want))
		})
	}
}
