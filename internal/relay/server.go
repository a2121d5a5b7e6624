package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// maxConcurrentOperations bounds the operations that run at once for one peer.
	maxConcurrentOperations = 64
	// maxOperationTime bounds each operation, whatever time the peer requests for it.
	maxOperationTime = 5 * time.Second
	// maxConcurrentListings bounds the listings for all peers. One of a large deployment takes
	// some MB.
	maxConcurrentListings = 2
	// maxOrganisationBytes bounds the name of an organisation in an operation.
	maxOrganisationBytes = 1 << 10
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = time.Second
)

// Dispatcher answers for the dispatcher of this daemon.
type Dispatcher interface {
	// JobState returns the state of a job, or "" if it is not certain.
	JobState(ctx context.Context, job string) string
	// EndTermBefore ends a term with a lower epoch, and reports whether none runs or will
	// run any more.
	EndTermBefore(ctx context.Context, epoch int64) bool
	// GrantJob admits a job of an organisation, or returns why not.
	GrantJob(ctx context.Context, organisation string, bytes int64) error
}

// Handler executes the operations of peers on this daemon's direct path to the store,
// and answers what they ask of its dispatcher. self is the name of this daemon.
func Handler(self string, store table.Watcher, dispatcher Dispatcher, limits Limits, log *zap.Logger) http.Handler {
	limits = limits.withDefaults()
	return &server{
		local: local{self, store, dispatcher}, conns: &connections{limits: limits, all: map[*served]struct{}{}},
		frames: newFrameBudget(limits.FrameBytes), listings: make(chan struct{}, maxConcurrentListings), log: telemetry.Named(log, "relay"),
	}
}

// server serves the peers of a daemon.
type server struct {
	local
	conns    *connections
	frames   *frameBudget
	listings chan struct{} // of listings that are read and sent
	log      *zap.Logger
}

// ServeHTTP serves a peer until its connection ends.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	admitted := s.conns.admit(r, time.Now)
	if admitted == nil {
		s.log.Info("Connection of a sender refused.", zap.String("address", r.RemoteAddr))
		http.Error(w, "the connection is refused", http.StatusServiceUnavailable)
		return
	}
	defer s.conns.remove(admitted)
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		s.log.Warn("Failed to accept the connection of a peer.", zap.String("address", r.RemoteAddr), telemetry.ErrorField(err))
		return
	}
	s.conns.setClose(admitted, func() { _ = conn.CloseNow() })
	conn.SetReadLimit(maxRequestBytes)
	s.log.Info("Peer connected.", zap.String("address", r.RemoteAddr))
	err = s.serve(r.Context(), conn, admitted)
	s.log.Info("Peer disconnected.", zap.String("address", r.RemoteAddr), telemetry.ErrorField(err))
}

// local is what a daemon offers to its peers.
type local struct {
	self       string
	store      table.Watcher
	dispatcher Dispatcher
}

// serve executes the operations of a peer until the connection ends.
func (s *server) serve(ctx context.Context, conn *websocket.Conn, admitted *served) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = conn.CloseNow() }()
	idle := time.AfterFunc(serverIdleTimeout, func() { _ = conn.CloseNow() })
	defer idle.Stop()
	slots := make(chan struct{}, maxConcurrentOperations)
	for {
		begun := false
		charged, data, err := s.frames.read(ctx, conn, func() {
			begun = true
			s.conns.use(admitted)
			idle.Reset(serverIdleTimeout)
		})
		done := func() {
			s.conns.unuse(admitted, time.Now())
			if charged != nil {
				charged.releaseAll()
			}
		}
		if err != nil {
			if begun {
				done()
			}
			return err
		}
		frame, err := decodeRequest(data)
		if err != nil {
			done()
			return err
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			done()
			return ctx.Err()
		}
		go func() {
			defer done()
			defer func() { <-slots }()
			defer telemetry.LogPanic(s.log, "operation of a peer", zap.String("operation", frame.Operation), zap.String("key", frame.Key))
			s.answer(ctx, conn, frame)
		}()
	}
}

// answer executes an operation and sends its result. Few listings are in memory at a time. A
// peer that does not receive the result treats it as unknown.
func (s *server) answer(ctx context.Context, conn *websocket.Conn, frame *api.RelayFrame) {
	if frame.Operation == opList {
		select {
		case s.listings <- struct{}{}:
			defer func() { <-s.listings }()
		case <-time.After(min(milliseconds(frame.WaitMs), maxOperationTime)):
			return
		case <-ctx.Done():
			return
		}
	}
	_ = write(ctx, conn, s.execute(ctx, frame))
}

func write(ctx context.Context, conn *websocket.Conn, frame *api.RelayFrame) error {
	data, err := encodeFrame(frame)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

// execute runs an operation and returns the frame with its result.
func (l local) execute(ctx context.Context, frame *api.RelayFrame) *api.RelayFrame {
	timeout := min(milliseconds(frame.WaitMs), maxOperationTime)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch frame.Operation {
	case opGet:
		row, found, err := l.store.Get(ctx, frame.Key)
		listing := table.Listing{}
		if found {
			listing.Rows = []table.Row{row}
		}
		return listingFrame(frame.ID, listing, err)
	case opList:
		listing, err := l.store.List(ctx, frame.Key, frame.Since)
		return listingFrame(frame.ID, listing, err)
	case opWatch:
		listing, err := l.store.Watch(ctx, frame.Key, frame.Since, timeout*watchWaitPercent/100)
		return listingFrame(frame.ID, listing, err)
	case opCommit:
		conditions, writes := parseCommit(frame)
		return resultFrame(frame.ID, l.store.Commit(ctx, conditions, writes))
	case opState:
		return textFrame(frame, l.dispatcher.JobState(ctx, frame.Key))
	case opGrant:
		return textFrame(frame, l.grant(ctx, frame.Key, frame.Since))
	case opEndTerm:
		// Another daemon may have got the address of the one that is meant.
		if frame.Key == l.self && l.dispatcher.EndTermBefore(ctx, frame.Since) {
			return textFrame(frame, termEnded)
		}
		return textFrame(frame, "")
	}
	return &api.RelayFrame{ID: frame.ID, Failure: "unknown operation " + frame.Operation, Status: int(table.Unavailable)}
}

// grant returns the result of opGrant. A peer may send any text and number.
func (l local) grant(ctx context.Context, organisation string, bytes int64) string {
	if len(organisation) > maxOrganisationBytes || bytes <= 0 {
		return notGranted
	}
	return grantText(l.dispatcher.GrantJob(ctx, organisation, bytes))
}

// termEnded is the result of opEndTerm if no term before the epoch runs.
const termEnded = "ended"

// textFrame returns the result of an operation that yields a text.
func textFrame(frame *api.RelayFrame, text string) *api.RelayFrame {
	return listingFrame(frame.ID, table.Listing{Rows: []table.Row{{Key: frame.Key, Value: []byte(text)}}}, nil)
}

// watchWaitPercent is the percentage of the time of an operation for which a watch
// waits at the store. The rest is for the network.
const watchWaitPercent = 60
