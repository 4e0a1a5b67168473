package configurer

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// Kinds of objects in a digest.
const (
	kindWorkspace = "workspace"
	kindService   = "service"
	kindStatement = "statement"
	kindMember    = "member"
)

// hash returns the part of one object in the digest.
func hash(kind string, m proto.Message) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(kind)
	// Objects of a checked change marshal; an error would leave the same part
	// out of every copy.
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	_, _ = d.Write(b)
	return d.Sum64()
}
