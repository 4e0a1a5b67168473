package acceptor

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

func at(r rank, ms int) candidate {
	return candidate{standing: standing{r, start.Add(time.Duration(ms) * time.Millisecond)}}
}

// A port is full of clients that have stopped, and of others that work. Guards against closing one that works, or
// one that has stopped only just now.
func TestStalledConnectionsAreClosedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []candidate{at(rankBody, 1), at(rankStalledBody, 0), at(rankStalledHead, 20), at(rankKept, 0), at(rankStalledHead, 10), at(rankHead, 0)}
	g.Expect(leastProgress(list, 1)).To(gomega.Equal([]candidate{at(rankStalledHead, 10)}))
	g.Expect(leastProgress(list, 4)).To(gomega.Equal([]candidate{at(rankStalledHead, 10), at(rankStalledHead, 20)}), "of one rank only")
}

// Guards against a batch of requests that are ended for one new connection.
func TestRequestsAreEndedOneByOne(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(leastProgress([]candidate{at(rankBody, 1), at(rankStalledBody, 2), at(rankStalledBody, 0)}, 3)).To(gomega.Equal([]candidate{at(rankStalledBody, 0)}))
	g.Expect(leastProgress(nil, 3)).To(gomega.BeEmpty())
}
