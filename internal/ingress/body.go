package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// firstPieceBytes and largestPieceBytes are the sizes of the pieces of a body. A piece is charged
	// before it is allocated, so a connection that sends nothing holds firstPieceBytes.
	firstPieceBytes   = 2 << 10
	largestPieceBytes = 64 << 10
	// minRateBytesPerSecond is the least rate of a body in bytes per second, from rateGrace on.
	minRateBytesPerSecond = 1 << 10
	rateGrace             = time.Second
	// deadlineStep is the least change of a read deadline, which costs a system call or a
	// change of a timer.
	deadlineStep = 50 * time.Millisecond
)

// Names of counters, and their reasons.
const (
	actionRefused = "refused"
	actionClosed  = "closed"

	reasonLate        = "late"
	reasonTooLarge    = "too_large"
	reasonSource      = "source"
	reasonBudget      = "budget"
	reasonConnections = "connections"
	reasonHeaders     = "headers"
	reasonRequests    = "requests"
	reasonDecodings   = "decodings"
	// reasonSourceRequests is the share of one source of the requests that use the store.
	reasonSourceRequests = "source_requests"
)

// Body describes the body that a handler expects.
type Body struct {
	Source string
	Max    int64
	Time   time.Duration // in which it must arrive; 0 means Limits.BodyTime
}

// Received is a body in memory. It consists of the pieces in which it arrived, because a
// copy of a large one would not be charged to the budget.
type Received struct {
	pieces [][]byte
	size   int64
}

// CheckJSON is the function CheckJSON for the body.
func (b Received) CheckJSON(shape Shape) error { return CheckJSON(shape, b.pieces...) }

// Reader returns a reader of the body.
func (b Received) Reader() io.Reader {
	readers := make([]io.Reader, len(b.pieces))
	for i, piece := range b.pieces {
		readers[i] = bytes.NewReader(piece)
	}
	return io.MultiReader(readers...)
}

// Joined returns the body as one piece. It copies a body of several pieces, so it must be
// called within Decode, which bounds the number of such copies.
func (b Received) Joined() []byte {
	if len(b.pieces) == 1 {
		return b.pieces[0]
	}
	joined := make([]byte, 0, b.size)
	for _, piece := range b.pieces {
		joined = append(joined, piece...)
	}
	return joined
}

// ReadBody reads the body of a request into memory. It stays charged to its source until
// ReleaseBody is called or the handler returns. After an error, which is one of those of
// this package, nothing was done and the connection closes after the answer; w must be the
// writer that the server has passed to its handler.
func (g *Guard) ReadBody(w http.ResponseWriter, r *http.Request, body Body) (Received, error) {
	c := connOf(r)
	if c == nil || r.ContentLength == 0 {
		return readUnguarded(r, body.Max)
	}
	if r.ContentLength > body.Max {
		return Received{}, g.refuse(w, r, ErrTooLarge)
	}
	if body.Time <= 0 {
		body.Time = g.limits.BodyTime
	}
	g.mu.Lock()
	g.budget.RaiseTo(body.Max)
	c.source, c.evicted = body.Source, nil
	g.setPhaseLocked(c, PhaseReceiving)
	g.mu.Unlock()
	pieces, size, err := g.receive(c, r.Body, body)
	if err != nil {
		return Received{}, g.refuse(w, r, err)
	}
	if err := g.finishBody(c, size); err != nil {
		return Received{}, g.refuse(w, r, err)
	}
	return Received{pieces: trim(pieces), size: size}, nil
}

// trim replaces the last piece by one of the size of its bytes, because a complete body is
// charged without the unused part of that piece.
func trim(pieces [][]byte) [][]byte {
	last := len(pieces) - 1
	if piece := pieces[last]; len(piece) == 0 {
		return pieces[:last]
	} else if cap(piece) > firstPieceBytes {
		pieces[last] = bytes.Clone(piece)
	}
	return pieces
}

// readUnguarded reads the body of a request without a connection of the guard, as in unit
// tests, or one without a body.
func readUnguarded(r *http.Request, limit int64) (Received, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return Received{}, ErrIncomplete
	case int64(len(data)) > limit:
		return Received{}, ErrTooLarge
	}
	return Received{pieces: [][]byte{data}, size: int64(len(data))}, nil
}

