package harness

import (
	"bytes"
	"context"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// maxLogBytes bounds the memory for one output stream of a process. A write that
// would exceed it first drops the older half.
const maxLogBytes = 32 << 20

// logBuffer buffers one output stream of a process.
type logBuffer struct {
	mu      sync.Mutex
	data    []byte
	changed chan struct{} // closed and replaced by each write
}

func newLogBuffer() *logBuffer { return &logBuffer{changed: make(chan struct{})} }

// Write appends to the output.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.data)+len(p) > maxLogBytes {
		b.data = bytes.Clone(b.data[len(b.data)/2:])
	}
	b.data = append(b.data, p...)
	close(b.changed)
	b.changed = make(chan struct{})
	return len(p), nil
}

// String returns the buffered output.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.data)
}

// waitLine waits for a complete line that contains the text.
func (b *logBuffer) waitLine(ctx context.Context, text string) (string, error) {
	for {
		line, ok, changed := b.find(text)
		if ok {
			return line, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			// When the line arrives as the context ends, select may choose either.
			if line, ok, _ := b.find(text); ok {
				return line, nil
			}
			return "", eris.Wrapf(context.Cause(ctx), "wait for %q in the output", text)
		}
	}
}

// find returns the first complete line that contains the text, whether there is one,
// and a channel that the next write closes.
func (b *logBuffer) find(text string) (string, bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line, ok := findLine(string(b.data), text)
	return line, ok, b.changed
}

func findLine(data, text string) (string, bool) {
	for data != "" {
		line, rest, complete := strings.Cut(data, "\n")
		if complete && strings.Contains(line, text) {
			return line, true
		}
		data = rest
	}
	return "", false
}
