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
	out := Crash{
		Request: FingerprintFromMessage(c.GetRequest()), Endpoint: enroller.Incarnation{ID: c.GetEndpoint(), BornMS: c.GetBornMs()},
		At:      now.Add(-time.Duration(c.GetAgoMs()) * time.Millisecond),
		Elapsed: time.Duration(c.GetUnderwayMs()) * time.Millisecond,
	}
	for _, p := range c.GetParts() {
		out.Parts = AppendPart(out.Parts, Part(p))
	}
	return out
}

// Message returns the message that reports the crash if it is sent now.
func (c Crash) Message(now time.Time) *messenger.Crash {
	out := &messenger.Crash{
		Request: c.Request.Message(), Endpoint: c.Endpoint.ID, BornMs: c.Endpoint.BornMS, UnderwayMs: c.Elapsed.Milliseconds(),
		AgoMs: now.Sub(c.At).Milliseconds(),
	}
	for _, p := range c.Parts {
		out.Parts = append(out.Parts, uint64(p))
	}
	return out
}

// AnsweredPartFromMessage returns the answer in a message that was received now.
func AnsweredPartFromMessage(now time.Time, m *messenger.AnsweredPart) AnsweredPart {
	return AnsweredPart{
		Part: SharedPart{Workspace: m.GetWorkspace(), Part: Part(m.GetPart())}, OfAny: m.GetOfAny(),
		At: now.Add(-time.Duration(m.GetAgoMs()) * time.Millisecond),
	}
}

// Message returns the message that reports the answer if it is sent now.
func (a AnsweredPart) Message(now time.Time) *messenger.AnsweredPart {
	return &messenger.AnsweredPart{Workspace: a.Part.Workspace, Part: uint64(a.Part.Part), OfAny: a.OfAny, AgoMs: now.Sub(a.At).Milliseconds()}
}
