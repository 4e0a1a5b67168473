package quarantiner

import (
	"slices"

	"rattanhoist.example/rattanhoist/messenger"
)

// Kind is what a Subject stands for.
type Kind uint8

const (
	// KindRequest stands for all equal requests of a workspace.
	KindRequest Kind = iota
	// KindPart stands for the requests of a workspace whose prompts share a part.
	KindPart
	// KindPartOfAny stands for the requests of any workspace whose prompts share a part.
	KindPartOfAny
)

// Subject is what a quarantine holds back.
type Subject struct {
	Kind Kind
	// Workspace is empty for KindPartOfAny, and if the route requires no key.
	Workspace string
	// Sum is the sum of a Fingerprint or a Part.
	Sum uint64
}

// HeldSubject is a subject of which only the requests are held back that have other parts as well.
type HeldSubject struct {
	Subject Subject
	// With holds these parts; empty for most subjects.
	With []Part
}

// HeldSubjectFromMessage returns the held subject in a message.
func HeldSubjectFromMessage(c *messenger.Content) HeldSubject {
	h := HeldSubject{Subject: SubjectFromMessage(c)}
	for _, p := range c.GetWith() {
		h.With = AppendPart(h.With, Part(p))
	}
	return h
}

// Message returns the message for the held subject.
func (h HeldSubject) Message() *messenger.Content {
	c := h.Subject.Message()
	for _, p := range h.With {
		c.With = append(c.With, uint64(p))
	}
	return c
}

// HasParts reports whether the request has all parts.
func (in Input) HasParts(parts []Part) bool {
	for _, p := range parts {
		if !slices.Contains(in.Parts, p) {
			return false
		}
	}
	return true
}

// RequestSubject returns the subject of all requests with the fingerprint.
func RequestSubject(f Fingerprint) Subject {
	return Subject{Kind: KindRequest, Workspace: f.Workspace, Sum: f.Sum}
}

// PartSubject returns the subject of all requests of a workspace with the part.
func PartSubject(p SharedPart) Subject {
	return Subject{Kind: KindPart, Workspace: p.Workspace, Sum: uint64(p.Part)}
}

// PartOfAnySubject returns the subject of all requests with the part.
func PartOfAnySubject(p Part) Subject { return Subject{Kind: KindPartOfAny, Sum: uint64(p)} }

// IsPart reports whether the subject is a prompt part.
func (s Subject) IsPart() bool { return s.Kind != KindRequest }

// String returns the sum or the part as it appears in log lines.
func (s Subject) String() string {
	if s.IsPart() {
		return Part(s.Sum).String()
	}
	return Fingerprint{Sum: s.Sum}.String()
}

// SubjectFromMessage returns the subject in a message.
func SubjectFromMessage(c *messenger.Content) Subject {
	return Subject{Kind: Kind(c.GetKind()), Workspace: c.GetWorkspace(), Sum: c.GetSum()}
}

// Message returns the message for the subject.
func (s Subject) Message() *messenger.Content {
	return &messenger.Content{Workspace: s.Workspace, Sum: s.Sum, Kind: messenger.ContentKind(s.Kind)}
}

// Find returns the first subject that a request belongs to and that contains reports, and whether
// there is one. It does not allocate.
func (in Input) Find(contains func(Subject) bool) (Subject, bool) {
	if s := RequestSubject(in.Fingerprint); contains(s) {
		return s, true
	}
	for _, p := range in.Parts {
		if s := PartSubject(SharedPart{Workspace: in.Fingerprint.Workspace, Part: p}); contains(s) {
			return s, true
		}
		if s := PartOfAnySubject(p); contains(s) {
			return s, true
		}
	}
	return Subject{}, false
}
