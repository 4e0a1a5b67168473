package pooler

import (
	"context"
	"io"
	"net"
	"syscall"

	"rattanhoist.example/rattanhoist/detector"
)

// transport carries the bytes of a connection to an endpoint. Reads return io.EOF only if the endpoint closed the
// connection regularly.
type transport interface {
	io.ReadWriteCloser
	// Reusable reports whether an idle connection is open and has no unread bytes. Unsolicited
	// bytes belong to no request and could not be told from the next answer.
	Reusable() bool
}

// DialFunc opens a TCP connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialDirect opens a TCP connection that detects the loss of its peer.
func DialDirect(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(setAckTimeout)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// directTransport is a TCP connection to the endpoint.
type directTransport struct{ *detector.Conn }

// Reusable peeks into the socket without waiting.
func (t directTransport) Reusable() bool {
	s, ok := t.Conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// setAckTimeout sets ackTimeout on a socket.
func setAckTimeout(fd uintptr) {
	// If the option can't be set, the connection hangs for minutes after a silent loss. The
	// caller's deadline still ends the request.
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
}
