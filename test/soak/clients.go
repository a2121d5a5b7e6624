package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crowdToken belongs to an organisation without other callers.
	crowdToken = "crowd-token"
	// crowdClients is the number of clients of each behaviour at each daemon that is affected.
	crowdClients = 40
	// crowdBodyBytes is the size of a body that does not end, the largest that is permitted.
	crowdBodyBytes = 256 << 10
	// crowdPause is the pause of a client whose connection was closed or refused.
	crowdPause = 50 * time.Millisecond
)

// crowdJob has the most tasks that a job may have, which no worker has the capacity for.
var crowdJob = fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, strings.Repeat("x", 3900),
	strings.TrimSuffix(strings.Repeat(`{"count":15,"cpu":1000000,"mem_mb":65536,"gpu":64,"estimate_ms":60000},`, 100), ","))

// crowd lets clients misbehave at a daemon until the returned function is called: they leave
// bodies and frames unfinished, and submit large jobs one after the other.
func (d *daemon) crowd() (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	front, peers := fmt.Sprintf("%s:%d", d.ip, portFront), fmt.Sprintf("%s:%d", d.ip, peerPort)
	header := fmt.Sprintf("POST /batch/%016x HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n", 0, host, crowdToken, crowdBodyBytes)
	body := header + crowdJob + strings.Repeat(" ", crowdBodyBytes-len(crowdJob)-1)
	handshake := "GET /relay HTTP/1.1\r\nHost: peers\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
	frame := handshake + "\x82\xff\x00\x00\x00\x00\x00\x10\x00\x00\x00\x00\x00\x00" + strings.Repeat("\x00", 1<<20-1)
	for range crowdClients {
		clients.Go(func() { stayUnfinished(ctx, front, body) })
		clients.Go(func() { stayUnfinished(ctx, peers, frame) })
		clients.Go(func() { d.submitCrowdJobs(ctx) })
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

// stayUnfinished sends data and keeps the connection open, and again whenever it is closed.
func stayUnfinished(ctx context.Context, address, data string) {
	for ctx.Err() == nil {
		var dialer net.Dialer
		connection, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { connection.Close() })
			if _, err = io.WriteString(connection, data); err == nil {
				_, _ = io.Copy(io.Discard, connection) // until the daemon closes it
			}
			stop()
			connection.Close()
		}
		sleep(ctx, crowdPause)
	}
}

func (d *daemon) submitCrowdJobs(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		url := fmt.Sprintf("%s/batch/%016x", d.frontURL(), rand.Uint64()) //nolint:gosec // an identifier of a test
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(crowdJob))
		if err != nil {
			return
		}
		request.Host = host
		request.Header.Set("Authorization", "Token "+crowdToken)
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		sleep(ctx, crowdPause)
	}
}
