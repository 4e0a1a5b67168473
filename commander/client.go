package commander

import (
	"cmp"
	"context"
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// keeperTimeout is well below defaultTimeout, so that the other keepers can be queried after one that
// does not answer.
const (
	defaultTimeout = 12 * time.Second
	keeperTimeout  = 3 * time.Second
	roundPause     = 200 * time.Millisecond
)

// operatorNode is the name of the node in the proofs of commands.
const operatorNode = "operator"

// client is an operator's connection to one process.
type client struct {
	process loader.Process
	conn    *grpc.ClientConn
}

func (c *client) config() messenger.ConfigurationKeeperClient {
	return messenger.NewConfigurationKeeperClient(c.conn)
}

func (c *client) budget() messenger.BudgetKeeperClient {
	return messenger.NewBudgetKeeperClient(c.conn)
}

func (c *client) operations() messenger.OperationsClient {
	return messenger.NewOperationsClient(c.conn)
}

// dial connects to a process. If it fails, nothing has been sent.
func dial(ctx context.Context, s *loader.Settings, p loader.Process) (*client, func(), error) {
	conn, err := messenger.NewDialer(operatorNode, messenger.RoleOperator, s.OperatorKey(), messenger.WithTLS(s.TLS())).Dial(p.RPC())
	if err != nil {
		return nil, nil, err
	}
	conn.Connect()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		if state == connectivity.TransientFailure || !conn.WaitForStateChange(ctx, state) {
			defer func() { _ = conn.Close() }()
			return nil, nil, merry.Errorf("%w: %s %s at %s%s", ErrUnreachable, p.Kind(), p.Name(), p.RPC(), connectionFailure(ctx, conn))
		}
	}
	return &client{process: p, conn: conn}, func() { _ = conn.Close() }, nil
}

// errNotAnswered is returned if a keeper is running and could not answer.
var errNotAnswered = merry.Sentinel("not answered")

// connectionFailure returns the reason why a connection could not be made. Only a call returns it; this
// one changes nothing if it succeeds.
func connectionFailure(ctx context.Context, conn *grpc.ClientConn) string {
	_, err := messenger.NewOperationsClient(conn).State(ctx, &messenger.StateRequest{})
	if status.Code(err) != codes.Unavailable {
		return " does not answer"
	}
	return ": " + status.Convert(err).Message()
}

type clientFunc func(context.Context, *client) error

// withKeeper calls f with one keeper after the other until one answers. If an attempt may have changed
// something, f returns ErrOutcomeUnknown, and must make the same change with the same id when it is
// called again. Keepers that are running and can't answer yet are tried again until the timeout of the
// command. If none is running, the command fails at once.
func (a *app) withKeeper(ctx context.Context, f clientFunc) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	var unknown error
	for {
		err := queryEachKeeper(ctx, s, f)
		if errors.Is(err, ErrOutcomeUnknown) {
			unknown = err
		}
		if unknown == nil && !errors.Is(err, errNotAnswered) || !retryable(err) {
			return refusal(err)
		}
		select {
		case <-ctx.Done():
			return cmp.Or(unknown, err)
		case <-time.After(roundPause):
		}
	}
}

// queryKeeper returns the answer of the first keeper that gives one. f must be as for withKeeper.
func queryKeeper[R any](ctx context.Context, a *app, f func(context.Context, *client) (R, error)) (R, error) {
	var out R
	err := a.withKeeper(ctx, func(ctx context.Context, k *client) error {
		var err error
		out, err = f(ctx, k)
		return err
	})
	return out, err
}

// queryEachKeeper queries each keeper once, until one gives a final answer.
func queryEachKeeper(ctx context.Context, s *loader.Settings, f clientFunc) error {
	var failed []string
	out := ErrUnreachable
	for _, p := range s.Processes(loader.KindKeeper) {
		err := try(ctx, s, p, f)
		switch {
		case !retryable(err):
			return err
		case errors.Is(err, ErrOutcomeUnknown):
			out = err
		case !errors.Is(err, ErrUnreachable) && !errors.Is(out, ErrOutcomeUnknown):
			out = errNotAnswered
		}
		failed = append(failed, reason(p, err))
	}
	if errors.Is(out, ErrOutcomeUnknown) {
		return out
	}
	return merry.Errorf("%w: no keeper answered:\n  %s", out, strings.Join(failed, "\n  "))
}

func reason(p loader.Process, err error) string {
	if errors.Is(err, ErrUnreachable) {
		return strings.TrimPrefix(err.Error(), ErrUnreachable.Error()+": ")
	}
	return p.Kind() + " " + p.Name() + " at " + p.RPC() + ": " + status.Convert(err).Message()
}

func try(ctx context.Context, s *loader.Settings, p loader.Process, f clientFunc) error {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	c, closeConn, err := dial(ctx, s, p)
	if err != nil {
		return err
	}
	defer closeConn()
	return f(ctx, c)
}

// retryable reports whether another keeper may be able to answer.
func retryable(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, errNotAnswered) || errors.Is(err, ErrOutcomeUnknown) || outcomeUncertain(err)
}

// outcomeUncertain reports whether it is unknown if a call reached its server.
func outcomeUncertain(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return true
	default:
		return false
	}
}

// refusal converts the final error of a server into an error of this package, by its cause.
func refusal(err error) error {
	s, ok := status.FromError(err)
	if err == nil || !ok {
		return err
	}
	switch s.Code() {
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.FailedPrecondition, codes.OutOfRange:
		return merry.Errorf("%w: %s", ErrRefused, s.Message())
	case codes.Unauthenticated:
		return merry.Errorf("operator_key_file: %s", s.Message())
	default:
		return merry.New(s.Message())
	}
}
