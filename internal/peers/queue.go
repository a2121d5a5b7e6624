package peers

import (
	"context"
	"sync/atomic"
)

// Limits of the outgoing queues of one link.
const (
	maxQueuedSmallFrames = 512
	maxQueuedBulkFrames  = 64
	// maxQueuedBulkBytes bounds the memory that a peer can take by reading slowly. It
	// is low enough that the queues of a daemon with 40 links fit into its memory when
	// all are full; they then take 160 MiB.
	maxQueuedBulkBytes = 4 << 20
)

// States of an outgoing frame. A queued frame is either written to the link or
// withdrawn by its sender.
const (
	frameQueued int32 = iota
	frameWriting
	frameWithdrawn
)

// outgoingFrame is an encoded frame that waits to be written.
type outgoingFrame struct {
	data  []byte
	kind  Kind
	state atomic.Int32
}

// startWriting reserves the frame for writing. It returns false if the frame was
// withdrawn.
func (o *outgoingFrame) startWriting() bool { return o.state.CompareAndSwap(frameQueued, frameWriting) }

// withdraw prevents the frame from being written. It returns false if writing may
// have started.
func (o *outgoingFrame) withdraw() bool {
	return o.state.CompareAndSwap(frameQueued, frameWithdrawn) || o.state.Load() == frameWithdrawn
}

// queue holds the outgoing frames of a link. Small frames have priority over bulk
// ones.
type queue struct {
	small     chan *outgoingFrame
	bulk      chan *outgoingFrame
	bulkBytes atomic.Int64
}

func newQueue() *queue {
	return &queue{small: make(chan *outgoingFrame, maxQueuedSmallFrames), bulk: make(chan *outgoingFrame, maxQueuedBulkFrames)}
}

// push adds a frame. It returns false if the queue is full. An empty bulk queue
// accepts a frame of any size.
func (q *queue) push(o *outgoingFrame) bool {
	if !isBulk(o.kind) {
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

// pop removes the next frame and waits for one if there is none. It returns nil when
// ctx ends.
func (q *queue) pop(ctx context.Context) *outgoingFrame {
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
