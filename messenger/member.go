package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"google.golang.org/grpc/credentials"
)

// MemberGuard admits calls of the members of a fleet. A member proves what it is with its
// incarnation, a random number that only the processes of the fleet are told.
type MemberGuard struct {
	// incarnationOf returns the incarnation of the member at an internal address.
	incarnationOf func(address string) (uint64, bool)
	now           func() time.Time
	seen          *seenNonces
}

// NewMemberGuard returns a guard for the members that incarnationOf knows.
func NewMemberGuard(incarnationOf func(address string) (uint64, bool), now func() time.Time) *MemberGuard {
	return &MemberGuard{incarnationOf: incarnationOf, now: now, seen: &seenNonces{}}
}

// Check returns an error unless the call to a method carries the proof of a member, for the first
// time.
func (g *MemberGuard) Check(ctx context.Context, method string) error {
	c, err := verifyProof(ctx, method, g.now(), func(c claim) ([]byte, bool) {
		incarnation, known := g.incarnationOf(c.node)
		return incarnationKey(incarnation), known && incarnation != 0 && c.role == RoleMember
	})
	if err != nil {
		return err
	}
	return g.seen.check(c.nonce, g.now())
}

// incarnationKey returns the key with which a member proves its incarnation.
func incarnationKey(incarnation uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, incarnation)
}

// memberProof returns the credentials of a member.
func memberProof(m *FleetMember) credentials.PerRPCCredentials {
	return proof{role: RoleMember, node: m.Address, key: incarnationKey(m.Incarnation), now: time.Now}
}

// datagramProofBytes is the length of the proof of a datagram.
const datagramProofBytes = 16

// SignDatagram returns the proof that a member sends the content of a datagram to an address.
func SignDatagram(m *FleetMember, to string, content []byte) []byte {
	return datagramProof(m.Incarnation, m.Address, to, content)
}

// CheckDatagram reports whether a datagram was sent to an address by the member that it names. The
// same datagram may arrive again: its proof stays valid.
func (g *MemberGuard) CheckDatagram(from, to string, content, proof []byte) bool {
	incarnation, known := g.incarnationOf(from)
	return known && incarnation != 0 && hmac.Equal(datagramProof(incarnation, from, to, content), proof)
}

func datagramProof(incarnation uint64, from, to string, content []byte) []byte {
	m := hmac.New(sha256.New, incarnationKey(incarnation))
	for _, part := range [][]byte{[]byte(from), []byte(to), content} {
		_, _ = m.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = m.Write(part)
	}
	return m.Sum(nil)[:datagramProofBytes]
}
