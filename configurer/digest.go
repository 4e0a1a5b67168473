package configurer

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// Object kinds, which are hashed together with each object.
const (
	kindWorkspace = "workspace"
	kindService   = "service"
	kindStatement = "statement"
	kindMember    = "member"
)

// objectDigest returns the contribution of one object to the digest.
func objectDigest(kind string, m proto.Message) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(kind)
	// Objects of a validated change can always be marshaled. If one could not,
	// every copy would omit the same content.
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	_, _ = d.Write(b)
	return d.Sum64()
}
