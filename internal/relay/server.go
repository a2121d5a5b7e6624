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
	// maxOperations bounds the operations of one peer that run at once.
	maxOperations = 64
	// longestWait bounds what a peer may ask to wait for.
	longestWait = 5 * time.Second
	// writeTimeout bounds the wait for a peer that does not read.
	writeTimeout = time.Second
)

// StateFunc gives the state of a job as this daemon's dispatcher knows it, "" when it
// cannot tell.
type StateFunc func(ctx context.Context, job string) string

// Handler serves the operations of peers on this daemon's own path to the store, and
// what its dispatcher knows.
func Handler(store table.Watcher, states StateFunc, log *zap.Logger) http.Handler {
	log = telemetry.Part(log, "relay")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			log.Warn("Peer not accepted.", zap.String("address", r.RemoteAddr), telemetry.Cause(err))
			return
		}
		conn.SetReadLimit(maxFrame)
		log.Info("Peer uses this daemon's path to the store.", zap.String("address", r.RemoteAddr))
		err = serve(r.Context(), conn, store, states)
		log.Info("Peer has left.", zap.String("address", r.RemoteAddr), telemetry.Cause(err))
	})
}

// serve runs operations until the connection ends.
func serve(ctx context.Context, conn *websocket.Conn, store table.Watcher, states StateFunc) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = conn.CloseNow() }()
	slots := make(chan struct{}, maxOperations)
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return err
		}
		frame, err := decodeFrame(data)
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		go func() {
			defer func() { <-slots }()
			answer := perform(ctx, store, states, frame)
			// A peer that does not take the result treats it as unknown.
			_ = write(ctx, conn, answer)
		}()
	}
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

// perform runs one operation.
func perform(ctx context.Context, store table.Watcher, states StateFunc, frame *api.RelayFrame) *api.RelayFrame {
	wait := min(milliseconds(frame.WaitMs), longestWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	switch frame.Operation {
	case opGet:
		row, found, err := store.Get(ctx, frame.Key)
		listing := table.Listing{}
		if found {
			listing.Rows = []table.Row{row}
		}
		return fromListing(frame.ID, listing, err)
	case opList:
		listing, err := store.List(ctx, frame.Key, frame.Since)
		return fromListing(frame.ID, listing, err)
	case opWatch:
		listing, err := store.Watch(ctx, frame.Key, frame.Since, wait*watchPart/100)
		return fromListing(frame.ID, listing, err)
	case opCommit:
		conditions, writes := toCommit(frame)
		return fromResult(frame.ID, store.Commit(ctx, conditions, writes))
	case opState:
		return fromListing(frame.ID, table.Listing{Rows: []table.Row{{Key: frame.Key, Value: []byte(states(ctx, frame.Key))}}}, nil)
	}
	return &api.RelayFrame{ID: frame.ID, Failure: "unknown operation " + frame.Operation, Status: int(table.Unavailable)}
}

// watchPart is the part of the caller's time, in percent, that a watch waits at
// the store; the rest is for the way.
const watchPart = 60
