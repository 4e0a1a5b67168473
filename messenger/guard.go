// Package messenger carries the protocol between the processes of a
// deployment: its messages, the proof that a peer belongs to the deployment,
// and the dialer at which tests cut connections.
package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Role is what a peer proves to be.
type Role string

// Roles of peers.
const (
	RoleMember   Role = "member"
	RoleOperator Role = "operator"
)

const (
	proofHeader = "rattanhoist-proof"
	nodeHeader  = "rattanhoist-node"
	// proofMaxAge bounds how long a recorded proof may be replayed, to the
	// same method only; it also bounds the clock difference between VMs.
	proofMaxAge = time.Minute
	nonceBytes  = 12
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

// claim is what a proof signs. The method is part of it: without it, whoever
// records a harmless call could send its proof along with a top-up.
type claim struct {
	role   Role
	node   string
	at     string
	nonce  string
	method string
}

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

// guard checks the proofs of one server's callers.
type guard struct {
	keys Keys
	now  func() time.Time
	// Seen bars operators' proofs from a second use. Members' proofs are not
	// kept: at thousands of calls a second they would fill the memory, and
	// each of their changes carries an identity that counts once.
	seen *seenNonces
}

func newGuard(k Keys, now func() time.Time) *guard {
	return &guard{keys: k, now: now, seen: &seenNonces{}}
}

func (g *guard) check(ctx context.Context, method string) error {
	md, _ := metadata.FromIncomingContext(ctx)
	parts := strings.Split(first(md, proofHeader), ":")
	if len(parts) != 4 {
		return status.Error(codes.Unauthenticated, "the call carries no proof of the deployment's key")
	}
	c := claim{role: Role(parts[0]), node: first(md, nodeHeader), at: parts[1], nonce: parts[2], method: method}
	key, known := g.keys[c.role]
	if !hmac.Equal([]byte(c.sign(key)), []byte(parts[3])) || !known {
		return status.Error(codes.Unauthenticated, "the proof does not fit the deployment's key")
	}
	now := g.now()
	ms, err := strconv.ParseInt(c.at, 10, 64)
	if err != nil || now.Sub(time.UnixMilli(ms)).Abs() > proofMaxAge {
		return status.Error(codes.Unauthenticated, "the proof is too old; compare the clocks of the VMs")
	}
	if c.role != RoleOperator {
		return nil
	}
	if !operatorMethods[method] {
		return status.Error(codes.PermissionDenied, "operators may not call "+method)
	}
	if !g.seen.first(c.nonce, now) {
		return status.Error(codes.Unauthenticated, "the proof was used before")
	}
	return nil
}

// seenNonces remembers nonces for as long as their proofs are valid, in two
// generations. A proof is valid from proofMaxAge before its time to as long
// after, so a generation lasts twice that.
type seenNonces struct {
	mu       sync.Mutex
	since    time.Time
	now, old map[string]bool
}

// first reports whether the nonce is new, and remembers it.
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

func first(md metadata.MD, key string) string {
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}

// NewServer returns a gRPC server that admits only peers with a proof.
func NewServer(k Keys, list ...Option) *grpc.Server {
	g := newGuard(k, time.Now)
	options := append(serverTracing(),
		grpc.Creds(newOptions(list).credentials()),
		grpc.MaxRecvMsgSize(maxMessage),
		// The library's default ends connections that ping as often as Dial
		// does; calls in progress would fail every half minute.
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			if err := g.check(ctx, info.FullMethod); err != nil {
				return nil, count(info.FullMethod, err)
			}
			out, err := h(ctx, req)
			return out, count(info.FullMethod, err)
		}),
		grpc.ChainStreamInterceptor(func(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			if err := g.check(ss.Context(), info.FullMethod); err != nil {
				return count(info.FullMethod, err)
			}
			return count(info.FullMethod, h(srv, ss))
		}),
	)
	return grpc.NewServer(options...)
}
