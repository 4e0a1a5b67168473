package measurer

// Slopes of answers.
var (
	rememberedMemory = slopeKey{"answers", "router", "remembered_memory", "request remembered, empty answer"}
	followerMemory   = slopeKey{"answers", "router", "follower_memory", "stream that waits"}
	claimMemory      = slopeKey{"answers", "keeper", "claim_memory", "claim remembered"}
)

const (
	// rememberedForS is how long a request is remembered: the default
	// deadline and what an answer is kept past it, in seconds.
	rememberedForS = 180
	// openForS is how long a stream is open, in seconds: 400 tokens of 25 ms.
	openForS = 10
	// claimRows bounds the claims of a keeper; claimer.MaxRows.
	claimRows = 200_000
)

func answerLines() []line {
	c, bound := Letter, LetterBounds
	return []line{
		{
			routerRole, "memory of requests remembered", "`joiner`: one run for each identity, its answer kept for retries (answers apart, bounded at 128 MB)",
			[]term{{rememberedMemory, c.RequestsPerNode() * rememberedForS * collector, "5,700 requests a second / 340, for 180 s, heap doubled"}},
			megabytes, bound.NodeBytes, workedOut, "",
		},
		{
			routerRole, "memory of open streams", "the same; a follower for each caller, its connection apart",
			[]term{{followerMemory, c.RequestsPerNode() * openForS, "5,700 requests a second / 340, open for 10 s"}},
			megabytes, bound.NodeBytes, workedOut, "",
		},
		{
			"Keeper that decides claims", "memory of claims", "`claimer`: key, time, state and check of each row of 24 hours, 200,000 at most; the rows on disk alone",
			[]term{{claimMemory, claimRows * collector, "the bound, heap doubled"}},
			megabytes, bound.NodeBytes, workedOut, "claims spread over keepers by id",
		},
	}
}
