package ingress

import (
	"net"
	"os"
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
	// received means that the body of its request has been read to its end.
	received bool
	// written are the bytes of the present window of writeWindowBytes, and writing is the time
	// that sending them has taken. They are used only by Write, which net/http calls from one
	// goroutine at a time.
	written int
	writing time.Duration
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

// Read notes progress and charges the bytes of headers. Those of bodies are charged by
// ReadBody.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.guard.noteRead(c, int64(n)) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write ends with an error if the client takes longer than Limits.WriteTime to accept
// writeWindowBytes. Time between answers does not count. The window spans calls, so that
// many small answers have no more time than a large one.
func (c *conn) Write(data []byte) (int, error) {
	sent := 0
	for {
		left := c.guard.limits.WriteTime - c.writing
		if left <= 0 {
			return sent, os.ErrDeadlineExceeded
		}
		start := c.guard.now()
		if err := c.SetWriteDeadline(start.Add(left)); err != nil {
			return sent, err
		}
		n, err := c.Conn.Write(data[sent:min(len(data), sent+writeWindowBytes-c.written)])
		sent, c.written, c.writing = sent+n, c.written+n, c.writing+c.guard.now().Sub(start)
		if c.written == writeWindowBytes {
			c.written, c.writing = 0, 0
		}
		if err != nil || sent == len(data) {
			return sent, err
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
