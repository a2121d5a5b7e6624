package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// manyClients hold twice the memory of the smallest machine with bodies of bodyBytes.
	manyClients = 1200
	// fewClients send complete bodies that take many times their size when decoded: 256 KiB
	// of empty steps are 87,000 steps.
	fewClients = 48
	// headerBytes fits into the largest header of the platform, 16 KB.
	headerBytes = 16_000
	// bodyBytes is the largest body of the platform by default. The settings permit the same
	// on the own API.
	bodyBytes = 256 << 10
	// dialers bounds the connections that are opened at the same time, below the queue of
	// the listener.
	dialers      = 64
	writeTimeout = 10 * time.Second
	// returningClients send their request again whenever it is refused, for returnTime.
	returningClients = 500
	returnTime       = 8 * time.Second
)

// load is a way in which the clients send their bodies. Unless they are complete, each
// client stops one byte before the end. All keep their connections open.
type load struct {
	title    string
	clients  int
	chunk    int // bytes in a chunk; 0 sends a Content-Length
	pieces   int // number of writes
	pause    time.Duration
	complete bool
	reads    bool // reads the state of a job that does not exist, while the store is slow
	header   bool // sends only a header of many short fields, which does not end
	returns  bool // comes again at once after each refusal, for returnTime
}

var loads = []load{
	{title: "whole bodies that stop one byte short", clients: manyClients, pieces: 1},
	{title: "bodies sent piece by piece", clients: manyClients, pieces: 64, pause: 50 * time.Millisecond},
	{title: "chunks of 16 bytes", clients: manyClients, chunk: 16, pieces: 1},
	{title: "chunks of 64 KiB", clients: manyClients, chunk: 64 << 10, pieces: 1},
	{title: "complete bodies of many small values", clients: fewClients, pieces: 1, complete: true},
	{title: "headers of many short fields that do not end", clients: manyClients, pieces: 1, header: true},
}

// slowReads is a load of the platform daemon: each of the clients makes it read the store.
var slowReads = load{title: "reads of unknown jobs from a slow store", clients: manyClients, pieces: 1, reads: true}

// returningLoads are loads of clients that do not wait after a refusal.
var returningLoads = []load{
	{title: "whole bodies that come again after each refusal", clients: returningClients, pieces: 1, returns: true},
	{title: "chunks of 16 bytes that come again after each refusal", clients: returningClients, chunk: 16, pieces: 1, returns: true},
}

// request returns the header and the body, in the form in which they are sent.
func (l load) request(t target, token string) (header, body string) {
	header = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s %s\r\nContent-Type: application/json\r\n", t.path, t.host, t.scheme, token)
	if l.reads {
		return strings.Replace(header, "POST", "GET", 1) + "\r\n", ""
	}
	if l.header {
		var fields strings.Builder
		for i := 0; fields.Len() < headerBytes; i++ {
			fmt.Fprintf(&fields, "%c%c%c:\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676)
		}
		return header, fields.String()
	}
	if l.complete {
		return header + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(t.smallValues)), t.smallValues
	}
	body = t.body + strings.Repeat(" ", bodyBytes-len(t.body))
	if l.chunk == 0 {
		return header + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes), body[:bodyBytes-1]
	}
	var chunks strings.Builder
	for len(body) > 0 {
		n := min(l.chunk, len(body))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return header + "Transfer-Encoding: chunked\r\n\r\n", strings.TrimSuffix(chunks.String(), " \r\n")
}

// clients are the clients of a load.
type clients struct {
	sent, ended sync.WaitGroup
	leave       chan struct{}
}

func (l load) start(t target) *clients {
	c := &clients{leave: make(chan struct{})}
	openings := make(chan struct{}, dialers)
	headers, body := map[string]string{}, ""
	for _, token := range t.tokens {
		headers[token], body = l.request(t, token)
	}
	for i := range l.clients {
		header := headers[t.tokens[i%len(t.tokens)]]
		c.sent.Add(1)
		c.ended.Go(func() {
			sent := sync.OnceFunc(c.sent.Done)
			defer sent()
			for end := time.Now().Add(returnTime); ; {
				openings <- struct{}{}
				connection, err := net.Dial("tcp", t.address)
				<-openings
				if err != nil { // refused by the daemon, which is allowed
					return
				}
				l.send(connection, header, body)
				if !l.returns || time.Now().After(end) {
					defer connection.Close()
					break
				}
				awaitRefusal(connection, end)
				connection.Close()
			}
			sent()
			<-c.leave
		})
	}
	return c
}

// awaitRefusal waits until the daemon answers or closes the connection.
func awaitRefusal(connection net.Conn, end time.Time) {
	if connection.SetReadDeadline(end) == nil {
		_, _ = connection.Read(make([]byte, 1))
	}
}

// send sends the request. It ends early if the daemon closes the connection or stops
// reading, which is allowed.
func (l load) send(connection net.Conn, header, body string) {
	if _, err := io.WriteString(connection, header); err != nil {
		return
	}
	for size := (len(body) + l.pieces - 1) / l.pieces; len(body) > 0; {
		n := min(size, len(body))
		if connection.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return
		}
		if _, err := io.WriteString(connection, body[:n]); err != nil {
			return
		}
		body = body[n:]
		time.Sleep(l.pause)
	}
}

func (c *clients) waitSent() { c.sent.Wait() }

func (c *clients) close() {
	close(c.leave)
	c.ended.Wait()
}
