package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Ports come from blocks below the ephemeral port range of the kernel (32768
// upwards), so that no outgoing connection takes a port between its allocation
// and the start of the process that listens on it.
const (
	firstPort        = 20000
	lastPort         = 32000
	portsPerBlock    = 100
	maxBlockAttempts = 200
)

// portAllocator allocates ports from blocks that this test process has reserved.
type portAllocator struct {
	mu             sync.Mutex
	blockListeners []net.Listener // on the first port of each block, to reserve it against other processes
	next           int
	end            int
}

var freePorts portAllocator

// FreeAddress returns an address of 127.0.0.1 with a free port that no other
// caller gets, also in other test processes.
func FreeAddress() (string, error) { return freePorts.allocate() }

func (p *portAllocator) allocate() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range maxBlockAttempts {
		if p.next >= p.end && !p.reserveBlock() {
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
	return "", eris.New("no free port found in the port blocks tried")
}

// reserveBlock reserves a random block by listening on its first port. It reports
// whether that succeeded. The caller holds p.mu.
func (p *portAllocator) reserveBlock() bool {
	first := firstPort + portsPerBlock*rand.IntN((lastPort-firstPort)/portsPerBlock)
	listener, err := net.Listen("tcp", loopback(first))
	if err != nil {
		return false
	}
	p.blockListeners = append(p.blockListeners, listener)
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
