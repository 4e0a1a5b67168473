package narrator

import (
	"slices"
	"time"
)

// alignClocks sets the clock offset of each line. Every process logs when it
// learns of a new configuration number, and all processes learn of it at about
// the same time. If a process differs from the median of all by more than
// maxPropagationDelay twice in a row, the difference is taken as its clock
// offset. A single difference means that the process was cut off from the
// network and learned of the configuration late.
func alignClocks(all []*Line) {
	known := map[float64][]time.Time{}
	for _, l := range all {
		if n, ok := learnedConfiguration(l); ok {
			known[n] = append(known[n], l.At)
		}
	}
	byProcess := map[string][]*Line{}
	for _, l := range all {
		byProcess[l.Process] = append(byProcess[l.Process], l)
	}
	for _, lines := range byProcess {
		assignOffsets(lines, estimateOffsets(lines, known))
	}
}

// estimateOffsets returns the clock offset at each line of one process that
// reports a configuration known to at least three processes. Each offset is the
// median of three consecutive observations, which suppresses a single outlier.
// With fewer than three, the smallest offset by absolute value wins.
func estimateOffsets(lines []*Line, known map[float64][]time.Time) map[*Line]time.Duration {
	var at []*Line
	var seen []time.Duration
	for _, l := range lines {
		if n, ok := learnedConfiguration(l); ok && len(known[n]) > 2 {
			at = append(at, l)
			seen = append(seen, ignorePropagationDelay(l.At.Sub(median(known[n]))))
		}
	}
	out := map[*Line]time.Duration{}
	for i, l := range at {
		near := slices.Sorted(slices.Values(seen[max(i-1, 0):min(i+2, len(seen))]))
		out[l] = near[len(near)/2]
		if len(near) < 3 && near[0].Abs() < out[l].Abs() {
			out[l] = near[0]
		}
	}
	return out
}

// learnedConfiguration returns the configuration number that the line reports
// as newly learned. It returns false for other lines.
func learnedConfiguration(l *Line) (float64, bool) {
	if l.Message != "configuration in force" && l.Message != "configuration" {
		return 0, false
	}
	n, ok := l.Fields["number"].(float64)
	return n, ok
}

// median returns the middle one of the times, or the later of the two middle
// ones.
func median(times []time.Time) time.Time {
	s := slices.SortedFunc(slices.Values(times), time.Time.Compare)
	return s[len(s)/2]
}

// ignorePropagationDelay returns zero if d is shorter than maxPropagationDelay,
// and d otherwise.
func ignorePropagationDelay(d time.Duration) time.Duration {
	if d.Abs() < maxPropagationDelay {
		return 0
	}
	return d
}

// assignOffsets sets the offset of each line of one process to the latest
// estimate at or before the line. Lines before the first estimate get the first
// one.
func assignOffsets(lines []*Line, seen map[*Line]time.Duration) {
	var offset time.Duration
	if i := slices.IndexFunc(lines, func(l *Line) bool { _, ok := seen[l]; return ok }); i >= 0 {
		offset = seen[lines[i]]
	}
	for _, l := range lines {
		if o, ok := seen[l]; ok {
			offset = o
		}
		l.Offset = offset
	}
}
