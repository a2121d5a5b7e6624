// Package claim makes at-most-once claims over a table.Store. A claim is a row
// that is inserted before a request is dispatched. Whoever inserted the row may
// dispatch, once; everyone else finds the row and learns the result or who is at
// work. A claim never expires into a second dispatch.
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
	// Prefix is the start of the keys of all claim rows.
	Prefix = "claims/"
	// unavailableTries is the number of refused commits after which a claim gives
	// up: one refusal may be a moment's fault, and several mean an outage, in which
	// the caller is told soon rather than at its deadline.
	unavailableTries = 3
	// DefaultInlineLimit is the largest encoded result kept in the row, in bytes.
	DefaultInlineLimit = 4096
)

// Objects keeps results that are too large for a row.
type Objects interface {
	// Put stores an object. With ifAbsent an existing object is kept and created is false.
	Put(ctx context.Context, key string, value []byte, ifAbsent bool) (created bool, err error)
	// Get returns the object and whether it exists.
	Get(ctx context.Context, key string) ([]byte, bool, error)
}

// Config holds the dependencies of Claims.
type Config struct {
	Store       table.Store
	Objects     Objects // nil keeps all results in the rows
	VM          string  // identifier of this VM, written to the rows
	Incarnation string  // identifier of this process, written to the rows
	InlineLimit int     // bytes; 0 takes DefaultInlineLimit
	Backoff     retry.Backoff
	Now         func() time.Time // nil takes time.Now
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
	// NotAcquired means that this call did not make the claim and that the
	// request will not be dispatched by it.
	NotAcquired
)

// Request names what is claimed.
type Request struct {
	Organisation string
	Key          string
	BodyHash     string
}

// Outcome of a claim.
type Outcome struct {
	Status Status
	Held   Held      // set when Acquired
	Row    api.Claim // the row found, when Done, InProgress or DifferentBody
	// Occupied is set with NotAcquired when the key has a row that could not be
	// read: an earlier submission of the key may have run.
	Occupied bool
	// Err is the cause when NotAcquired. With Done it means that the result is
	// stored and could not be read.
	Err error
}

// Held is a claim of this process. Complete or Release ends it.
type Held struct {
	row     api.Claim
	version int64
}

// Claims makes and ends claims. Run must be running for claims whose outcome was
// not settled in time.
type Claims struct {
	config  Config
	wake    chan struct{} // signals Run that there is work
	mu      sync.Mutex
	pending []job // handed to Run and not taken yet
	open    int   // handed to Run and not finished
}

// New returns Claims over the store.
func New(config Config) *Claims {
	if config.InlineLimit <= 0 {
		config.InlineLimit = DefaultInlineLimit
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Claims{config: config, wake: make(chan struct{}, 1)}
}

// RowKey returns the key of the row of a claim. Organisation and key are escaped,
// so that no slash in them can name the row of another claim.
func RowKey(organisation, key string) string {
	return Prefix + url.PathEscape(organisation) + "/" + url.PathEscape(key)
}

// Claim tries to claim the request before ctx ends.
func (c *Claims) Claim(ctx context.Context, request Request) Outcome {
	rowKey := RowKey(request.Organisation, request.Key)
	var version int64 // version at which the row may be taken; 0 means absence
	for attempt := 1; ; attempt++ {
		out, found := c.take(ctx, rowKey, version, c.newRow(request))
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
			return c.done(ctx, found.claim)
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

// take commits the row at the version. It returns an outcome when the claim is
// acquired or given up, and otherwise the row that stands in the way.
func (c *Claims) take(ctx context.Context, key string, version int64, row api.Claim) (Outcome, stored) {
	value, err := json.Marshal(row)
	if err != nil {
		return Outcome{Status: NotAcquired, Err: eris.Wrap(err, "encode claim")}, stored{}
	}
	mayLand := false  // an earlier commit of this row may still take effect
	occupied := false // the condition did not hold
	refused := 0
	giveUp := func(err error) (Outcome, stored) {
		if mayLand {
			c.hand(job{key: key, version: version, row: row, undo: true})
		}
		return Outcome{Status: NotAcquired, Occupied: occupied, Err: err}, stored{}
	}
	for attempt := 1; ; attempt++ {
		result := c.config.Store.Commit(ctx, []table.Condition{{Key: key, Version: version}},
			[]table.Write{{Key: key, Value: value}})
		switch result.Status {
		case table.Committed:
			return acquired(row, result.Version), stored{}
		case table.Unavailable:
			if refused++; refused >= unavailableTries && !mayLand {
				return giveUp(eris.Wrap(result.Err, "store unavailable"))
			}
		case table.Unknown:
			mayLand = true
		case table.Conflict:
			occupied = true
		}
		if found, err := c.read(ctx, key); err == nil {
			switch {
			case found.exists && found.claim.Nonce == row.Nonce:
				return acquired(row, found.version), stored{}
			case found.version != version:
				// The row moved on, so the condition of this commit can never hold again.
				return Outcome{}, found
			}
		}
		// The same row is committed again: at most one of the commits can take effect.
		if err := c.config.Backoff.Wait(ctx, attempt); err != nil {
			return giveUp(err)
		}
	}
}

func acquired(row api.Claim, version int64) Outcome {
	return Outcome{Status: Acquired, Held: Held{row: row, version: version}}
}

// done returns the stored result, with its body read from the object store.
func (c *Claims) done(ctx context.Context, row api.Claim) Outcome {
	err := c.load(ctx, &row)
	return Outcome{Status: Done, Row: row, Err: err}
}

// Lookup returns the claim of a key, with its result when it has one, and
// whether it exists.
func (c *Claims) Lookup(ctx context.Context, organisation, key string) (api.Claim, bool, error) {
	found, err := c.read(ctx, RowKey(organisation, key))
	if err != nil || !found.exists {
		return api.Claim{}, false, err
	}
	if err := c.load(ctx, &found.claim); err != nil {
		return api.Claim{}, false, err
	}
	return found.claim, true, nil
}

// stored is a row as read.
type stored struct {
	claim   api.Claim
	version int64
	exists  bool
}

func (c *Claims) read(ctx context.Context, key string) (stored, error) {
	row, exists, err := c.config.Store.Get(ctx, key)
	if err != nil {
		return stored{}, eris.Wrap(err, "read claim")
	}
	if !exists {
		return stored{}, nil
	}
	found := stored{version: row.Version, exists: true}
	if err := json.Unmarshal(row.Value, &found.claim); err != nil {
		return stored{}, eris.Wrapf(err, "decode claim %s", key)
	}
	return found, nil
}
