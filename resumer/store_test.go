package resumer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/resumer"
)

var start = time.Unix(1000, 0)

func key(n int) resumer.Key { return resumer.NewKey("w", "h", "/p", fmt.Sprint(n)) }

func entry(n int, version string, remaining time.Duration) resumer.Entry {
	return resumer.Entry{Key: key(n), Origin: resumer.Origin{Service: "s", Version: enroller.Version(version)}, Remaining: remaining}
}

// Guards against a caller who finds the stream of another workspace, or of another route, by naming its
// attempt.
func TestKeysOfWorkspacesAndRoutesDiffer(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[resumer.Key]bool{}
	for _, k := range []resumer.Key{
		resumer.NewKey("w", "h", "/p", "a"), resumer.NewKey("", "h", "/p", "a"), resumer.NewKey("x", "h", "/p", "a"),
		resumer.NewKey("w", "i", "/p", "a"), resumer.NewKey("w", "h", "/q", "a"), resumer.NewKey("w", "h", "/p", "b"),
		resumer.NewKey("wh", "", "/p", "a"), resumer.NewKey("w", "h/p", "", "a"), resumer.NewKey("w", "h", "/pa", ""),
	} {
		g.Expect(seen[k]).To(gomega.BeFalse())
		seen[k] = true
	}
}

// Guards against a store that grows without bound, whatever callers send: in number, in bytes and in
// time.
func TestStoreIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := resumer.NewStore(100, 1<<20)
	for i := range 1000 {
		s.Put(start, entry(i, "v1", time.Duration(10+i%7)*time.Second))
	}
	g.Expect(s.Len()).To(gomega.Equal(100))
	g.Expect(s.Dropped()).To(gomega.Equal(900))
	s.Put(start.Add(time.Minute), entry(2000, "v1", time.Second))
	g.Expect(s.Len()).To(gomega.Equal(1), "expired entries are removed")
	s.Put(start.Add(time.Minute), entry(2001, "v1", 24*time.Hour))
	_, ok := s.Get(start.Add(time.Minute+6*time.Minute), key(2001))
	g.Expect(ok).To(gomega.BeFalse(), "no entry is kept for longer than five minutes")

	small := resumer.NewStore(100, 2000)
	for i := range 50 {
		small.Put(start, entry(i, strings.Repeat("v", 64), time.Minute))
	}
	g.Expect(small.Len()).To(gomega.BeNumerically("<", 10))
	g.Expect(small.Len()).To(gomega.BeNumerically(">", 2))
}

// Guards against a stream that goes on at the version of another one whose attempt has the same id.
func TestKeyOfTwoStreamsHasNoVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	s := resumer.NewStore(100, 1<<20)
	s.Put(start, entry(1, "v1", time.Minute))
	s.Put(start, entry(1, "v1", time.Minute))
	o, ok := s.Get(start, key(1))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(o.Version).To(gomega.Equal(enroller.Version("v1")))
	s.Put(start, entry(1, "v2", time.Minute))
	s.Put(start, entry(1, "v1", time.Minute))
	o, ok = s.Get(start, key(1))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(o.Version).To(gomega.BeEmpty())
}

// Guards against an entry that expires while the stream that it belongs to goes on.
func TestPutExtendsTheTime(t *testing.T) {
	g := gomega.NewWithT(t)
	s := resumer.NewStore(100, 1<<20)
	s.Put(start, entry(1, "v1", 10*time.Second))
	s.Put(start.Add(5*time.Second), entry(1, "v1", 10*time.Second))
	_, ok := s.Get(start.Add(14*time.Second), key(1))
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = s.Get(start.Add(15*time.Second), key(1))
	g.Expect(ok).To(gomega.BeFalse())
}
