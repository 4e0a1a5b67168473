// Package messenger carries the protocol between the processes of a
// deployment: its messages, the proof that a peer belongs to the deployment,
// and the dialer at which tests cut connections.
package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
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
	// proofMaxAge bounds how long a recorded proof may be replayed; it also
	// bounds the clock difference between VMs.
	proofMaxAge = 5 * time.Minute
)

// maxMessage bounds one message between processes; a request's body travels
// in one.
const maxMessage = 64 << 20

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
}

// proof implements credentials.PerRPCCredentials.
type proof struct {
	role Role
	node string
	key  []byte
}

var _ credentials.PerRPCCredentials = proof{}

// GetRequestMetadata returns the proof for one call.
func (p proof) GetRequestMetadata(_ context.Context, _ ...string) (map[string]string, error) {
	at := strconv.FormatInt(time.Now().UnixMilli(), 10)
	return map[string]string{
		proofHeader: string(p.role) + ":" + at + ":" + sign(p.key, p.role, p.node, at),
		nodeHeader:  p.node,
	}, nil
}

// RequireTransportSecurity reports false: the key itself never travels.
func (proof) RequireTransportSecurity() bool { return false }

func sign(key []byte, role Role, node, at string) string {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(string(role) + "\x00" + node + "\x00" + at))
	return hex.EncodeToString(m.Sum(nil))
}

func (k Keys) check(ctx context.Context, method string) error {
	md, _ := metadata.FromIncomingContext(ctx)
	parts := strings.Split(first(md, proofHeader), ":")
	if len(parts) != 3 {
		return status.Error(codes.Unauthenticated, "the call carries no proof of the deployment's key")
	}
	role := Role(parts[0])
	key, known := k[role]
	want := sign(key, role, first(md, nodeHeader), parts[1])
	if !known || !hmac.Equal([]byte(want), []byte(parts[2])) {
		return status.Error(codes.Unauthenticated, "the proof does not fit the deployment's key")
	}
	ms, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || time.Since(time.UnixMilli(ms)).Abs() > proofMaxAge {
		return status.Error(codes.Unauthenticated, "the proof is too old; compare the clocks of the VMs")
	}
	if role == RoleOperator && !operatorMethods[method] {
		return status.Error(codes.PermissionDenied, "operators may not call "+method)
	}
	return nil
}

func first(md metadata.MD, key string) string {
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}

// NewServer returns a gRPC server that admits only peers with a proof.
func NewServer(k Keys) *grpc.Server {
	return grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage),
		// The library's default ends connections that ping as often as Dial
		// does; calls in progress would fail every half minute.
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			if err := k.check(ctx, info.FullMethod); err != nil {
				return nil, err
			}
			return h(ctx, req)
		}),
		grpc.ChainStreamInterceptor(func(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			if err := k.check(ss.Context(), info.FullMethod); err != nil {
				return err
			}
			return h(srv, ss)
		}),
	)
}
