package acceptor

import (
	"cmp"
	"slices"
	"time"
)

const (
	// stallTimeout is the time without progress from which a connection is stalled, unless this process delays its
	// clients. It is longer by delayFactor times that delay, which may grow meanwhile.
	stallTimeout = 250 * time.Millisecond
	delayFactor  = 2
	// unreadTimeout is stallTimeout for a client that does not read the answer to a request that was sent on.
	unreadTimeout = 2 * time.Second
	// progressBytes is how much of a body must arrive to count as progress.
	progressBytes = 4 << 10
	// keptDuration is how long a connection that waits for its next request is spared.
	keptDuration = time.Second
	// idleDuration is how long a connection with a call of a process under way is spared if it receives nothing.
	idleDuration = 30 * time.Second
)

// rank orders connections by how little their end costs their clients; lower ranks end first.
type rank int

const (
	// rankStalledHead is the rank of connections that have brought no whole request head for stallTimeout.
	rankStalledHead rank = iota
	// rankKept is the rank of connections that wait for their next request.
	rankKept
	// rankStalledBody is the rank of connections on which a body or an answer is stalled.
	rankStalledBody
	// rankHead is the rank of all others that have brought no whole head.
	rankHead
	// rankBody is the rank of connections whose body arrives.
	rankBody
)

// standing tells which connections are closed first.
type standing struct {
	rank  rank
	since time.Time
}

// compare orders connections by which one ends first.
func (s standing) compare(o standing) int {
	return cmp.Or(cmp.Compare(s.rank, o.rank), s.since.Compare(o.since))
}

// stalled reports whether the client has stopped in the middle of a request or an answer.
func (s standing) stalled() bool { return s.rank == rankStalledHead || s.rank == rankStalledBody }

// inRequest reports whether a request is in progress that may be answered.
func (s standing) inRequest() bool { return s.rank == rankStalledBody || s.rank == rankBody }

// leastProgress returns the candidates to close: one if it is in a request, or else up to n of the lowest rank.
func leastProgress(list []candidate, n int) []candidate {
	if len(list) == 0 {
		return nil
	}
	first := slices.MinFunc(list, func(a, b candidate) int { return a.standing.compare(b.standing) })
	if first.standing.inRequest() || n == 1 {
		return []candidate{first}
	}
	list = slices.DeleteFunc(list, func(x candidate) bool { return x.standing.rank != first.standing.rank })
	slices.SortFunc(list, func(a, b candidate) int { return a.standing.since.Compare(b.standing.since) })
	return list[:min(n, len(list))]
}
