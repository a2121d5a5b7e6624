package peers

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// proxy forwards TCP connections and injects network faults.
type proxy struct {
	address string
	target  string

	mu        sync.Mutex
	dropping  bool          // received bytes are dropped and connections stay open
	remaining int           // bytes until all connections are cut; negative means no limit
	delay     time.Duration // before each write of up to 4 KiB, to limit the rate
	conns     []net.Conn
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{address: listener.Addr().String(), target: target, remaining: -1}
	go p.serve(listener)
	DeferCleanup(func() {
		_ = listener.Close()
		p.cut()
	})
	return p
}

func (p *proxy) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		go p.pipe(client, server)
		go p.pipe(server, client)
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
		if !p.consume(n) {
			p.cut()
			return
		}
		p.mu.Lock()
		dropping, delay := p.dropping, p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if dropping {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// consume subtracts n from the remaining bytes. It returns false if the connections
// must be cut.
func (p *proxy) consume(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.remaining < 0 {
		return true
	}
	p.remaining -= n
	if p.remaining > 0 {
		return true
	}
	p.remaining = -1
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

func (p *proxy) setDropping(dropping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropping = dropping
}

func (p *proxy) setDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

func (p *proxy) cutAfter(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remaining = n
}
