package loader

import (
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// place is a section, or a key in one.
type place struct{ section, key string }

// lineIndex says where things stand in a settings file, for messages.
type lineIndex struct {
	// First holds the line of the first occurrence, from 1.
	first map[place]int
	// Repeated holds the line of each later occurrence: the parser takes the
	// last one without a word, and an operator would read the first.
	repeated map[int]place
}

func indexLines(file string) lineIndex {
	x := lineIndex{first: map[place]int{}, repeated: map[int]place{}}
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
			x.add(place{section: section}, i+1)
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			x.add(place{section, strings.TrimSpace(key)}, i+1)
		}
	}
	return x
}

func (x lineIndex) add(p place, line int) {
	if x.first[p] == 0 {
		x.first[p] = line
		return
	}
	x.repeated[line] = p
}
