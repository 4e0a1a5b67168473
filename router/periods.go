package router

// Periods of a router's messages, for what is worked out from them.
const (
	// BeatEvery is the time between two beats to one sibling.
	BeatEvery = heartbeatInterval
	// RenewAfter is the time between two announcements of an endpoint to one
	// router.
	RenewAfter = renewInterval
)
