package router

// Periods of a router's messages, exported for capacity calculations.
const (
	// HeartbeatInterval is the time between two heartbeats to a sibling.
	HeartbeatInterval = heartbeatInterval
	// RenewInterval is the time between two announcements of an endpoint to one
	// router.
	RenewInterval = renewInterval
)
