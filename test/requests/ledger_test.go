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
	// idleWait bounds the wait until no minion runs a request.
	idleWait = 5 * time.Second
	// defaultDeadline is the deadline of a request.
	defaultDeadline = 2 * time.Second
)

// call describes a request beside its key.
type call struct {
	entry         string        // empty takes standardEntry
	takes         time.Duration // service time on the minion
	deadline      time.Duration // 0 takes defaultDeadline
	nonIdempotent bool
	filler        int    // bytes added to the body and to its answer
	variant       string // changes the body
}

var keys atomic.Int64

// newKey returns a key that no other request of the suite has.
func newKey(kind string) string { return fmt.Sprintf("%s-%d", kind, keys.Add(1)) }

// payload is the part of the body that the minion sends back. It names the key,
// so that an answer to another request is recognised.
func (c call) payload(key string) []byte {
	text, _ := json.Marshal(map[string]string{
		"of": key, "variant": c.variant, "filler": string(bytes.Repeat([]byte("x"), c.filler)),
	})
	return text
}

func (c call) request(key string) api.RequestSubmit {
	body, _ := json.Marshal(map[string]any{"sleep_ms": c.takes.Milliseconds(), "key": key, "echo": json.RawMessage(c.payload(key))})
	submit := api.RequestSubmit{Entry: c.entry, Key: key, Body: body, NonIdempotent: c.nonIdempotent, DeadlineMs: c.deadline.Milliseconds()}
	if submit.Entry == "" {
		submit.Entry = standardEntry
	}
	if submit.DeadlineMs == 0 {
		submit.DeadlineMs = defaultDeadline.Milliseconds()
	}
	return submit
}

// ledger holds what callers were told.
type ledger struct {
	mu       sync.Mutex
	outcomes map[string][]api.Outcome // of the attempts of a key
	single   map[string]bool          // keys of non-idempotent requests
	wrong    []string                 // answers that are not whole or belong to another request
}

func newLedger() *ledger {
	return &ledger{outcomes: map[string][]api.Outcome{}, single: map[string]bool{}}
}

func (l *ledger) record(key string, c call, answer client.Answer[api.RequestResult]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[key] = append(l.outcomes[key], answer.Outcome())
	l.single[key] = l.single[key] || c.nonIdempotent
	if problem := checkAnswer(key, c, answer); problem != "" {
		l.wrong = append(l.wrong, key+": "+problem)
	}
}

// checkAnswer tells what is wrong with an answer that says ran.
func checkAnswer(key string, c call, answer client.Answer[api.RequestResult]) string {
	if answer.Outcome() != api.OutcomeRan {
		return ""
	}
	var body standin.MinionAnswer
	switch err := json.Unmarshal(answer.Value.Body, &body); {
	case err != nil:
		return "the body is not whole: " + err.Error()
	case answer.Value.Key != key:
		return "the answer names key " + answer.Value.Key
	case !bytes.Equal(body.Echo, c.payload(key)):
		return "the body belongs to another request: " + string(body.Echo)
	}
	return ""
}

// violations compares what callers were told with the executions.
func (l *ledger) violations(executions map[string]int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := slices.Clone(l.wrong)
	for key, outcomes := range l.outcomes {
		ran := executions[key]
		told := func(o api.Outcome) bool { return slices.Contains(outcomes, o) }
		onlyNotRun := !slices.ContainsFunc(outcomes, func(o api.Outcome) bool { return o != api.OutcomeNotRun })
		switch {
		case l.single[key] && ran > 1:
			found = append(found, fmt.Sprintf("%s: %d executions of a non-idempotent request, told %v", key, ran, outcomes))
		case onlyNotRun && ran > 0:
			found = append(found, fmt.Sprintf("%s: %d executions, told %v", key, ran, outcomes))
		case ran == 0 && (told(api.OutcomeRan) || told(api.OutcomeFailed)):
			found = append(found, fmt.Sprintf("%s: no execution, told %v", key, outcomes))
		}
	}
	slices.Sort(found)
	return found
}

// submit sends a request to a daemon and records the answer.
func (r *rig) submit(ctx context.Context, d *harness.Daemon, key string, c call) client.Answer[api.RequestResult] {
	answer := r.callers[d.ID()].SubmitRequest(ctx, c.request(key))
	r.ledger.record(key, c, answer)
	return answer
}

// start submits in the background.
func (r *rig) start(ctx context.Context, d *harness.Daemon, key string, c call) <-chan client.Answer[api.RequestResult] {
	answer := make(chan client.Answer[api.RequestResult], 1)
	go func() { answer <- r.submit(ctx, d, key, c) }()
	return answer
}

// executions counts the executions by key once the minions are idle.
func (r *rig) executions() (map[string]int, error) {
	limit := time.Now().Add(idleWait)
	for {
		counters, err := r.Standin.Minions()
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
		if busy == 0 || time.Now().After(limit) {
			return counts, nil
		}
		time.Sleep(pollEvery)
	}
}

// violations compares all answers so far with the executions.
func (r *rig) violations() ([]string, error) {
	executions, err := r.executions()
	if err != nil {
		return nil, err
	}
	return r.ledger.violations(executions), nil
}
