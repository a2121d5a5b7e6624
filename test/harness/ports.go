package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Ports come from blocks below the range from which the kernel takes ports for
// outgoing connections (32768 upwards), so that no connection takes a port
// between its choice and the start of the process that listens on it.
const (
	firstPort     = 20000
	lastPort      = 32000
	portsPerBlock = 100
	blockTries    = 200
)

// ports hands out the ports of blocks that this test process holds.
type ports struct {
	mu    sync.Mutex
	locks []net.Listener // first port of each block; held to keep other test processes out
	next  int
	end   int
}

var freePorts ports

// FreeAddress returns an address of 127.0.0.1 that no other caller gets.
func FreeAddress() (string, error) { return freePorts.take() }

func (p *ports) take() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range blockTries {
		if p.next >= p.end && !p.takeBlock() {
			continue
		}
		for p.next < p.end {
			address := loopback(p.next)
			p.next++
			if bindable(address) {
				return address, nil
			}
		}
	}
	return "", eris.New("no free port found")
}

// takeBlock needs the lock.
func (p *ports) takeBlock() bool {
	first := firstPort + portsPerBlock*rand.IntN((lastPort-firstPort)/portsPerBlock)
	lock, err := net.Listen("tcp", loopback(first))
	if err != nil {
		return false
	}
	p.locks = append(p.locks, lock)
	p.next, p.end = first+1, first+portsPerBlock
	return true
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func bindable(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
