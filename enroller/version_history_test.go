package enroller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// versionTable is a table whose endpoints tests add and remove.
type versionTable struct {
	*enroller.Table
	sequence uint64
}

func (t *versionTable) add(now time.Time, id, service string, v enroller.Version) {
	t.sequence++
	t.Observe(now, enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: id}, Service: service, Address: id, Version: v, Sequence: t.sequence}, 0)
}

func (t *versionTable) leave(now time.Time, id string) {
	t.Leave(now, enroller.Incarnation{ID: id})
}

// sole returns the only version that service s has had for a minute, or "".
func (t *versionTable) sole(g *gomega.WithT, now time.Time) string {
	v, ok := t.Versions().Clone(now).Sole("s", now.Add(-time.Minute))
	g.Expect(ok).To(gomega.Equal(v != ""))
	return string(v)
}

// Guards against one version in service that counts as the only one although a stream may have begun at
// another: one that has left since, one that is not known, or one of another service with the same
// text.
func TestSoleVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	x := &versionTable{Table: enroller.NewTable(24 * time.Hour)}
	at := func(minutes float64) time.Time { return start.Add(time.Duration(minutes * float64(time.Minute))) }
	x.add(start, "a", "s", "v1")
	g.Expect(x.sole(g, start)).To(gomega.BeEmpty(), "nothing is known of the time before")
	x.Versions().Begin(start)
	g.Expect(x.sole(g, at(0.5))).To(gomega.BeEmpty())
	x.add(start, "b", "s", "v1")
	x.add(start, "c", "t", "v2")
	g.Expect(x.sole(g, at(1))).To(gomega.Equal("v1"))
	x.add(at(2), "d", "s", "v2")
	g.Expect(x.sole(g, at(2))).To(gomega.BeEmpty())
	x.leave(at(3), "a")
	x.leave(at(3), "b")
	g.Expect(x.sole(g, at(3.5))).To(gomega.BeEmpty(), "the last of v1 was there until now")
	g.Expect(x.sole(g, at(4.6))).To(gomega.Equal("v2"))
	x.add(at(5), "e", "s", "")
	g.Expect(x.sole(g, at(5))).To(gomega.BeEmpty())
	x.leave(at(6), "e")
	x.add(at(7), "d", "s", "v3")
	g.Expect(x.sole(g, at(7.5))).To(gomega.BeEmpty(), "a version that changed in place is gone as well")
	g.Expect(x.sole(g, at(8.6))).To(gomega.Equal("v3"))
	x.leave(at(9), "d")
	g.Expect(x.sole(g, at(9))).To(gomega.Equal("v3"))
	g.Expect(x.sole(g, at(11))).To(gomega.BeEmpty())
}

// Guards against streams that no router resumes after all of them have ended, although the fleet has had
// one version all along: processes that live on tell what they know, and no more.
func TestVersionHistoryIsPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	keeper := &versionTable{Table: enroller.NewTable(24 * time.Hour)}
	keeper.Versions().BeginWithFleet(start)
	keeper.add(start, "a", "s", "v1")
	router := func(now time.Time, m *messenger.VersionHistory) string {
		x := &versionTable{Table: enroller.NewTable(24 * time.Hour)}
		x.Versions().Begin(now)
		x.add(now, "a", "s", "v1")
		x.Versions().Merge(now, m)
		return x.sole(g, now)
	}
	now := start.Add(5 * time.Second)
	g.Expect(router(now, nil)).To(gomega.BeEmpty())
	g.Expect(router(now, keeper.Versions().Message(now))).To(gomega.Equal("v1"), "there was nothing before the fleet")
	keeper.add(now, "b", "s", "v2")
	keeper.leave(now, "b")
	g.Expect(router(now, keeper.Versions().Message(now))).To(gomega.BeEmpty())
	late := now.Add(2 * time.Minute)
	g.Expect(router(late, keeper.Versions().Message(late))).To(gomega.Equal("v1"))

	// More versions than are told.
	for i := range 40 {
		id := fmt.Sprint("x", i)
		keeper.add(late, id, "s", enroller.Version(id))
		keeper.leave(late, id)
		late = late.Add(time.Second)
		keeper.Versions().Message(late)
	}
	m := keeper.Versions().Message(late)
	g.Expect(m.Gone).To(gomega.HaveLen(16))
	g.Expect(m.CompleteMs).To(gomega.BeNumerically("<", 20_000))
	g.Expect(m.CompleteMs).To(gomega.BeNumerically(">", 14_000))
}
