package peers

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// proxy forwards TCP connections and injects faults of the network.
type proxy struct {
	address string
	target  string

	mu     sync.Mutex
	frozen bool          // bytes are dropped, connections stay open
	left   int           // bytes until all connections are cut; below 0 sets no limit
	pause  time.Duration // per 4 KiB, to limit the rate
	conns  []net.Conn
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{address: listener.Addr().String(), target: target, left: -1}
	go p.serve(listener)
	DeferCleanup(func() {
		_ = listener.Close()
		p.cut()
	})
	return p
}

func (p *proxy) serve(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, near, far)
		p.mu.Unlock()
		go p.pipe(near, far)
		go p.pipe(far, near)
	}
}

func (p *proxy) pipe(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !p.pass(n) {
			p.cut()
			return
		}
		p.mu.Lock()
		frozen, pause := p.frozen, p.pause
		p.mu.Unlock()
		time.Sleep(pause)
		if frozen {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) pass(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left < 0 {
		return true
	}
	p.left -= n
	if p.left > 0 {
		return true
	}
	p.left = -1
	return false
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

func (p *proxy) freeze(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = frozen
}

func (p *proxy) slow(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = pause
}

func (p *proxy) cutAfter(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left = n
}
