package router

import "rattanhoist.example/rattanhoist"

// HomeOf returns the home of a request if all of the given routers are alive.
func HomeOf(k rattanhoist.RequestKey, routers ...string) string {
	best := routers[0]
	for _, r := range routers {
		if homeScore(r, k) > homeScore(best, k) {
			best = r
		}
	}
	return best
}
