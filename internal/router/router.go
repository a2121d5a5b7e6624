// Package router routes requests to minions. It queues them by urgency, divides the
// slots of the minions among the daemons, forwards requests to peers with free
// slots, retries within a budget, and claims each non-idempotent request before it
// is dispatched.
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
	// refreshInterval is the interval at which the ownership of minions is recomputed
	// and waiting requests are forwarded to peers.
	refreshInterval = 25 * time.Millisecond
	// drainPollInterval is the interval at which Drain checks for requests in flight.
	drainPollInterval = 5 * time.Millisecond
	// maxRetryDelay bounds the wait before a retry.
	maxRetryDelay = 100 * time.Millisecond
	// defaultBaseEjectionTime is the duration of the first ejection of a failing
	// minion.
	defaultBaseEjectionTime = time.Second
	// maxEjectionTime bounds the ejection of a minion that keeps failing.
	maxEjectionTime = 30 * time.Second
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

	// BaseEjectionTime is the duration of the first ejection of a failing minion,
	// during which it gets no requests; 0 means 1 s.
	BaseEjectionTime time.Duration
}

// Request is a request whose entry and limits have been validated.
type Request struct {
	ID           string
	Organisation string
	Submission   api.RequestSubmit
	Urgency      api.Urgency
	Deadline     time.Time // with a monotonic reading
	MaxQueued    int       // requests to the entry that may wait in the queue of this daemon; 0 means no limit
}

// RefusalKind is the kind of a refusal.
type RefusalKind int

const (
	// NoRefusal means that the result holds what a minion answered, or that the
	// request may have run.
	NoRefusal RefusalKind = iota
	// Overloaded means that a queue is full or that the deadline cannot be met.
	Overloaded
	// Unavailable means that no minion is available, or that the request cannot be
	// claimed now.
	Unavailable
	// KeyReused means that the key belongs to a request with another body.
	KeyReused
)

// Reply is the result of a request and, if the request was not run, the kind of the
// refusal.
type Reply struct {
	Result     api.RequestResult
	Refusal    RefusalKind
	RetryAfter time.Duration // set with Overloaded and Unavailable
}

// Router dispatches requests to minions and peers. Create it with New.
type Router struct {
	log       *zap.Logger
	scope     tally.Scope
	tracer    trace.Tracer
	config    Config
	pool      *pool
	budget    *retry.Budget
	backoff   retry.Backoff
	breaker   storeBreaker
	inFlight  inFlightCounter
	forwarded forwardedRequests
}

// New returns a router and registers its handlers with the network.
func New(config Config) *Router {
	config.Log = telemetry.LoggerOrNop(config.Log)
	config.Scope = telemetry.ScopeOrNoop(config.Scope)
	config.Tracer = telemetry.TracerOrNoop(config.Tracer)
	if config.BaseEjectionTime <= 0 {
		config.BaseEjectionTime = defaultBaseEjectionTime
	}
	r := &Router{
		log:     config.Log.Named("router"),
		scope:   config.Scope.SubScope("router"),
		tracer:  config.Tracer,
		config:  config,
		backoff: retry.Backoff{Max: maxRetryDelay},
		budget:  retry.NewBudget(retry.BudgetConfig{Percent: config.Limits.RetryBudgetPercent}),
	}
	r.pool = newPool(config, r.log, r.scope)
	config.Network.Handle(peers.KindRequestForward, r.handleForward)
	config.Network.Handle(peers.KindRequestCancel, r.handleCancel)
	return r
}

// Run polls the VM list and serves waiting requests. It also runs the background
// work of the claims. It returns when ctx ends.
func (r *Router) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.config.Claims.Run(ctx) })
	group.Go(func() error { return r.pollVMs(ctx) })
	group.Go(func() error { return r.refreshLoop(ctx) })
	return eris.Wrap(group.Wait(), "router")
}

func (r *Router) refreshLoop(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
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

func (r *Router) pollVMs(ctx context.Context) error {
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

// FreeSlots returns the number of free slots of the minions that this daemon owns,
// less the slots reserved for urgent requests and the requests that wait.
func (r *Router) FreeSlots() int { return int(r.pool.freeSlots.Load()) }

// LeavingMinions returns the minions that reported that they are leaving while the
// VM list still has them as live.
func (r *Router) LeavingMinions() []api.MinionInstance {
	if leaving := r.pool.leavingMinions.Load(); leaving != nil {
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
	return r.resultFromClaim(row), true, nil
}

// resultFromClaim returns the result of a request as far as its claim row shows it.
func (r *Router) resultFromClaim(row api.Claim) api.RequestResult {
	result := api.RequestResult{Key: row.Key, ServedBy: row.VM}
	switch row.State {
	case api.ClaimStateDone:
		return row.Result
	case api.ClaimStateNotRun:
		result.Outcome = api.OutcomeNotRun
		result.Reason = "the request was not sent to a minion"
	default:
		result.Outcome = api.OutcomeUnknown
		result.InProgress = r.holderIsAlive(row)
		result.Reason = "the request has been claimed and has no answer yet"
		if !result.InProgress {
			result.Reason = "the daemon that claimed the request is gone; whether it ran is not known"
		}
	}
	return result
}

// holderIsAlive reports whether the daemon process that made the claim is a live or
// draining member.
func (r *Router) holderIsAlive(row api.Claim) bool {
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
