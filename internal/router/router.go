// Package router runs requests on minions: it queues them by urgency, shares the
// slots of the minions between the daemons, forwards to peers with free slots,
// retries within a budget, and makes the claim of each non-idempotent request.
package router

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/claim"
	"github.com/samphirepath/samphirepath/internal/configuration"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/retry"
)

const (
	// tickEvery is the interval at which ownership is computed anew and waiting
	// requests are offered to peers.
	tickEvery = 25 * time.Millisecond
	// drainPoll is the interval at which Drain looks for requests in flight.
	drainPoll = 5 * time.Millisecond
	// longestPause bounds the wait before a retry.
	longestPause = 100 * time.Millisecond
	// defaultEjection is the first time for which a failing minion gets no requests.
	defaultEjection = time.Second
	// longestEjection bounds the back-off of a minion that keeps failing.
	longestEjection = 30 * time.Second
)

// Config holds the dependencies and settings of a Router. Logger, scope and
// tracer may be nil.
type Config struct {
	Log    *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer

	VMs     refplatform.VMs
	Minions refplatform.Minions
	Network peers.Network
	View    configuration.View
	Claims  *claim.Claims

	Limits api.LimitSettings
	Timing api.TimingSettings

	// Ejection is the first time for which a failing minion gets no requests; 0 takes 1 s.
	Ejection time.Duration
}

// Request is a request of a caller whose entry and limits have been checked.
type Request struct {
	ID           string
	Organisation string
	Submit       api.RequestSubmit
	Urgency      api.Urgency
	Deadline     time.Time // with a monotonic reading
	MaxQueued    int       // requests to the entry that may wait in this daemon; 0 sets no limit
}

// Refusal tells why a request has no answer of a minion.
type Refusal int

const (
	// NoRefusal means that the result holds what a minion answered, or that the
	// request may have run.
	NoRefusal Refusal = iota
	// Overloaded means that a queue is full or that the deadline cannot be met.
	Overloaded
	// Unavailable means that no minion, or no claim, can be had now.
	Unavailable
	// KeyReused means that the key belongs to a request with another body.
	KeyReused
)

// Reply is what became of a request.
type Reply struct {
	Result     api.RequestResult
	Refusal    Refusal
	RetryAfter time.Duration // set with Overloaded and Unavailable
}

// Router runs requests.
type Router struct {
	log     *zap.Logger
	scope   tally.Scope
	tracer  trace.Tracer
	config  Config
	pool    *pool
	budget  *retry.Budget
	backoff retry.Backoff
	gate    storeGate
	flights flights
	served  servedForwards
}

// New returns a router and registers its handlers with the network.
func New(config Config) *Router {
	config.Log = telemetry.Logger(config.Log)
	config.Scope = telemetry.Scope(config.Scope)
	config.Tracer = telemetry.Tracer(config.Tracer)
	if config.Ejection <= 0 {
		config.Ejection = defaultEjection
	}
	r := &Router{
		log:     config.Log.Named("router"),
		scope:   config.Scope.SubScope("router"),
		tracer:  config.Tracer,
		config:  config,
		backoff: retry.Backoff{Max: longestPause},
		budget:  retry.NewBudget(retry.BudgetConfig{Percent: config.Limits.RetryBudgetPercent}),
	}
	r.pool = newPool(config, r.log, r.scope)
	config.Network.Handle(peers.KindRequestForward, r.serveForward)
	config.Network.Handle(peers.KindRequestCancel, r.serveCancel)
	return r
}

// Run follows the VM list and serves waiting requests. It also runs the
// background work of the claims. It returns when ctx ends.
func (r *Router) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.config.Claims.Run(ctx) })
	group.Go(func() error { return r.followVMs(ctx) })
	group.Go(func() error { return r.tick(ctx) })
	return eris.Wrap(group.Wait(), "router")
}

func (r *Router) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.pool.refresh()
		}
	}
}

func (r *Router) followVMs(ctx context.Context) error {
	ticker := time.NewTicker(max(r.config.Timing.VMListEvery.Std(), time.Millisecond))
	defer ticker.Stop()
	reachable := true
	for {
		list, err := r.config.VMs.List(ctx)
		if err == nil {
			r.pool.setVMs(list.Vms)
		} else if reachable && ctx.Err() == nil {
			r.log.Warn("Cannot read the VM list, keeping the last one.", zap.Error(err))
		}
		reachable = err == nil
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// FreeSlots returns the free slots of the minions that this daemon owns, less
// the requests that wait for them.
func (r *Router) FreeSlots() int { return int(r.pool.free.Load()) }

// LeavingMinions returns the minions that are leaving by their own word while
// the VM list still names them as live.
func (r *Router) LeavingMinions() []api.MinionInstance {
	if leaving := r.pool.leaving.Load(); leaving != nil {
		return *leaving
	}
	return nil
}

// Minions returns the known minions, ordered by identifier.
func (r *Router) Minions() []api.MinionStatus { return r.pool.statuses() }

// Lookup returns the result of a non-idempotent request by key, and whether the
// key is known.
func (r *Router) Lookup(ctx context.Context, organisation, key string) (api.RequestResult, bool, error) {
	row, exists, err := r.config.Claims.Lookup(ctx, organisation, key)
	if err != nil || !exists {
		return api.RequestResult{}, false, err
	}
	return r.resultOfRow(row), true, nil
}

// resultOfRow describes a claim row as a result.
func (r *Router) resultOfRow(row api.Claim) api.RequestResult {
	result := api.RequestResult{Key: row.Key, ServedBy: row.VM}
	switch row.State {
	case api.ClaimStateDone:
		return row.Result
	case api.ClaimStateNotRun:
		result.Outcome = api.OutcomeNotRun
		result.Reason = "the request was not sent to a minion"
	default:
		result.Outcome = api.OutcomeUnknown
		result.InProgress = r.holderLives(row)
		result.Reason = "the request has been claimed and has no answer yet"
		if !result.InProgress {
			result.Reason = "the daemon that claimed the request is gone; whether it ran is not known"
		}
	}
	return result
}

// holderLives tells whether the process that made the claim is still in contact.
func (r *Router) holderLives(row api.Claim) bool {
	if self := r.config.Network.Self(); self.Incarnation == row.Incarnation {
		return true
	}
	for _, m := range r.config.Network.Members() {
		if m.Incarnation == row.Incarnation {
			return m.State == peers.Live || m.State == peers.Draining
		}
	}
	return false
}
