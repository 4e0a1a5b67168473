package router

import "rattanhoist.example/rattanhoist"

// HomeOf returns which of the routers is home to a request when all live.
func HomeOf(k rattanhoist.RequestKey, routers ...string) string {
	best := routers[0]
	for _, r := range routers {
		if score(r, k) > score(best, k) {
			best = r
		}
	}
	return best
}
