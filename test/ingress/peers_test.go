package ingress

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// framePeers connections that each hold most of a frame of frameBytes hold twice the
	// memory of the smallest machine.
	framePeers = 24
	frameBytes = 16 << 20
	// smallFramePeers connections hold more than that memory with frames of smallFrameBytes,
	// the size of the largest commit.
	smallFramePeers = 200
	smallFrameBytes = 1 << 20
	// writeBytes is the size of the pieces in which a frame is sent.
	writeBytes = 64 << 10
	// peerHeaderBytes of a header from each of manyClients hold half of that memory.
	peerHeaderBytes = 64 << 10
)

// handshake is the header of a request to open a WebSocket connection, without its end.
const handshake = "GET %s HTTP/1.1\r\nHost: peers\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"

// Bits of the header of a WebSocket frame (RFC 6455, section 5.2).
const (
	finalBinaryFrame = 0x82
	maskedLength64   = 0x80 | 127
)

// sendUnfinishedFrame opens a WebSocket connection and sends all but the last byte of a frame
// of size bytes. It ends early if the daemon closes the connection or stops reading.
func sendUnfinishedFrame(connection net.Conn, size int) {
	_ = connection.SetDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprintf(connection, handshake+"\r\n", "/relay"); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil || response.StatusCode != http.StatusSwitchingProtocols {
		return
	}
	header := binary.BigEndian.AppendUint64([]byte{finalBinaryFrame, maskedLength64}, uint64(size))
	header = append(header, 0, 0, 0, 0) // the mask
	if _, err := connection.Write(header); err != nil {
		return
	}
	piece := make([]byte, writeBytes)
	for left := size - 1; left > 0; left -= len(piece) {
		if _, err := connection.Write(piece[:min(left, len(piece))]); err != nil {
			return
		}
	}
}

// connectAll opens connections to an address, which stay open until the test ends, and calls
// send for each. A daemon may refuse a connection.
func connectAll(n int, address string, send func(net.Conn)) {
	openings := make(chan struct{}, dialers)
	var senders sync.WaitGroup
	for range n {
		senders.Go(func() {
			openings <- struct{}{}
			connection, err := net.Dial("tcp", address)
			<-openings
			if err != nil {
				return
			}
			DeferCleanup(connection.Close)
			send(connection)
		})
	}
	senders.Wait()
}

var _ = Describe("Port for peers", func() {
	for _, l := range []struct {
		title       string
		connections int
		send        func(net.Conn)
	}{
		{"frames of 16 MB that do not end", framePeers, func(c net.Conn) { sendUnfinishedFrame(c, frameBytes) }},
		{"frames of 1 MB that do not end", smallFramePeers, func(c net.Conn) { sendUnfinishedFrame(c, smallFrameBytes) }},
		{"many connections", manyClients, func(c net.Conn) { _, _ = fmt.Fprintf(c, handshake+"\r\n", "/relay") }},
	} {
		// Guards against senders that are no daemons and use up the memory or the descriptors of
		// one, and against a daemon that then serves neither its callers nor its peers.
		It("stays within its limits with "+l.title, func() {
			s := startSystem(1)
			descriptors := observeAll(s.daemons)
			connectAll(l.connections, s.daemons[0].peerAddress, l.send)
			time.Sleep(settleTime)
			Eventually(s.daemons[0].submit).WithTimeout(answerTimeout).Should(Succeed())
			Eventually(s.daemons[0].healthCheck).WithTimeout(answerTimeout).Should(Succeed())
			checkBounds(s.daemons, descriptors)
		})
	}

	// Guards against the same on the own API, whose peers send a token in their first frame.
	It("of the own API stays within its limits with headers that do not end", func(ctx SpecContext) {
		t := startAPI(ctx)
		descriptors := observeAll([]target{t})
		header := fmt.Sprintf(handshake, "/peers") + "X-Long: " + strings.Repeat("x", peerHeaderBytes)
		connectAll(manyClients, t.peerAddress, func(c net.Conn) { _, _ = io.WriteString(c, header) })
		time.Sleep(settleTime)
		Eventually(t.submit).WithTimeout(answerTimeout).Should(Succeed())
		Eventually(t.healthCheck).WithTimeout(answerTimeout).Should(Succeed())
		checkBounds([]target{t}, descriptors)
	}, NodeTimeout(2*time.Minute))
})
