package narrator

import (
	"slices"
	"time"
)

// align sets the lines' offsets. Each process says when it learns of a
// configuration's number, and all learn of it at about the same time. Where one
// is more than ordinaryLag from the median of all, twice in a row, its clock
// differs by as much; once alone it was cut off and learned late.
func align(all []*Line) {
	known := map[float64][]time.Time{}
	for _, l := range all {
		if n, ok := learned(l); ok {
			known[n] = append(known[n], l.At)
		}
	}
	byProcess := map[string][]*Line{}
	for _, l := range all {
		byProcess[l.Process] = append(byProcess[l.Process], l)
	}
	for _, lines := range byProcess {
		spread(lines, smooth(lines, known))
	}
}

// smooth returns the offset at each line of a process that shows one.
func smooth(lines []*Line, known map[float64][]time.Time) map[*Line]time.Duration {
	var at []*Line
	var seen []time.Duration
	for _, l := range lines {
		if n, ok := learned(l); ok && len(known[n]) > 2 {
			at = append(at, l)
			seen = append(seen, beyondLag(l.At.Sub(median(known[n]))))
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

// learned returns the number of a configuration that a process has just learned
// of.
func learned(l *Line) (float64, bool) {
	if l.Message != "configuration in force" && l.Message != "configuration" {
		return 0, false
	}
	n, ok := l.Fields["number"].(float64)
	return n, ok
}

func median(times []time.Time) time.Time {
	s := slices.SortedFunc(slices.Values(times), time.Time.Compare)
	return s[len(s)/2]
}

func beyondLag(d time.Duration) time.Duration {
	if d.Abs() < ordinaryLag {
		return 0
	}
	return d
}

// spread gives each line of a process the offset that was seen last before it,
// or first after it.
func spread(lines []*Line, seen map[*Line]time.Duration) {
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
