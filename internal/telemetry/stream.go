package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader.
	maxQueuedLines = 2048
	// Of the lines with the same level and message, the first sampleFirst of each
	// second are logged, then one in sampleThereafter.
	sampleFirst      = 300
	sampleThereafter = 50
	// maxWriteBytes is the size from which no further line is added to one write.
	maxWriteBytes = 32 << 10
	// closeTimeout bounds the last writes to a reader that does not read. It is a
	// small part of the few seconds that a daemon has to stop.
	closeTimeout = 500 * time.Millisecond
)

// NewStreamLogger returns a logger of JSON lines that never blocks. Lines that do not
// fit into the queue for a slow reader are dropped and counted. flush writes the
// queued lines; lines that are logged after it are lost.
func NewStreamLogger(out io.Writer) (logger *zap.Logger, flush func(), err error) {
	stream := newAsyncWriter(out)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey, config.NameKey, config.MessageKey = "time", "part", "message"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), stream, zapcore.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter)
	return zap.New(sampled, zap.WithCaller(false)), stream.close, nil
}

// asyncWriter writes lines in a goroutine of its own, so that the loggers never wait
// for the reader.
type asyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	stop    chan struct{}
	done    chan struct{}
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it when the queue is full.
func (w *asyncWriter) Write(line []byte) (int, error) {
	queued := make([]byte, len(line))
	copy(queued, line)
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; close writes the queued lines.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			return
		}
	}
}

// write writes a line together with the lines queued behind it, up to about
// maxWriteBytes.
func (w *asyncWriter) write(line []byte) {
	for len(w.lines) > 0 && len(line) < maxWriteBytes {
		line = append(line, <-w.lines...)
	}
	if n := w.dropped.Swap(0); n > 0 {
		line = append(line, droppedLine(n)...)
	}
	// The error is ignored: a closed output must not stop the daemon.
	_, _ = w.out.Write(line)
}

// close writes the queued lines. Lines that are logged later are lost, and so are
// those that the reader has not read within closeTimeout.
func (w *asyncWriter) close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func droppedLine(n int64) string {
	return fmt.Sprintf("{\"level\":\"warn\",\"part\":\"logs\",\"message\":\"Lines dropped.\",\"lines\":%d}\n", n)
}
