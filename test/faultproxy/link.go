package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is a client connection together with its connection to the target.
type link struct {
	client net.Conn

	mu     sync.Mutex
	target net.Conn
	ended  bool
}

// setTarget sets the connection to the target, or closes it if the link has ended.
func (l *link) setTarget(target net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	if l.ended {
		target.Close()
	}
}

// reset closes both connections with a TCP reset; unsent bytes are lost.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	abort(l.client)
	if l.target != nil {
		abort(l.target)
	}
}

func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// forward copies bytes in both directions until both streams have ended.
func (l *link) forward(ctx context.Context, p *Proxy) {
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(l.target, l.client, &requestFilter{ctx: ctx, proxy: p}) })
	copies.Go(func() {
		switch l.copy(l.client, l.target, &answerFilter{ctx: ctx, proxy: p}) {
		case actionReset:
			p.resetLink(l)
		case actionEndAnswer:
			p.countReset()
			l.endAnswer()
		}
	})
	copies.Wait()
}

// endAnswer closes the stream to the client gracefully, so that the bytes sent so
// far arrive, and resets the connection to the target.
func (l *link) endAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		endStream(l.client)
		abort(l.target)
	}
}

// action says what happens to a link after a chunk.
type action int

const (
	actionContinue  action = iota
	actionReset            // resets both connections
	actionEndAnswer        // ends the stream to the client after the bytes sent so far
)

// chunkFilter applies the faults of one direction to a chunk: it returns how many
// of its bytes are forwarded and what happens to the link then.
type chunkFilter interface {
	filter(size int) (n int, next action)
}

// copy forwards the bytes of one connection to the other, and then the end of the
// stream. It returns the action that ended the copying, or actionContinue if no fault
// did.
func (l *link) copy(to, from net.Conn, filter chunkFilter) action {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			passed, next := filter.filter(n)
			if _, writeErr := to.Write(buffer[:passed]); writeErr != nil {
				l.reset()
				return actionContinue
			}
			if next != actionContinue {
				return next
			}
		}
		if errors.Is(err, io.EOF) {
			endStream(to)
			return actionContinue
		}
		if err != nil {
			l.reset()
			return actionContinue
		}
	}
}

// endStream closes the writing side, so that the receiver reads the end of the
// stream.
func endStream(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// requestFilter filters bytes from the client.
type requestFilter struct {
	ctx   context.Context
	proxy *Proxy
}

func (r *requestFilter) filter(size int) (int, action) {
	if !r.proxy.holdAndDelay(r.ctx, func(f Faults) bool { return f.HoldRequests }) {
		return 0, actionReset
	}
	return size, actionContinue
}

// answerFilter filters bytes from the target.
type answerFilter struct {
	ctx   context.Context
	proxy *Proxy

	// changed is the channel of Proxy.state for which received counts; it differs once
	// the faults were replaced.
	changed <-chan struct{}
	// received is the number of bytes from the target while these faults are set.
	received int64
}

func (a *answerFilter) filter(size int) (int, action) {
	if !a.proxy.holdAndDelay(a.ctx, func(f Faults) bool { return f.HoldAnswers }) {
		return 0, actionReset
	}
	faults, changed := a.proxy.state()
	if faults.DropAnswers {
		return 0, actionReset
	}
	if faults.CutAnswerAfter <= 0 {
		return size, actionContinue
	}
	if changed != a.changed {
		a.changed, a.received = changed, 0
	}
	left := faults.CutAnswerAfter - a.received
	a.received += int64(size)
	if left <= int64(size) {
		return int(max(left, 0)), actionEndAnswer
	}
	return size, actionContinue
}

// holdAndDelay waits while isHeld returns true for the faults, then for the delay. It
// returns false if the context ends first.
func (p *Proxy) holdAndDelay(ctx context.Context, isHeld func(Faults) bool) bool {
	for {
		faults, changed := p.state()
		if isHeld(faults) {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return false
			}
		}
		return sleep(ctx, faults.Delay)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
