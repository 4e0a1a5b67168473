package quarantiner

import (
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// FingerprintFromMessage returns the fingerprint in a message.
func FingerprintFromMessage(c *messenger.Content) Fingerprint {
	return Fingerprint{Workspace: c.GetWorkspace(), Sum: c.GetSum()}
}

// Message returns the message for the fingerprint.
func (f Fingerprint) Message() *messenger.Content {
	return &messenger.Content{Workspace: f.Workspace, Sum: f.Sum}
}

// CrashFromMessage returns the crash in a message that was received now.
func CrashFromMessage(now time.Time, c *messenger.Crash) Crash {
	return Crash{
		Request: FingerprintFromMessage(c.GetRequest()), Endpoint: enroller.Incarnation{ID: c.GetEndpoint(), BornMS: c.GetBornMs()},
		At:      now.Add(-time.Duration(c.GetAgoMs()) * time.Millisecond),
		Elapsed: time.Duration(c.GetUnderwayMs()) * time.Millisecond,
	}
}

// Message returns the message that reports the crash if it is sent now.
func (c Crash) Message(now time.Time) *messenger.Crash {
	return &messenger.Crash{
		Request: c.Request.Message(), Endpoint: c.Endpoint.ID, BornMs: c.Endpoint.BornMS, UnderwayMs: c.Elapsed.Milliseconds(),
		AgoMs: now.Sub(c.At).Milliseconds(),
	}
}
