// Package table defines a transactional table service: versioned rows, listings
// of what has changed, and atomic commits over several rows under conditions.
package table

import "context"

// Row is a stored value. Version is the commit version of its last write, above 0.
type Row struct {
	Key     string
	Value   []byte
	Version int64
}

// Condition requires a key to be at a version. Version 0 requires absence.
type Condition struct {
	Key     string
	Version int64
}

// Write puts or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Listing holds the rows and deletions of a prefix that were committed after a
// version, and the version up to which the listing is complete.
type Listing struct {
	Rows    []Row
	Deleted []string
	Version int64
}

// CommitStatus tells what became of a commit.
type CommitStatus int

const (
	// Committed means that all writes took effect.
	Committed CommitStatus = iota + 1
	// Conflict means that a condition did not hold and nothing was written.
	Conflict
	// Unavailable means that the commit certainly did not and will not take effect.
	Unavailable
	// Unknown means that the answer was lost: the commit may have taken effect or may still do so.
	Unknown
)

// CommitResult is the outcome of a commit.
type CommitResult struct {
	Status    CommitStatus
	Version   int64    // commit version when committed
	Conflicts []string // keys whose condition did not hold
	Err       error    // cause when unavailable or unknown
}

// Store is a transactional table service. Reads are linearizable with commits.
type Store interface {
	// Get returns the row and whether it exists.
	Get(ctx context.Context, key string) (Row, bool, error)
	// List returns what changed below the prefix after version since; 0 returns all rows.
	List(ctx context.Context, prefix string, since int64) (Listing, error)
	// Commit applies all writes if all conditions hold, else none.
	Commit(ctx context.Context, conditions []Condition, writes []Write) CommitResult
}
