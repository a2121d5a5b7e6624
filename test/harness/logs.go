package harness

import (
	"bytes"
	"context"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// maxLogBytes bounds what is kept of the output of a process. The older half is
// dropped when it is reached.
const maxLogBytes = 32 << 20

// logBuffer keeps the output of a process.
type logBuffer struct {
	mu    sync.Mutex
	data  []byte
	grown chan struct{} // closed and replaced by each write
}

func newLogBuffer() *logBuffer { return &logBuffer{grown: make(chan struct{})} }

// Write appends to the output.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.data)+len(p) > maxLogBytes {
		b.data = bytes.Clone(b.data[len(b.data)/2:])
	}
	b.data = append(b.data, p...)
	close(b.grown)
	b.grown = make(chan struct{})
	return len(p), nil
}

// String returns what has been kept.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.data)
}

// waitLine waits for a whole line that contains the text.
func (b *logBuffer) waitLine(ctx context.Context, text string) (string, error) {
	for {
		line, ok, grown := b.find(text)
		if ok {
			return line, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			// The line may have arrived at the same time as the end of the context.
			if line, ok, _ := b.find(text); ok {
				return line, nil
			}
			return "", eris.Wrapf(context.Cause(ctx), "wait for %q in the output", text)
		}
	}
}

// find returns the line and otherwise a channel that is closed by the next write.
func (b *logBuffer) find(text string) (string, bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line, ok := findLine(string(b.data), text)
	return line, ok, b.grown
}

func findLine(data, text string) (string, bool) {
	for data != "" {
		line, rest, whole := strings.Cut(data, "\n")
		if whole && strings.Contains(line, text) {
			return line, true
		}
		data = rest
	}
	return "", false
}
