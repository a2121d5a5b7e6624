package ingress

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// writeWindowBytes is the part of an answer that a client must read within Limits.WriteTime, so
// that a large answer may take longer than a small one.
const writeWindowBytes = 64 << 10

// conn is a connection of a client. Its state is protected by the lock of the guard.
type conn struct {
	net.Conn
	guard *Guard
	info  ConnInfo
	// source is charged for info.Held and for body.
	source string
	body   int64 // bytes of the body of the request that is being carried out
	header int64 // memory that its header is charged for
	// closed means that the connection was closed; a request on it must not be carried out.
	closed bool
	// evicted is set if its body was given up for others: the limit that was reached.
	evicted error
}

// giveUpError returns an error if the body must not be kept. The caller holds the lock.
func (c *conn) giveUpError() error {
	if c.closed {
		return ErrExhausted
	}
	return c.evicted
}

// Read charges the bytes of headers. Those of bodies are charged by ReadBody.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.guard.noteRead(c, int64(n)) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes in pieces, each with a deadline.
func (c *conn) Write(data []byte) (int, error) {
	written := 0
	for {
		piece := data[written:min(len(data), written+writeWindowBytes)]
		if err := c.SetWriteDeadline(c.guard.now().Add(c.guard.limits.WriteTime)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		if written += n; err != nil || written == len(data) {
			return written, err
		}
	}
}

// CloseWrite is used by net/http after a refusal, so that the client still gets the answer.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return eris.New("the connection cannot be closed for writing")
	}
	return half.CloseWrite()
}

// Close closes the connection and gives back what it holds.
func (c *conn) Close() error {
	c.guard.remove(c)
	return c.Conn.Close()
}

// past is a deadline that ends a pending read at once.
var past = time.Unix(1, 0)
