package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is one connection of a client with its connection to the target.
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

// reset closes both connections at once; unsent bytes are lost.
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

// pass copies both directions until both have ended.
func (l *link) pass(ctx context.Context, p *Proxy) {
	var both sync.WaitGroup
	both.Go(func() { l.copy(l.target, l.client, &requestGate{ctx: ctx, proxy: p}) })
	both.Go(func() {
		switch l.copy(l.client, l.target, &answerGate{ctx: ctx, proxy: p}) {
		case reset:
			p.drop(l)
		case endEarly:
			p.countReset()
			l.endAnswer()
		}
	})
	both.Wait()
}

// endAnswer ends the stream to the client in order, so that the bytes that have
// passed arrive, and resets the connection to the target.
func (l *link) endAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		endStream(l.client)
		abort(l.target)
	}
}

// verdict is what becomes of a link after a chunk.
type verdict int

const (
	carryOn  verdict = iota
	reset            // both connections are reset
	endEarly         // the stream to the client ends after the bytes that passed
)

// gate decides what becomes of a chunk and how many of its bytes pass.
type gate interface {
	admit(size int) (pass int, v verdict)
}

// copy passes bytes from one connection to the other and passes on the end of
// the stream. It returns the verdict that ended it, or carryOn.
func (l *link) copy(to, from net.Conn, g gate) verdict {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			pass, v := g.admit(n)
			if _, writeErr := to.Write(buffer[:pass]); writeErr != nil {
				l.reset()
				return carryOn
			}
			if v != carryOn {
				return v
			}
		}
		if errors.Is(err, io.EOF) {
			endStream(to)
			return carryOn
		}
		if err != nil {
			l.reset()
			return carryOn
		}
	}
}

// endStream tells the receiver that no more bytes follow.
func endStream(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// requestGate handles bytes from the client.
type requestGate struct {
	ctx   context.Context
	proxy *Proxy
}

func (g *requestGate) admit(size int) (int, verdict) {
	if !g.proxy.wait(g.ctx, func(f Faults) bool { return f.HoldRequests }) {
		return 0, reset
	}
	return size, carryOn
}

// answerGate handles bytes from the target.
type answerGate struct {
	ctx   context.Context
	proxy *Proxy

	setting <-chan struct{} // identifies the faults for which passed counts
	passed  int64
}

func (g *answerGate) admit(size int) (int, verdict) {
	if !g.proxy.wait(g.ctx, func(f Faults) bool { return f.HoldAnswers }) {
		return 0, reset
	}
	faults, setting := g.proxy.state()
	if faults.DropAnswers {
		return 0, reset
	}
	if faults.CutAnswerAfter <= 0 {
		return size, carryOn
	}
	if setting != g.setting {
		g.setting, g.passed = setting, 0
	}
	left := faults.CutAnswerAfter - g.passed
	g.passed += int64(size)
	if left <= int64(size) {
		return int(max(left, 0)), endEarly
	}
	return size, carryOn
}

// wait waits out holds and the delay. It returns false when the context ends first.
func (p *Proxy) wait(ctx context.Context, held func(Faults) bool) bool {
	for {
		faults, changed := p.state()
		if held(faults) {
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
