package table

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryLost means that the store no longer has the changes after the requested
// version. The reader has to list all rows again.
var ErrHistoryLost = eris.New("table: the history after this version is no longer kept")

// Watcher is a Store that can wait for changes.
type Watcher interface {
	Store
	// Watch returns the changes below the prefix after version since. If there are none,
	// it waits up to wait for the first one and returns an empty listing if none comes.
	Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (Listing, error)
}

// Update is the result of one read by a Follower.
type Update struct {
	// Full means that Rows contains all rows below the prefix. Rows that it does not
	// contain no longer exist.
	Full    bool
	Rows    []Row
	Deleted []string
	Version int64
	// AsOf is when the read was sent: the state is at least this recent.
	AsOf time.Time
	// Err is set when the store did not answer; the other fields are empty.
	Err error
}

// Follower follows the changes of the rows below a prefix.
type Follower struct {
	Store  Watcher
	Prefix string
	// Wait is how long the store waits for a change in one watch. Grace is the time
	// allowed for its answer on top: a dead connection is detected after Wait + Grace.
	Wait  time.Duration
	Grace time.Duration
	// RetryDelay is the delay after a failed read.
	RetryDelay time.Duration
	// MinInterval is the minimum time between the starts of two reads, so that changes
	// in quick succession are read together. Zero reads each change at once.
	MinInterval time.Duration
}

// Run calls deliver with a full listing and then with the changes in order, until ctx
// ends. An update without rows and deletions means that nothing has changed.
func (f Follower) Run(ctx context.Context, deliver func(Update)) {
	version, full := int64(0), true
	for ctx.Err() == nil {
		sent := time.Now()
		listing, err := f.read(ctx, version, full)
		switch {
		case ctx.Err() != nil:
			return
		case eris.Is(err, ErrHistoryLost):
			full = true
		case err != nil:
			// The next watch continues from the same version, so it misses no change.
			deliver(Update{Err: err})
			pause(ctx, f.RetryDelay)
		default:
			deliver(Update{Full: full, Rows: listing.Rows, Deleted: listing.Deleted, Version: listing.Version, AsOf: sent})
			version, full = listing.Version, false
		}
		if remaining := f.MinInterval - time.Since(sent); remaining > 0 {
			pause(ctx, remaining)
		}
	}
}

func (f Follower) read(ctx context.Context, version int64, full bool) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+f.Grace)
	defer cancel()
	if full {
		return f.Store.List(ctx, f.Prefix, 0)
	}
	return f.Store.Watch(ctx, f.Prefix, version, f.Wait)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
