package courier

import (
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// crashReport is the content of one sync request: the number of crashes up to the last one
// reported, dropped ones included, the number of answered requests, and the rest as sent.
type crashReport struct {
	crashes, cleared int
	answeredParts    []quarantiner.AnsweredPart
	refused          []quarantiner.Subject
}

// fillRequest adds the crashes, what was answered and refused, and the newest known
// decision to a sync request.
func (q *quarantine) fillRequest(r *messenger.SyncRequest) crashReport {
	r.Quarantine = q.held.Load().newest
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	unreported := q.recent[q.reported-q.dropped:]
	unreported = unreported[:min(len(unreported), maxReported)]
	for _, c := range unreported {
		r.Crashes = append(r.Crashes, c.Message(now))
	}
	for _, f := range q.cleared {
		r.Answered = append(r.Answered, f.Message())
	}
	out := crashReport{crashes: q.reported + len(r.Crashes), cleared: len(r.Answered), answeredParts: q.unreportedAnswers(unreported), refused: q.refused}
	for _, a := range out.answeredParts {
		r.AnsweredParts = append(r.AnsweredParts, a.Message(now))
	}
	for _, s := range out.refused {
		r.Refused = append(r.Refused, s.Message())
	}
	return out
}

// unreportedAnswers returns the answers to requests with prompt parts that keepers want to know of:
// parts of the crashes, parts that keepers suspect and those that are held back. The caller holds
// q.mu.
func (q *quarantine) unreportedAnswers(crashes []quarantiner.Crash) []quarantiner.AnsweredPart {
	var out []quarantiner.AnsweredPart
	considered := map[quarantiner.SharedPart]bool{}
	consider := func(p quarantiner.SharedPart) {
		if considered[p] || len(out) >= maxAnswersReported {
			return
		}
		considered[p] = true
		if at := q.local.Answered().At(p); at.Sub(q.reportedParts.At(p)) >= answerReportInterval {
			out = append(out, quarantiner.AnsweredPart{Part: p, At: at})
		} else if at := q.local.Answered().OfAnyAt(p.Part); at.Sub(q.reportedParts.OfAnyAt(p.Part)) >= answerReportInterval {
			out = append(out, quarantiner.AnsweredPart{Part: quarantiner.SharedPart{Part: p.Part}, OfAny: true, At: at})
		}
	}
	held := q.held.Load()
	for s := range held.until {
		if !s.IsPart() {
			continue
		}
		consider(quarantiner.SharedPart{Workspace: s.Workspace, Part: quarantiner.Part(s.Sum)})
		for _, p := range held.with[s] {
			consider(quarantiner.SharedPart{Workspace: s.Workspace, Part: p})
		}
	}
	for _, p := range q.suspects {
		consider(p)
	}
	for _, c := range crashes {
		for _, p := range c.Parts {
			consider(quarantiner.SharedPart{Workspace: c.Request.Workspace, Part: p})
		}
	}
	return out
}

// reportAccepted records that a keeper with a majority, which started at the given time, has
// received a report. If it started after the last report, other keepers may have restarted as
// well and none may know the earlier reports, so all crashes and answers are reported again.
func (q *quarantine) reportAccepted(now, started time.Time, t crashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if started.After(q.reportedAt) {
		q.reported = q.dropped
		q.reportedParts = quarantiner.AnsweredParts{}
	} else {
		q.reported = min(max(q.reported, t.crashes), q.dropped+len(q.recent))
		for _, a := range t.answeredParts {
			q.reportedParts.Add(a)
		}
	}
	q.cleared = q.cleared[min(t.cleared, len(q.cleared)):]
	q.refused = slices.DeleteFunc(slices.Clone(q.refused), func(s quarantiner.Subject) bool { return slices.Contains(t.refused, s) })
	q.reportedAt = now
}

// setSuspects replaces the prompt parts that keepers suspect.
func (q *quarantine) setSuspects(list []*messenger.Content) {
	var suspects []quarantiner.SharedPart
	for _, m := range list {
		if s := quarantiner.SubjectFromMessage(m); s.IsPart() {
			suspects = append(suspects, quarantiner.SharedPart{Workspace: s.Workspace, Part: quarantiner.Part(s.Sum)})
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.suspects = suspects
}
