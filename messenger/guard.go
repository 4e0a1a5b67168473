// Package messenger carries the protocol between the processes of a
// deployment: its messages, the proof that a peer belongs to the deployment,
// and the dialer at which tests cut connections.
package messenger

import (
	"context"
	"crypto/hmac"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Keys are the secrets of the roles.
type Keys map[Role][]byte

// operatorMethods are the calls that an operator may make.
var operatorMethods = map[string]bool{
	ConfigurationKeeper_Propose_FullMethodName: true,
	ConfigurationKeeper_Read_FullMethodName:    true,
	ConfigurationKeeper_History_FullMethodName: true,
	ConfigurationKeeper_InForce_FullMethodName: true,
	BudgetKeeper_TopUp_FullMethodName:          true,
	BudgetKeeper_Books_FullMethodName:          true,
	BudgetKeeper_Charges_FullMethodName:        true,
	Operations_State_FullMethodName:            true,
	Operations_Endpoints_FullMethodName:        true,
	Operations_Explain_FullMethodName:          true,
}

// guard checks the proofs of one server's callers.
type guard struct {
	keys Keys
	now  func() time.Time
	// seen rejects operators' proofs that were used before. Members' proofs are not kept: thousands of
	// calls a second would fill the memory, and each of their changes has an identity that counts
	// once.
	seen *seenNonces
}

func newGuard(k Keys, now func() time.Time) *guard {
	return &guard{keys: k, now: now, seen: &seenNonces{}}
}

// check returns an error unless the call to a method carries a valid proof.
func (g *guard) check(ctx context.Context, method string) error {
	c, err := verifyProof(ctx, method, g.now(), func(c claim) ([]byte, bool) {
		key, known := g.keys[c.role]
		return key, known
	})
	if err != nil || c.role != RoleOperator {
		return err
	}
	if !operatorMethods[method] {
		return status.Error(codes.PermissionDenied, "operators may not call "+method)
	}
	return g.seen.check(c.nonce, g.now())
}

// verifyProof checks the proof of a call to a method against the key of the caller.
func verifyProof(ctx context.Context, method string, now time.Time, keyOf func(claim) ([]byte, bool)) (claim, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	parts := strings.Split(first(md, proofHeader), ":")
	if len(parts) != 4 {
		return claim{}, status.Error(codes.Unauthenticated, "the call carries no proof of the deployment's key")
	}
	c := claim{role: Role(parts[0]), node: first(md, nodeHeader), at: parts[1], nonce: parts[2], method: method}
	key, known := keyOf(c)
	if !hmac.Equal([]byte(c.sign(key)), []byte(parts[3])) || !known {
		return claim{}, status.Error(codes.Unauthenticated, "the proof does not fit the deployment's key")
	}
	ms, err := strconv.ParseInt(c.at, 10, 64)
	if err != nil || now.Sub(time.UnixMilli(ms)).Abs() > proofMaxAge {
		return claim{}, status.Error(codes.Unauthenticated, "the proof is too old; compare the clocks of the VMs")
	}
	return c, nil
}

// seenNonces holds nonces for as long as their proofs are valid, in two generations. A proof is valid
// from proofMaxAge before its time to proofMaxAge after it, so a generation lasts twice that.
type seenNonces struct {
	mu       sync.Mutex
	since    time.Time
	now, old map[string]bool
}

// check returns an error if the nonce was used before, and remembers it.
func (s *seenNonces) check(nonce string, now time.Time) error {
	if !s.first(nonce, now) {
		return status.Error(codes.Unauthenticated, "the proof was used before")
	}
	return nil
}

// first reports whether the nonce is new, and records it.
func (s *seenNonces) first(nonce string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now == nil || now.Sub(s.since) > 2*proofMaxAge {
		s.old, s.now, s.since = s.now, map[string]bool{}, now
	}
	if s.now[nonce] || s.old[nonce] {
		return false
	}
	s.now[nonce] = true
	return true
}

// first returns the first value of a key, or "".
func first(md metadata.MD, key string) string {
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}
