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

// parser reads the values of one settings file and collects errors and
// warnings, so that all of them can be reported at once.
type parser struct {
	file     string
	lines    lineIndex
	errors   []string
	warnings []string
}

// addError records an error at a key, or at a section if key is empty.
func (c *parser) addError(section, key, format string, args ...any) {
	c.errors = append(c.errors, c.formatMessage(c.lineOf(section, key), section, key, fmt.Sprintf(format, args...)))
}

// addWarning records a warning at a key, or at a section if key is empty.
func (c *parser) addWarning(section, key, format string, args ...any) {
	c.warnings = append(c.warnings, c.formatMessage(c.lineOf(section, key), section, key, fmt.Sprintf(format, args...)))
}

// lineOf returns the line number of a key or, if the key is missing, of its
// section. It returns 0 if neither is in the file.
func (c *parser) lineOf(section, key string) int {
	if n := c.lines.first[location{section, key}]; n > 0 {
		return n
	}
	return c.lines.first[location{section: section}]
}

// formatMessage prefixes a message with file, line, section and key. Line 0 is
// omitted.
func (c *parser) formatMessage(line int, section, key, text string) string {
	where := c.file
	if line > 0 {
		where = fmt.Sprintf("%s:%d", c.file, line)
	}
	if key != "" {
		key = " " + key
	}
	return fmt.Sprintf("%s: [%s]%s: %s", where, section, key, text)
}

// checkRepeated reports duplicate sections and keys as errors.
func (c *parser) checkRepeated() {
	for _, line := range slices.Sorted(maps.Keys(c.lines.repeated)) {
		p := c.lines.repeated[line]
		text := fmt.Sprintf("stands in line %d already", c.lines.first[p])
		c.errors = append(c.errors, c.formatMessage(line, p.section, p.key, text))
	}
}

// checkKeys reports keys of a section that are not in known as errors.
func (c *parser) checkKeys(sec *ini.Section, known ...string) {
	for _, k := range sec.KeyStrings() {
		if !slices.Contains(known, k) {
			c.addError(sec.Name(), k, "unknown key; want one of %s", strings.Join(known, ", "))
		}
	}
}

// readRequired returns the value of a key and reports an error if it is missing
// or empty.
func (c *parser) readRequired(sec *ini.Section, key string) string {
	v := sec.Key(key).String()
	if v == "" {
		c.addError(sec.Name(), key, "missing")
	}
	return v
}

// readString sets *to to the value of a key, if the key is present.
func (c *parser) readString(sec *ini.Section, key string, to *string) {
	if sec.HasKey(key) {
		*to = sec.Key(key).String()
	}
}

// readBool sets *to to the boolean value of a key, if the key is present.
func (c *parser) readBool(sec *ini.Section, key string, to *bool) {
	if !sec.HasKey(key) {
		return
	}
	v, err := sec.Key(key).Bool()
	if err != nil {
		c.addError(sec.Name(), key, "want true or false, not %q", sec.Key(key).String())
		return
	}
	*to = v
}

// readBytes sets *to to a positive number of bytes, if the key is present.
func (c *parser) readBytes(sec *ini.Section, key string, to *int64) {
	if !sec.HasKey(key) {
		return
	}
	v, err := sec.Key(key).Int64()
	if err != nil || v <= 0 {
		c.addError(sec.Name(), key, "want a positive number of bytes, not %q", sec.Key(key).String())
		return
	}
	*to = v
}

// readCount sets *to to a number from 1 to most, if the key is present.
func (c *parser) readCount(sec *ini.Section, key string, to *int64, most int64) {
	if !sec.HasKey(key) {
		return
	}
	v, err := sec.Key(key).Int64()
	if err != nil || v <= 0 || v > most {
		c.addError(sec.Name(), key, "want a number from 1 to %d, not %q", most, sec.Key(key).String())
		return
	}
	*to = v
}

// readDuration sets *to to a positive duration in Go syntax, if the key is
// present.
func (c *parser) readDuration(sec *ini.Section, key string, to *time.Duration) {
	if !sec.HasKey(key) {
		return
	}
	v, err := time.ParseDuration(sec.Key(key).String())
	if err != nil || v <= 0 {
		c.addError(sec.Name(), key, "want a positive duration such as 1.5s or 2m, not %q", sec.Key(key).String())
		return
	}
	*to = v
}

// checkOneOf checks that a value is one of the known names.
func (c *parser) checkOneOf(sec *ini.Section, key, value string, known []string) {
	if !slices.Contains(known, value) {
		c.addError(sec.Name(), key, "unknown: %q; want one of %v", value, known)
	}
}

const (
	minSecretBytes     = 16
	groupAndOthersMode = 0o077
)

// readSecret returns the content of the secret file that a key names, without
// surrounding white space. It reports an error if the file is missing or the
// secret is shorter than minSecretBytes.
func (c *parser) readSecret(sec *ini.Section, key string) []byte {
	path := sec.Key(key).String()
	if path == "" {
		c.addError(sec.Name(), key, "missing")
		return nil
	}
	path = c.resolvePath(path)
	b, err := os.ReadFile(path)
	if err != nil {
		c.addError(sec.Name(), key, "%v", err)
		return nil
	}
	c.checkPermissions(sec, key, path)
	text := strings.TrimSpace(string(b))
	if len(text) < minSecretBytes {
		c.addError(sec.Name(), key, "%s holds fewer than %d characters", path, minSecretBytes)
	}
	return []byte(text)
}

// resolvePath resolves a relative path against the directory of the settings
// file.
func (c *parser) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(c.file), path)
}

// checkPermissions adds a warning if other users of the VM can access a secret
// file.
func (c *parser) checkPermissions(sec *ini.Section, key, path string) {
	i, err := os.Stat(path)
	if err == nil && i.Mode().Perm()&groupAndOthersMode != 0 {
		c.addWarning(sec.Name(), key, "%s may be read by others (mode %o); run chmod 600 on it", path, i.Mode().Perm())
	}
}
