package loader

import (
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// location identifies a section, or a key in a section.
type location struct{ section, key string }

// lineIndex maps the sections and keys of a settings file to line numbers, for
// messages.
type lineIndex struct {
	// first holds the line number of the first occurrence, starting from 1.
	first map[location]int
	// repeated maps the line number of each further occurrence to its location.
	// Duplicates are errors because the INI parser silently uses the last one,
	// while an operator may read the first.
	repeated map[int]location
}

// indexLines builds the line index of a settings file. The index is empty if
// the file cannot be read.
func indexLines(file string) lineIndex {
	x := lineIndex{first: map[location]int{}, repeated: map[int]location{}}
	b, err := os.ReadFile(file)
	if err != nil {
		return x
	}
	section := ini.DefaultSection
	for i, line := range strings.Split(string(b), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, ";") || strings.HasPrefix(line, "#") {
			continue
		}
		if strings.HasPrefix(line, "[") {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			x.add(location{section: section}, i+1)
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			x.add(location{section, strings.TrimSpace(key)}, i+1)
		}
	}
	return x
}

// add records an occurrence of a section or key.
func (x lineIndex) add(p location, line int) {
	if x.first[p] == 0 {
		x.first[p] = line
		return
	}
	x.repeated[line] = p
}
