package predictor

import "math/rand/v2"

const (
	// maxExhaustive is the size of the largest group in which every endpoint is evaluated
	// for each request. In a larger one, localCandidates endpoints of the router's zone and
	// remoteCandidates of other zones are drawn at random.
	maxExhaustive    = 256
	localCandidates  = 16
	remoteCandidates = 4
	// sampledRemotes is how many endpoints of other zones are drawn in a group that is not large.
	sampledRemotes = 12
	// dedicatedCandidates is how many endpoints dedicated to very long prompts are drawn as
	// well.
	dedicatedCandidates = 4
)

// candidates returns the endpoints to evaluate for a request. In a large group, that is a
// random sample of constant size and the home endpoint. In a fleet where only some routers are
// notified of a dispatch, the endpoints of other zones are sampled in a group of any size: routers
// that all compare the same reports, up to a second old, would choose the same few endpoints.
func (g *group) candidates(a Request, home *Endpoint) []*Endpoint {
	local, remote := localCandidates, remoteCandidates
	if len(g.endpoints) <= maxExhaustive {
		if !a.PartialDispatches || len(g.local) == 0 || len(g.remote) <= sampledRemotes {
			return g.endpoints
		}
		local, remote = 0, sampledRemotes
	}
	out := make([]*Endpoint, 0, max(local, len(g.local))+remote+dedicatedCandidates+1)
	if local == 0 {
		out = append(out, g.local...)
	} else {
		out = appendRandom(out, g.local, local)
	}
	out = appendRandom(out, g.remote, remote)
	if local > 0 && a.Prompt != nil && a.Prompt.InputTokens >= veryLongPromptTokens {
		out = appendRandom(out, g.localDedicated, dedicatedCandidates)
	}
	if home != nil {
		out = append(out, home)
	}
	return out
}

// appendRandom appends n endpoints drawn at random from a list; the same one may be drawn
// several times.
func appendRandom(out, list []*Endpoint, n int) []*Endpoint {
	if len(list) == 0 {
		return out
	}
	for range n {
		out = append(out, list[rand.IntN(len(list))])
	}
	return out
}
