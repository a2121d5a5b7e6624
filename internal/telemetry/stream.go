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
	// streamQueue is the number of lines that wait for a slow reader.
	streamQueue = 2048
	// sampleFirst lines with the same text are kept a second, then one of sampleThen.
	sampleFirst = 300
	sampleThen  = 50
	// maxWrite is about the size of one write.
	maxWrite = 32 << 10
	// closeTimeout bounds the last write to a reader that takes nothing; it is small
	// beside the seconds that a daemon has to stop.
	closeTimeout = 500 * time.Millisecond
)

// NewStreamLogger returns a logger of JSON lines that never blocks: lines that
// the reader does not take are dropped and counted. flush writes what is queued.
func NewStreamLogger(out io.Writer) (logger *zap.Logger, flush func(), err error) {
	stream := newStream(out)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey, config.NameKey, config.MessageKey = "time", "part", "message"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), stream, zapcore.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThen)
	return zap.New(sampled, zap.WithCaller(false)), stream.close, nil
}

// stream hands lines to a writer in a goroutine of its own.
type stream struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
	stop    chan struct{}
	done    chan struct{}
}

func newStream(out io.Writer) *stream {
	s := &stream{out: out, lines: make(chan []byte, streamQueue), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line, or drops it when the queue is full.
func (s *stream) Write(line []byte) (int, error) {
	kept := make([]byte, len(line))
	copy(kept, line)
	select {
	case s.lines <- kept:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; close writes what is queued.
func (s *stream) Sync() error { return nil }

func (s *stream) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.stop:
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			return
		}
	}
}

// write writes a line and all that are queued behind it at once.
func (s *stream) write(line []byte) {
	for len(s.lines) > 0 && len(line) < maxWrite {
		line = append(line, <-s.lines...)
	}
	if n := s.dropped.Swap(0); n > 0 {
		line = append(line, droppedLine(n)...)
	}
	// A reader that has gone is no reason to stop serving.
	_, _ = s.out.Write(line)
}

// close writes what is queued. Later lines are lost, and so are those that the reader
// does not take in time.
func (s *stream) close() {
	s.once.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}

func droppedLine(n int64) string {
	return fmt.Sprintf("{\"level\":\"warn\",\"part\":\"logs\",\"message\":\"Lines dropped.\",\"lines\":%d}\n", n)
}
