// Package table defines a transactional table service with versioned rows, listings
// of changes, and atomic conditional commits over several rows.
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

// CommitStatus is the outcome of a commit.
type CommitStatus int

const (
	// Committed means that all writes took effect.
	Committed CommitStatus = iota + 1
	// Conflict means that a condition did not hold and nothing was written.
	Conflict
	// Unavailable means that the commit did not take effect and never will.
	Unavailable
	// Unknown means that there was no answer: the commit may have taken effect or may
	// still do so.
	Unknown
	// Rejected means that the store does not accept the commit as it is, for example
	// because a row is too large. It did not take effect, and repeating it is useless.
	Rejected
)

// CommitResult is the result of a commit.
type CommitResult struct {
	Status    CommitStatus
	Version   int64    // commit version when committed
	Conflicts []string // keys whose condition did not hold
	Err       error    // cause when the status is Unavailable, Unknown or Rejected
}

// Store is a transactional table service. Reads are linearizable with commits.
type Store interface {
	// Get returns a row and whether it exists.
	Get(ctx context.Context, key string) (Row, bool, error)
	// List returns the changes below the prefix after version since; 0 returns all rows.
	List(ctx context.Context, prefix string, since int64) (Listing, error)
	// Commit applies all writes if all conditions hold, otherwise none.
	Commit(ctx context.Context, conditions []Condition, writes []Write) CommitResult
}
