package requests_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	// idleTimeout bounds the wait until no minion runs a request.
	idleTimeout = 5 * time.Second
	// defaultDeadline is the deadline of a request that sets none.
	defaultDeadline = 2 * time.Second
)

// requestSpec describes a request, except for its key.
type requestSpec struct {
	entry         string        // empty means standardEntry
	serviceTime   time.Duration // on the minion
	deadline      time.Duration // 0 means defaultDeadline
	nonIdempotent bool
	paddingBytes  int    // bytes added to the body and to its answer
	variant       string // makes the body differ for the same key
}

var keys atomic.Int64

// newKey returns a key that is unique in the suite.
func newKey(kind string) string { return fmt.Sprintf("%s-%d", kind, keys.Add(1)) }

// payload returns the part of the body that the minion sends back. It contains the
// key, so that the answer to another request is detected.
func (s requestSpec) payload(key string) []byte {
	text, _ := json.Marshal(map[string]string{
		"of": key, "variant": s.variant, "filler": string(bytes.Repeat([]byte("x"), s.paddingBytes)),
	})
	return text
}

func (s requestSpec) request(key string) api.RequestSubmit {
	body, _ := json.Marshal(map[string]any{"sleep_ms": s.serviceTime.Milliseconds(), "key": key, "echo": json.RawMessage(s.payload(key))})
	submit := api.RequestSubmit{Entry: s.entry, Key: key, Body: body, NonIdempotent: s.nonIdempotent, DeadlineMs: s.deadline.Milliseconds()}
	if submit.Entry == "" {
		submit.Entry = standardEntry
	}
	if submit.DeadlineMs == 0 {
		submit.DeadlineMs = defaultDeadline.Milliseconds()
	}
	return submit
}

// outcomeRecord holds the outcomes that daemons returned to callers.
type outcomeRecord struct {
	mu            sync.Mutex
	outcomes      map[string][]api.Outcome // by key, one for each submission or fetch
	nonIdempotent map[string]bool          // keys of non-idempotent requests
	invalid       []string                 // answers that are not intact or belong to another request
}

func newOutcomeRecord() *outcomeRecord {
	return &outcomeRecord{outcomes: map[string][]api.Outcome{}, nonIdempotent: map[string]bool{}}
}

func (r *outcomeRecord) record(key string, spec requestSpec, answer client.Answer[api.RequestResult]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[key] = append(r.outcomes[key], answer.Outcome())
	r.nonIdempotent[key] = r.nonIdempotent[key] || spec.nonIdempotent
	if problem := checkAnswer(key, spec, answer); problem != "" {
		r.invalid = append(r.invalid, key+": "+problem)
	}
}

// checkAnswer returns what is wrong with an answer with outcome ran, or "".
func checkAnswer(key string, spec requestSpec, answer client.Answer[api.RequestResult]) string {
	if answer.Outcome() != api.OutcomeRan {
		return ""
	}
	var body standin.MinionAnswer
	switch err := json.Unmarshal(answer.Value.Body, &body); {
	case err != nil:
		return "the body is not intact: " + err.Error()
	case answer.Value.Key != key:
		return "the answer names key " + answer.Value.Key
	case !bytes.Equal(body.Echo, spec.payload(key)):
		return "the body belongs to another request: " + string(body.Echo)
	}
	return ""
}

// violations returns the answers that contradict the number of executions by key.
func (r *outcomeRecord) violations(executions map[string]int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	violations := slices.Clone(r.invalid)
	for key, outcomes := range r.outcomes {
		executed := executions[key]
		reported := func(o api.Outcome) bool { return slices.Contains(outcomes, o) }
		onlyNotRun := !slices.ContainsFunc(outcomes, func(o api.Outcome) bool { return o != api.OutcomeNotRun })
		switch {
		case r.nonIdempotent[key] && executed > 1:
			violations = append(violations, fmt.Sprintf("%s: %d executions of a non-idempotent request, outcomes %v", key, executed, outcomes))
		case onlyNotRun && executed > 0:
			violations = append(violations, fmt.Sprintf("%s: %d executions, outcomes %v", key, executed, outcomes))
		case executed == 0 && (reported(api.OutcomeRan) || reported(api.OutcomeFailed)):
			violations = append(violations, fmt.Sprintf("%s: no execution, outcomes %v", key, outcomes))
		}
	}
	slices.Sort(violations)
	return violations
}

// submit sends a request to a daemon and records the answer.
func (tc *testCluster) submit(ctx context.Context, d *harness.Daemon, key string, spec requestSpec) client.Answer[api.RequestResult] {
	answer := tc.callers[d.ID()].SubmitRequest(ctx, spec.request(key))
	tc.outcomes.record(key, spec, answer)
	return answer
}

// submitAsync submits a request in the background.
func (tc *testCluster) submitAsync(ctx context.Context, d *harness.Daemon, key string, spec requestSpec) <-chan client.Answer[api.RequestResult] {
	answer := make(chan client.Answer[api.RequestResult], 1)
	go func() { answer <- tc.submit(ctx, d, key, spec) }()
	return answer
}

// executions returns the number of executions by key once the minions are idle, or
// after idleTimeout.
func (tc *testCluster) executions() (map[string]int, error) {
	deadline := time.Now().Add(idleTimeout)
	for {
		counters, err := tc.Standin.Minions()
		if err != nil {
			return nil, err
		}
		counts, busy := map[string]int{}, 0
		for _, m := range counters {
			busy += m.Running + m.Queued
			for key, n := range m.ByKey {
				counts[key] += n
			}
		}
		if busy == 0 || time.Now().After(deadline) {
			return counts, nil
		}
		time.Sleep(pollEvery)
	}
}

// violations returns the recorded answers that contradict the executions.
func (tc *testCluster) violations() ([]string, error) {
	executions, err := tc.executions()
	if err != nil {
		return nil, err
	}
	return tc.outcomes.violations(executions), nil
}
