package predictor

import "math/rand/v2"

const (
	// maxExhaustive is the size of the largest group in which every endpoint is evaluated
	// for each request. In a larger one, localCandidates endpoints of the router's zone and
	// remoteCandidates of other zones are drawn at random.
	maxExhaustive    = 256
	localCandidates  = 16
	remoteCandidates = 4
	// dedicatedCandidates is how many endpoints dedicated to very long prompts are drawn as
	// well.
	dedicatedCandidates = 4
)

// candidates returns the endpoints to evaluate for a request. In a large group, that is a
// random sample of constant size and the home endpoint.
func (g *group) candidates(a Request, home *Endpoint) []*Endpoint {
	if len(g.endpoints) <= maxExhaustive {
		return g.endpoints
	}
	out := make([]*Endpoint, 0, localCandidates+remoteCandidates+dedicatedCandidates+1)
	out = appendRandom(out, g.local, localCandidates)
	out = appendRandom(out, g.remote, remoteCandidates)
	if a.Prompt != nil && a.Prompt.InputTokens >= veryLongPromptTokens {
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
