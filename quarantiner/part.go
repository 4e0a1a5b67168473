package quarantiner

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of prompts that requests share, whatever its number of tokens.
type Part uint64

const (
	// maxParts is the maximum number of parts of one request that are considered.
	maxParts = 64
	// maxPartDigits is the number of hexadecimal digits in a Part.
	maxPartDigits = 16
)

// NewPart returns the part with an id. Ids are hexadecimal numbers: the case of the digits and
// leading zeros do not matter. It does not allocate.
func NewPart(id string) Part {
	digits := strings.TrimLeft(id, "0")
	if len(digits) > maxPartDigits {
		return Part(xxhash.Sum64String(id))
	}
	var p Part
	for i := range len(digits) {
		d, ok := hexDigit(digits[i])
		if !ok {
			return Part(xxhash.Sum64String(id))
		}
		p = p<<4 | Part(d)
	}
	return p
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

// String returns the part as it appears in log lines.
func (p Part) String() string { return fmt.Sprintf("%x", uint64(p)) }

// Input describes what an endpoint is asked to run.
type Input struct {
	Fingerprint Fingerprint
	// Parts holds the shared parts of the prompt, each once.
	Parts []Part
}

// AppendPart appends a part to a list, unless it contains the part or is full.
func AppendPart(list []Part, p Part) []Part {
	if len(list) >= maxParts {
		return list
	}
	for _, x := range list {
		if x == p {
			return list
		}
	}
	return append(list, p)
}
