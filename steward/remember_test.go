package steward

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/storer"
)

// Symptom: after a restart of all keepers requests are refused for want of endpoints,
// or wait for seconds at the first that was heard again.
// Sequence: keepers restart while endpoints run; their heartbeats come over the next
// second, one after the other.
// Cause: endpoints are known from heartbeats alone.
func TestEndpointsAreKnownAfterARestart(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	keeper := func() *Steward {
		return &Steward{log: zap.NewNop(), roster: newRoster(time.Second), note: storer.NewNote(dir, endpointsNote)}
	}
	before := keeper()
	for _, id := range []string{"a", "b"} {
		b := beatOf(id, 5, "s")
		b.Address = "10.0.0.1:" + map[string]string{"a": "1", "b": "2"}[id]
		before.roster.beat(time.Now(), b)
	}
	known, _ := before.roster.known(time.Now())
	g.Expect(before.writeEndpoints(known)).To(gomega.Succeed())

	after := keeper()
	after.recall()
	// The log holds that one of them has left.
	after.roster.leave(time.Now(), []enroller.Incarnation{{ID: "a", BornMS: 5}})
	known, _ = after.roster.known(time.Now())
	g.Expect(known.Sightings).To(gomega.HaveLen(1))
	g.Expect(known.Sightings[0].Id).To(gomega.Equal("b"))
	after.roster.expire(time.Now().Add(7 * time.Second))
	known, _ = after.roster.known(time.Now())
	g.Expect(known.Sightings).To(gomega.BeEmpty(), "one that is silent is forgotten as ever")

	g.Expect(os.WriteFile(filepath.Join(dir, endpointsNote), []byte("torn"), 0o600)).To(gomega.Succeed())
	torn := keeper()
	torn.recall()
	known, _ = torn.roster.known(time.Now())
	g.Expect(known.Sightings).To(gomega.BeEmpty())
}
