package quarantiner

import (
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// FingerprintOf returns the fingerprint that a message names.
func FingerprintOf(c *messenger.Content) Fingerprint {
	return Fingerprint{Workspace: c.GetWorkspace(), Sum: c.GetSum()}
}

// Content returns the message that names the fingerprint.
func (f Fingerprint) Content() *messenger.Content {
	return &messenger.Content{Workspace: f.Workspace, Sum: f.Sum}
}

// CrashOf returns the crash that a message tells of which came now.
func CrashOf(now time.Time, c *messenger.Crash) Crash {
	return Crash{
		Request: FingerprintOf(c.GetRequest()), Endpoint: enroller.Incarnation{ID: c.GetEndpoint(), BornMS: c.GetBornMs()},
		At:       now.Add(-time.Duration(c.GetAgoMs()) * time.Millisecond),
		Underway: time.Duration(c.GetUnderwayMs()) * time.Millisecond,
	}
}

// Message returns the message that tells of the crash now.
func (c Crash) Message(now time.Time) *messenger.Crash {
	return &messenger.Crash{
		Request: c.Request.Content(), Endpoint: c.Endpoint.ID, BornMs: c.Endpoint.BornMS, UnderwayMs: c.Underway.Milliseconds(),
		AgoMs: now.Sub(c.At).Milliseconds(),
	}
}
