// Package claim provides at-most-once dispatch over a table.Store. A claim is a row
// that is inserted before a request is dispatched. Only the process that inserted
// the row may dispatch the request, once. Every other process finds the row, with
// the result or the process that holds the claim. Claims do not expire, so that a
// request is never dispatched twice.
package claim

import (
	"context"
	"encoding/json"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/retry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// Prefix is the prefix of the keys of all claim rows.
	Prefix = "claims/"
	// unavailableTries is the number of commits answered with table.Unavailable after
	// which Claim returns NotAcquired. A single one may be transient, but several
	// mean an outage, and the caller should learn of it before its deadline.
	unavailableTries = 3
	// DefaultInlineLimit is the size of the largest encoded result that is stored in
	// the row itself, in bytes.
	DefaultInlineLimit = 4096
)

// Objects stores results that are too large for a row.
type Objects interface {
	// Put stores an object. With ifAbsent an existing object is not replaced, and
	// created is false.
	Put(ctx context.Context, key string, value []byte, ifAbsent bool) (created bool, err error)
	// Get returns the object and whether it exists.
	Get(ctx context.Context, key string) ([]byte, bool, error)
}

// Config holds the dependencies of Claims.
type Config struct {
	Store       table.Store
	Objects     Objects // nil means that all results are stored in the rows
	VM          string  // identifier of this VM, written to the rows
	Incarnation string  // identifier of this process, written to the rows
	InlineLimit int     // bytes; 0 means DefaultInlineLimit
	Backoff     retry.Backoff
	Now         func() time.Time // nil means time.Now
}

// Status is the kind of an Outcome.
type Status int

const (
	// Acquired means that the caller, and nobody else, may dispatch the request.
	Acquired Status = iota + 1
	// Done means that the request has a stored result.
	Done
	// InProgress means that another claim holds the key and has no result yet.
	InProgress
	// DifferentBody means that the key was claimed with another body.
	DifferentBody
	// NotAcquired means that this call did not make the claim and that its caller
	// must not dispatch the request.
	NotAcquired
)

// Request identifies a request by organisation and key. BodyHash detects a key that
// is reused with another body.
type Request struct {
	Organisation string
	Key          string
	BodyHash     string
}

// Outcome is the result of an attempt to claim a request.
type Outcome struct {
	Status Status
	Handle Handle    // set when Acquired
	Row    api.Claim // the row found, when Done, InProgress or DifferentBody
	// KeyInUse is set with NotAcquired when the key has a row that could not be
	// read, so that an earlier submission of the key may have run.
	KeyInUse bool
	// Err is the cause of NotAcquired. With Done it means that the result is stored
	// but could not be read.
	Err error
}

// Handle is a claim that this process holds. Complete and Release end the claim.
type Handle struct {
	row     api.Claim
	version int64
}

// Claims makes and ends claims. Run must be running to finish the writes whose
// outcome was still unknown when their context ended.
type Claims struct {
	config     Config
	wake       chan struct{} // signals Run that writes are queued
	mu         sync.Mutex
	queued     []finalWrite // writes that Run has not started yet
	unfinished int          // writes that are queued or running
}

