package loader

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// checker collects the faults of one file.
type checker struct {
	file     string
	lines    lineIndex
	faults   []string
	warnings []string
}

func (c *checker) fault(section, key, format string, args ...any) {
	c.faults = append(c.faults, c.message(c.line(section, key), section, key, fmt.Sprintf(format, args...)))
}

func (c *checker) warn(section, key, format string, args ...any) {
	c.warnings = append(c.warnings, c.message(c.line(section, key), section, key, fmt.Sprintf(format, args...)))
}

// line returns the line of a key or, where the key is missing, of its section.
func (c *checker) line(section, key string) int {
	if n := c.lines.first[place{section, key}]; n > 0 {
		return n
	}
	return c.lines.first[place{section: section}]
}

func (c *checker) message(line int, section, key, text string) string {
	where := c.file
	if line > 0 {
		where = fmt.Sprintf("%s:%d", c.file, line)
	}
	if key != "" {
		key = " " + key
	}
	return fmt.Sprintf("%s: [%s]%s: %s", where, section, key, text)
}

// checkRepeated reports sections and keys that stand twice.
func (c *checker) checkRepeated() {
	for _, line := range slices.Sorted(maps.Keys(c.lines.repeated)) {
		p := c.lines.repeated[line]
		text := fmt.Sprintf("stands in line %d already", c.lines.first[p])
		c.faults = append(c.faults, c.message(line, p.section, p.key, text))
	}
}

func (c *checker) onlyKeys(sec *ini.Section, known ...string) {
	for _, k := range sec.KeyStrings() {
		if !slices.Contains(known, k) {
			c.fault(sec.Name(), k, "unknown key; want one of %s", strings.Join(known, ", "))
		}
	}
}

func (c *checker) required(sec *ini.Section, key string) string {
	v := sec.Key(key).String()
	if v == "" {
		c.fault(sec.Name(), key, "missing")
	}
	return v
}

func (c *checker) text(sec *ini.Section, key string, to *string) {
	if sec.HasKey(key) {
		*to = sec.Key(key).String()
	}
}

func (c *checker) flag(sec *ini.Section, key string, to *bool) {
	if !sec.HasKey(key) {
		return
	}
	v, err := sec.Key(key).Bool()
	if err != nil {
		c.fault(sec.Name(), key, "want true or false, not %q", sec.Key(key).String())
		return
	}
	*to = v
}

func (c *checker) bytes(sec *ini.Section, key string, to *int64) {
	if !sec.HasKey(key) {
		return
	}
	v, err := sec.Key(key).Int64()
	if err != nil || v <= 0 {
		c.fault(sec.Name(), key, "want a positive number of bytes, not %q", sec.Key(key).String())
		return
	}
	*to = v
}

func (c *checker) count(sec *ini.Section, key string, to *int64, most int64) {
	if !sec.HasKey(key) {
		return
	}
	v, err := sec.Key(key).Int64()
	if err != nil || v <= 0 || v > most {
		c.fault(sec.Name(), key, "want a number from 1 to %d, not %q", most, sec.Key(key).String())
		return
	}
	*to = v
}

func (c *checker) duration(sec *ini.Section, key string, to *time.Duration) {
	if !sec.HasKey(key) {
		return
	}
	v, err := time.ParseDuration(sec.Key(key).String())
	if err != nil || v <= 0 {
		c.fault(sec.Name(), key, "want a positive duration such as 1.5s or 2m, not %q", sec.Key(key).String())
		return
	}
	*to = v
}

// oneOf checks the name of a plug-in.
func (c *checker) oneOf(sec *ini.Section, key, value string, known []string) {
	if !slices.Contains(known, value) {
		c.fault(sec.Name(), key, "unknown: %q; want one of %v", value, known)
	}
}

const (
	minSecretBytes = 16
	groupAndOthers = 0o077
)

func (c *checker) secret(sec *ini.Section, key string) []byte {
	path := sec.Key(key).String()
	if path == "" {
		c.fault(sec.Name(), key, "missing")
		return nil
	}
	path = c.relative(path)
	b, err := os.ReadFile(path)
	if err != nil {
		c.fault(sec.Name(), key, "%v", err)
		return nil
	}
	c.warnReadable(sec, key, path)
	text := strings.TrimSpace(string(b))
	if len(text) < minSecretBytes {
		c.fault(sec.Name(), key, "%s holds fewer than %d characters", path, minSecretBytes)
	}
	return []byte(text)
}

// relative resolves a path against the folder of the settings file.
func (c *checker) relative(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(c.file), path)
}

// warnReadable warns of a secret that other users of the VM can read.
func (c *checker) warnReadable(sec *ini.Section, key, path string) {
	i, err := os.Stat(path)
	if err == nil && i.Mode().Perm()&groupAndOthers != 0 {
		c.warn(sec.Name(), key, "%s may be read by others (mode %o); run chmod 600 on it", path, i.Mode().Perm())
	}
}
