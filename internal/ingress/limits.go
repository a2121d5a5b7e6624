// Package ingress bounds the memory and the connections that clients outside our control
// can take from a daemon. The decisions (Budget, SelectVictim, CheckJSON) are free of I/O; Guard
// applies them to an HTTP server.
package ingress

import (
	"time"

	"github.com/rotisserie/eris"
)

const (
	// connectionBytes is the memory of a connection without a body: two buffers of 4 KB and
	// the stack of its goroutine, with room for the header and the answer.
	connectionBytes = 32 << 10
	// memoryDivisor is the divisor of the machine's memory for bodies, and again for
	// connections. The rest is for the daemon's own work and for the collector.
	memoryDivisor = 8
	// minBodies is the least number of largest bodies in the budget.
	minBodies = 4
	// sourceDivisor is the divisor of the budget for one source.
	sourceDivisor = 4
	// SmallListenerConnections is the number of connections of the listeners for health checks, metrics
	// and operators. Each has a few clients.
	SmallListenerConnections = 64
	// SmallestMemoryMB is the memory of the smallest machine, assumed if none is configured.
	SmallestMemoryMB = 144

	defaultBodyTime  = 3 * time.Second
	defaultWriteTime = 10 * time.Second
	// maxDecodings is the number of bodies that are decoded at the same time. A body of 5 KB is
	// decoded in less than a millisecond.
	maxDecodings = 4
	// headerMemoryFactor is the memory of a parsed header in multiples of its bytes, if it
	// consists of short fields: 16,000 bytes took 300 KB with the garbage of the collector.
	headerMemoryFactor = 16
	// largerHeaderFactor is how many times as large a new header must be to be closed for
	// another new one. Closing any larger one replaced large headers by others in quick
	// succession, and their garbage took 84 to 123 MB in test/ingress instead of 56 to 64.
	largerHeaderFactor = 4
	// headerDivisor is the divisor of the budget of bodies for headers; minHeaderBytes has room
	// for some of the largest headers.
	headerDivisor  = 2
	minHeaderBytes = 2 << 20
	// requestDivisor is the divisor of the connections for requests that are carried out. Each
	// may open a connection to the store.
	requestDivisor = 2
	// requestSourceDivisor is the divisor of these requests for one source, and
	// submissionDivisor that for the part which only submissions may use. Without them one
	// caller that reads a slow store would refuse the submissions of all others.
	requestSourceDivisor = 2
	submissionDivisor    = 4
	// RetryAfter is the delay after which a refused caller may try again.
	RetryAfter = time.Second
)

// Limits are the limits of a Guard. Zero values of times get their defaults.
type Limits struct {
	Connections int
	BodyBytes   int64 // bytes of all request bodies in flight
	SourceBytes int64 // bytes of the request bodies in flight of one source
	// HeaderBytes is the memory of the headers that arrive or belong to a request; 0 means a
	// share of BodyBytes.
	HeaderBytes int64
	// Requests is the number of requests that AdmitStoreRequest admits; 0 means half of Connections.
	Requests int
	// BodyTime is the time in which a body must arrive if its handler sets none.
	BodyTime time.Duration
	// WriteTime is how long a client may take to read 64 KiB of an answer.
	WriteTime time.Duration
}

// DefaultLimits returns the limits of a daemon on a machine of memoryMB (0 if it is not
// known) that may open maxFDs descriptors, with bodies of up to maxBody bytes.
func DefaultLimits(memoryMB float64, maxFDs int, maxBody int64) Limits {
	if memoryMB <= 0 {
		memoryMB = SmallestMemoryMB
	}
	share := int64(memoryMB * (1 << 20) / memoryDivisor)
	return BodyLimits(min(maxFDs/2, int(share/connectionBytes)), share, maxBody)
}

// BodyLimits returns limits with a budget of at least minBodies bodies of maxBody bytes.
func BodyLimits(connections int, budget, maxBody int64) Limits {
	l := Limits{Connections: max(connections, 1), BodyBytes: max(budget, minBodies*(maxBody+1))}
	l.SourceBytes = max(l.BodyBytes/sourceDivisor, maxBody+1)
	return l
}

func (l Limits) withDefaults() Limits {
	if l.BodyTime <= 0 {
		l.BodyTime = defaultBodyTime
	}
	if l.WriteTime <= 0 {
		l.WriteTime = defaultWriteTime
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = max(l.BodyBytes/headerDivisor, minHeaderBytes)
	}
	if l.Requests <= 0 {
		l.Requests = max(l.Connections/requestDivisor, 1)
	}
	return l
}

// Refusals of a request. Each means that nothing was done.
var (
	ErrTooLarge  = eris.New("the body is too large")
	ErrTooSlow   = eris.New("the body did not arrive in time")
	ErrSource    = eris.New("too many bytes of this caller are in flight")
	ErrExhausted = eris.New("too many bytes of requests are in flight")
	ErrRequests  = eris.New("too many requests are being carried out")
	// ErrSourceRequests is the limit of AdmitStoreRequest for one source.
	ErrSourceRequests = eris.New("too many requests of this caller are being carried out")
	// ErrIncomplete means that the client ended the body early.
	ErrIncomplete = eris.New("the body ended early")
)