// New returns Claims with the given dependencies.
func New(config Config) *Claims {
	if config.InlineLimit <= 0 {
		config.InlineLimit = DefaultInlineLimit
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Claims{config: config, wake: make(chan struct{}, 1)}
}

// RowKey returns the key of the row of a claim. Organisation and key are escaped, so
// that a slash in them cannot produce the row key of another claim.
func RowKey(organisation, key string) string {
	return Prefix + url.PathEscape(organisation) + "/" + url.PathEscape(key)
}

// Claim tries to claim the request before ctx ends.
func (c *Claims) Claim(ctx context.Context, request Request) Outcome {
	rowKey := RowKey(request.Organisation, request.Key)
	var version int64 // version of the row to replace; 0 means that there is no row
	for attempt := 1; ; attempt++ {
		out, found := c.insert(ctx, rowKey, version, c.newRow(request))
		if out.Status != 0 {
			return out
		}
		switch {
		case !found.exists:
			version = 0
		case found.claim.BodyHash != request.BodyHash:
			return Outcome{Status: DifferentBody, Row: found.claim}
		case found.claim.State == api.ClaimStateNotRun:
			version = found.version
		case found.claim.State == api.ClaimStateDone:
			return c.doneOutcome(ctx, found.claim)
		default:
			return Outcome{Status: InProgress, Row: found.claim}
		}
		if attempt > 1 {
			if err := c.config.Backoff.Wait(ctx, attempt-1); err != nil {
				return Outcome{Status: NotAcquired, Err: err}
			}
		}
	}
}

func (c *Claims) newRow(request Request) api.Claim {
	return api.Claim{
		Organisation: request.Organisation,
		Key:          request.Key,
		BodyHash:     request.BodyHash,
		Nonce:        uuid.NewString(),
		VM:           c.config.VM,
		Incarnation:  c.config.Incarnation,
		State:        api.ClaimStateClaimed,
		ClaimedMs:    c.config.Now().UnixMilli(),
	}
}

// insert commits the row on the condition that the stored row has the version. It
// returns an outcome if the claim is acquired or abandoned, and otherwise the row
// that conflicts with it.
func (c *Claims) insert(ctx context.Context, key string, version int64, row api.Claim) (Outcome, storedClaim) {
	value, err := json.Marshal(row)
	if err != nil {
		return Outcome{Status: NotAcquired, Err: eris.Wrap(err, "encode claim")}, storedClaim{}
	}
	mayApply := false // an earlier commit of this row may still take effect
	keyInUse := false // a commit conflicted, so the key has a row
	unavailable := 0
	abandon := func(err error) (Outcome, storedClaim) {
		if mayApply {
			c.enqueue(finalWrite{key: key, version: version, row: row, release: true})
		}
		return Outcome{Status: NotAcquired, KeyInUse: keyInUse, Err: err}, storedClaim{}
	}
	for attempt := 1; ; attempt++ {
		result := c.config.Store.Commit(ctx, []table.Condition{{Key: key, Version: version}},
			[]table.Write{{Key: key, Value: value}})
		switch result.Status {
		case table.Committed:
			return acquiredOutcome(row, result.Version), storedClaim{}
		case table.Unavailable:
			if unavailable++; unavailable >= unavailableTries && !mayApply {
				return abandon(eris.Wrap(result.Err, "store unavailable"))
			}
		case table.Unknown:
			mayApply = true
		case table.Conflict:
			keyInUse = true
		}
		if found, err := c.readRow(ctx, key); err == nil {
			switch {
			case found.exists && found.claim.Nonce == row.Nonce:
				return acquiredOutcome(row, found.version), storedClaim{}
			case found.version != version:
				// The version has changed, so the condition of this commit can never hold again.
				return Outcome{}, found
			}
		}
		// Retry with the same row and version: at most one of the commits can take effect.
		if err := c.config.Backoff.Wait(ctx, attempt); err != nil {
			return abandon(err)
		}
	}
}

func acquiredOutcome(row api.Claim, version int64) Outcome {
	return Outcome{Status: Acquired, Handle: Handle{row: row, version: version}}
}

// doneOutcome returns the outcome for a row with a stored result. A large result is
// read from the object store.
func (c *Claims) doneOutcome(ctx context.Context, row api.Claim) Outcome {
	err := c.loadResult(ctx, &row)
	return Outcome{Status: Done, Row: row, Err: err}
}

// Lookup returns the claim of a key, including its result if it has one, and whether
// the claim exists.
func (c *Claims) Lookup(ctx context.Context, organisation, key string) (api.Claim, bool, error) {
	found, err := c.readRow(ctx, RowKey(organisation, key))
	if err != nil || !found.exists {
		return api.Claim{}, false, err
	}
	if err := c.loadResult(ctx, &found.claim); err != nil {
		return api.Claim{}, false, err
	}
	return found.claim, true, nil
}

// storedClaim is a claim row read from the store. The zero value stands for a key
// without a row.
type storedClaim struct {
	claim   api.Claim
	version int64
	exists  bool
}

func (c *Claims) readRow(ctx context.Context, key string) (storedClaim, error) {
	row, exists, err := c.config.Store.Get(ctx, key)
	if err != nil {
		return storedClaim{}, eris.Wrap(err, "read claim")
	}
	if !exists {
		return storedClaim{}, nil
	}
	found := storedClaim{version: row.Version, exists: true}
	if err := json.Unmarshal(row.Value, &found.claim); err != nil {
		return storedClaim{}, eris.Wrapf(err, "decode claim %s", key)
	}
	return found, nil
}
