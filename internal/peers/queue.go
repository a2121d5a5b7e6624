package peers

import (
	"context"
	"sync/atomic"
)

// Bounds of the outgoing queues of one link.
const (
	maxQueuedSmall = 512
	maxQueuedBulk  = 64
	// maxQueuedBulkBytes keeps 40 slow links within the memory of a daemon.
	maxQueuedBulkBytes = 4 << 20
)

// States of an outgoing frame. A frame is written by the writer of the link or
// withdrawn by its sender, never both.
const (
	frameQueued int32 = iota
	frameWriting
	frameWithdrawn
)

// outgoing is an encoded frame that waits to be written.
type outgoing struct {
	data  []byte
	kind  Kind
	state atomic.Int32
}

// claim lets the writer write the frame; false means that it was withdrawn.
func (o *outgoing) claim() bool { return o.state.CompareAndSwap(frameQueued, frameWriting) }

// withdraw keeps the frame from being written; false means that it may have been.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(frameQueued, frameWithdrawn) || o.state.Load() == frameWithdrawn
}

// queue holds the outgoing frames of a link. Small frames go before bulk ones.
type queue struct {
	small     chan *outgoing
	bulk      chan *outgoing
	bulkBytes atomic.Int64
}

func newQueue() *queue {
	return &queue{small: make(chan *outgoing, maxQueuedSmall), bulk: make(chan *outgoing, maxQueuedBulk)}
}

// push queues a frame; false means that the queue is full. One bulk frame is
// always admitted, however large.
func (q *queue) push(o *outgoing) bool {
	if !bulk(o.kind) {
		select {
		case q.small <- o:
			return true
		default:
			return false
		}
	}
	size := int64(len(o.data))
	if q.bulkBytes.Add(size) > max(size, maxQueuedBulkBytes) {
		q.bulkBytes.Add(-size)
		return false
	}
	select {
	case q.bulk <- o:
		return true
	default:
		q.bulkBytes.Add(-size)
		return false
	}
}

// pop waits for the next frame; nil means that ctx has ended.
func (q *queue) pop(ctx context.Context) *outgoing {
	select {
	case o := <-q.small:
		return o
	default:
	}
	select {
	case o := <-q.small:
		return o
	case o := <-q.bulk:
		q.bulkBytes.Add(-int64(len(o.data)))
		return o
	case <-ctx.Done():
		return nil
	}
}
