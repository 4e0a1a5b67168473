package shaper

import (
	"net"
	"time"
)

// Listener returns a listener whose connections record the bytes that they send and receive.
func (a *Admission) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, admission: a}
}

type listener struct {
	net.Listener
	admission *Admission
}

type conn struct {
	net.Conn
	admission *Admission
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, admission: l.admission}, nil
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection and records the bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.admission.Received(time.Now(), n)
	}
	return n, err
}

// Write writes to the connection and records the bytes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.admission.Sent(time.Now(), n)
	return n, err
}
