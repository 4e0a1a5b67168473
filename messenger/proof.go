package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"
)

// Role is the role that a peer proves to have.
type Role string

// Roles of peers.
const (
	RoleMember   Role = "member"
	RoleOperator Role = "operator"
)

const (
	proofHeader = "rattanhoist-proof"
	nodeHeader  = "rattanhoist-node"
	// proofMaxAge is how long a recorded proof can be replayed, to the same method only. Clocks of VMs
	// must not differ by more.
	proofMaxAge = time.Minute
	nonceBytes  = 12
)

// claim is the content that a proof signs. It contains the method, so that the proof of a recorded call
// can't be used for another method, such as a top-up.
type claim struct {
	role   Role
	node   string
	at     string
	nonce  string
	method string
}

// sign returns the signature of the claim with a key.
func (c claim) sign(key []byte) string {
	m := hmac.New(sha256.New, key)
	for _, part := range []string{string(c.role), c.node, c.at, c.nonce, c.method} {
		m.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hex.EncodeToString(m.Sum(nil))
}

// proof implements credentials.PerRPCCredentials.
type proof struct {
	role Role
	node string
	key  []byte
	now  func() time.Time
}

var _ credentials.PerRPCCredentials = proof{}

// GetRequestMetadata returns the proof for one call.
func (p proof) GetRequestMetadata(ctx context.Context, _ ...string) (map[string]string, error) {
	info, ok := credentials.RequestInfoFromContext(ctx)
	if !ok {
		return nil, status.Error(codes.Internal, "the call does not say its method")
	}
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n)
	c := claim{
		role: p.role, node: p.node, method: info.Method,
		at: strconv.FormatInt(p.now().UnixMilli(), 10), nonce: hex.EncodeToString(n),
	}
	return map[string]string{
		proofHeader: strings.Join([]string{string(c.role), c.at, c.nonce, c.sign(p.key)}, ":"),
		nodeHeader:  p.node,
	}, nil
}

// RequireTransportSecurity reports false: the key itself never travels.
func (proof) RequireTransportSecurity() bool { return false }