// receive reads the body piece by piece.
func (g *Guard) receive(c *conn, r io.Reader, body Body) (pieces [][]byte, size int64, err error) {
	start := g.now()
	var deadline time.Time
	next := int64(firstPieceBytes)
	for {
		last := len(pieces) - 1
		if last < 0 || len(pieces[last]) == cap(pieces[last]) {
			length := min(next, body.Max+1-size)
			if err := g.charge(c, length); err != nil {
				return nil, 0, err
			}
			pieces = append(pieces, make([]byte, 0, length))
			last, next = last+1, min(2*next, largestPieceBytes)
		}
		if d := readDeadline(start, size, body.Time); d.Sub(deadline) >= deadlineStep {
			if err := g.extend(c, d); err != nil {
				return nil, 0, err
			}
			deadline = d
		}
		piece := pieces[last]
		n, err := r.Read(piece[len(piece):cap(piece)])
		pieces[last] = piece[:len(piece)+n]
		size += int64(n)
		switch {
		case size > body.Max:
			return nil, 0, ErrTooLarge
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			return pieces, size, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, 0, g.lateError(c)
		}
		return nil, 0, ErrIncomplete
	}
}

// readDeadline returns when a body must have more than the bytes so far.
func readDeadline(start time.Time, size int64, limit time.Duration) time.Time {
	byRate := rateGrace + time.Duration(size)*time.Second/minRateBytesPerSecond
	return start.Add(min(limit, byRate))
}

// extend sets the read deadline, unless the body was given up.
func (g *Guard) extend(c *conn, deadline time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := c.giveUpError(); err != nil {
		return err
	}
	g.setReadDeadline(c, deadline)
	return nil
}

// lateError returns why a read timed out: the body is late or was evicted.
func (g *Guard) lateError(c *conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := c.giveUpError(); err != nil {
		return err
	}
	return ErrTooSlow
}

// charge charges n bytes to the source of the connection. If a limit does not allow that,
// it gives up bodies of others: of the same source if the limit is that of the source.
func (g *Guard) charge(c *conn, n int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		if err := c.giveUpError(); err != nil {
			return err
		}
		err := g.budget.Charge(c.source, n)
		if err == nil {
			c.info.Held += n
			g.gaugesLocked()
			return nil
		}
		victim := g.victim(func(other *conn) bool {
			return other.info.Phase == PhaseReceiving && other.info.Held > 0 && (other.source == c.source || !errors.Is(err, ErrSource))
		})
		if victim == nil || victim == c {
			return err
		}
		g.noteLocked(actionClosed, reasonOf(err))
		victim.evicted = err
		g.releaseLocked(victim)
		g.setReadDeadline(victim, past)
	}
}

// finishBody ends the arrival of a body, unless it was given up.
func (g *Guard) finishBody(c *conn, size int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := c.giveUpError(); err != nil {
		return err
	}
	g.budget.Release(c.source, c.info.Held-size)
	c.info.Held, c.body, c.received = 0, size, true
	g.setPhaseLocked(c, PhaseBusy)
	// The deadline of the body must not end the request: net/http goes on reading to notice
	// that the client has left.
	g.setReadDeadline(c, time.Time{})
	g.gaugesLocked()
	return nil
}

// refuse counts a refusal and returns its error.
func (g *Guard) refuse(w http.ResponseWriter, r *http.Request, err error) error {
	g.mu.Lock()
	if !errors.Is(err, ErrIncomplete) {
		g.noteLocked(actionRefused, reasonOf(err))
	}
	g.mu.Unlock()
	g.Abandon(w, r)
	return err
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, ErrTooLarge):
		return reasonTooLarge
	case errors.Is(err, ErrTooSlow):
		return reasonLate
	case errors.Is(err, ErrSource):
		return reasonSource
	}
	return reasonBudget
}

// Status returns the HTTP status of an error of this package.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrTooSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrSource), errors.Is(err, ErrSourceRequests):
		return http.StatusTooManyRequests
	case errors.Is(err, ErrExhausted), errors.Is(err, ErrRequests):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
