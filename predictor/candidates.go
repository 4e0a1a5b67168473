package predictor

import "math/rand/v2"

const (
	// maxExhaustive is the largest group of which every endpoint is considered for each
	// request. Of a larger one, nearCandidates of the router's zone and farCandidates of
	// other zones are drawn at random.
	maxExhaustive  = 256
	nearCandidates = 16
	farCandidates  = 4
	// giantCandidates are drawn of the endpoints set apart for giants.
	giantCandidates = 4
)

// candidates returns the endpoints to consider for a request: beside the home, a draw of
// constant size.
func (g *group) candidates(a Ask, home *Endpoint) []*Endpoint {
	if len(g.endpoints) <= maxExhaustive {
		return g.endpoints
	}
	out := make([]*Endpoint, 0, nearCandidates+farCandidates+giantCandidates+1)
	out = appendDraw(out, g.near, nearCandidates)
	out = appendDraw(out, g.far, farCandidates)
	if a.Prompt != nil && a.Prompt.In >= giant {
		out = appendDraw(out, g.nearApart, giantCandidates)
	}
	if home != nil {
		out = append(out, home)
	}
	return out
}

// appendDraw appends n endpoints drawn from a list, which may repeat.
func appendDraw(out, list []*Endpoint, n int) []*Endpoint {
	if len(list) == 0 {
		return out
	}
	for range n {
		out = append(out, list[rand.IntN(len(list))])
	}
	return out
}
