package relay

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

const (
	// maxRequestBytes bounds the frame of an operation. The largest one is a commit, which a
	// table service accepts up to 1 MB.
	maxRequestBytes = 1 << 20
	// minFrameBytes is the least budget of frames: two of the largest, and their pieces.
	minFrameBytes = 6 << 20
	// frameTime is the time in which a frame must arrive. A peer sends the largest one in 0.8 s
	// over 10 Mbit/s.
	frameTime = 5 * time.Second
	// firstBufferBytes is the size of the buffer of a frame at first. Most operations fit. The
	// rest of a larger one arrives in pieces.
	firstBufferBytes = 1 << 10
	pieceBytes       = 32 << 10
)

// errFrames means that the budget has no room for a frame.
var errFrames = eris.New("relay: the frames of all peers take too much memory")

// frameBudget bounds the memory of the frames that arrive, and of those whose operation is
// being executed.
type frameBudget struct {
	limit int64

	mu       sync.Mutex
	used     int64
	arriving map[*inboundFrame]struct{}
}

// inboundFrame is the memory of one frame.
type inboundFrame struct {
	budget  *frameBudget
	held    int64
	evicted bool
	close   func()
}

func newFrameBudget(limit int64) *frameBudget {
	return &frameBudget{limit: limit, arriving: map[*inboundFrame]struct{}{}}
}

// charge adds n bytes to a frame that arrives. If there is no room, it closes the connections
// of the largest frames that arrive, and returns an error once the frame itself is the largest.
func (f *inboundFrame) charge(n int64) error {
	b := f.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !f.evicted && b.used+n > b.limit {
		largest, size := f, f.held+n
		for other := range b.arriving {
			if other.held > size {
				largest, size = other, other.held
			}
		}
		b.evictLocked(largest)
	}
	if f.evicted {
		return errFrames
	}
	f.held += n
	b.used += n
	return nil
}

func (b *frameBudget) evictLocked(f *inboundFrame) {
	f.evicted = true
	delete(b.arriving, f)
	b.used -= f.held
	f.held = 0
	go f.close()
}

// release gives back n bytes of the frame.
func (f *inboundFrame) release(n int64) {
	f.budget.mu.Lock()
	defer f.budget.mu.Unlock()
	f.releaseLocked(n)
}

// releaseAll gives back the bytes of a frame that is no longer used.
func (f *inboundFrame) releaseAll() {
	f.budget.mu.Lock()
	defer f.budget.mu.Unlock()
	delete(f.budget.arriving, f)
	f.releaseLocked(f.held)
}

// releaseLocked gives back n bytes, unless the frame was given up and holds none.
func (f *inboundFrame) releaseLocked(n int64) {
	n = min(n, f.held)
	f.held -= n
	f.budget.used -= n
}

// complete makes a frame stay charged until it is released.
func (f *inboundFrame) complete() bool {
	b := f.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, f)
	return !f.evicted
}

// read reads the next frame of a connection. The caller must release it. begun is called when
// the frame starts to arrive.
func (b *frameBudget) read(ctx context.Context, conn *websocket.Conn, begun func()) (f *inboundFrame, data []byte, err error) {
	_, reader, err := conn.Reader(ctx)
	if err != nil {
		return nil, nil, err
	}
	begun()
	closeConn := func() { _ = conn.CloseNow() }
	timer := time.AfterFunc(frameTime, closeConn)
	defer timer.Stop()
	f = &inboundFrame{budget: b, close: closeConn}
	b.mu.Lock()
	b.arriving[f] = struct{}{}
	b.mu.Unlock()
	if data, err = f.readAll(reader); err == nil && !f.complete() {
		err = errFrames
	}
	if err != nil {
		f.releaseAll()
		return nil, nil, err
	}
	return f, data, nil
}

// piece is a part of a large frame while it arrives. Pieces are used again, because frames that
// are given up would otherwise leave garbage faster than it is collected.
type piece [pieceBytes]byte

var pieces = sync.Pool{New: func() any { return new(piece) }}

// readAll reads a frame. What it reads into is charged before it is allocated.
func (f *inboundFrame) readAll(reader io.Reader) ([]byte, error) {
	if err := f.charge(firstBufferBytes); err != nil {
		return nil, err
	}
	first := make([]byte, firstBufferBytes)
	size, ended, err := readFull(reader, first)
	if err != nil || ended {
		return first[:size], err
	}
	var parts []*piece
	defer func() {
		for _, part := range parts {
			pieces.Put(part)
		}
	}()
	for !ended {
		if err := f.charge(pieceBytes); err != nil {
			return nil, err
		}
		part := pieces.Get().(*piece)
		parts = append(parts, part)
		var n int
		if n, ended, err = readFull(reader, part[:]); err != nil {
			return nil, err
		}
		size += n
	}
	if err := f.charge(int64(size)); err != nil {
		return nil, err
	}
	data := append(make([]byte, 0, size), first...)
	for _, part := range parts {
		data = append(data, part[:min(pieceBytes, size-len(data))]...)
	}
	f.release(int64(len(parts) * pieceBytes))
	return data, nil
}

// readFull fills a buffer, and reports whether the frame has ended before.
func readFull(reader io.Reader, buffer []byte) (n int, ended bool, err error) {
	n, err = io.ReadFull(reader, buffer)
	if eris.Is(err, io.EOF) || eris.Is(err, io.ErrUnexpectedEOF) {
		return n, true, nil
	}
	return n, false, err
}
