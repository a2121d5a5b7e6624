package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/harness"
)

// observeEvery is the pause between two observations of one daemon.
const observeEvery = 25 * time.Millisecond

// observer reads the configuration of each daemon continuously. It reports a violation
// when a process reverts to an older revision, when two daemons have different contents
// for the same revision, and when a daemon does not enforce the revision that it reports.
type observer struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu              sync.Mutex
	highestRevision map[string]int64 // by incarnation
	contents        map[int64]string // by revision
	messages        []string         // of violations
	total           int              // observations
}

func newObserver(daemons []*harness.Daemon) *observer {
	ctx, cancel := context.WithCancel(context.Background())
	o := &observer{cancel: cancel, highestRevision: map[string]int64{}, contents: map[int64]string{}}
	for _, d := range daemons {
		o.done.Go(func() {
			for ctx.Err() == nil {
				o.observe(ctx, d)
				time.Sleep(observeEvery)
			}
		})
	}
	return o
}

func (o *observer) stop() {
	o.cancel()
	o.done.Wait()
}

func (o *observer) violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.messages
}

func (o *observer) observations() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}

func (o *observer) observe(ctx context.Context, d *harness.Daemon) {
	before, ok := statusOf(ctx, d)
	if !ok {
		return
	}
	var current api.Configuration
	if client.Do(ctx, readTimeout, http.MethodGet, d.OperatorsURL()+"/v1/catalogue", harness.OperatorToken, nil, &current) != http.StatusOK {
		return
	}
	currentStatus, previousStatus := o.probe(ctx, d, current)
	after, ok := statusOf(ctx, d)
	if !ok || before.Incarnation != after.Incarnation {
		return // the process was replaced in the meantime
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total++
	o.checkRevision(d, before.Incarnation, before.Revision)
	o.checkRevision(d, before.Incarnation, current.Head.Revision)
	o.checkRevision(d, before.Incarnation, after.Revision)
	o.checkContents(d, current)
	if before.Revision == after.Revision && before.Revision > 0 && (currentStatus != http.StatusOK || previousStatus != http.StatusUnauthorized) {
		o.report("%s at revision %d answers with status %d to the token of that revision and with %d to the one before", d.ID(), after.Revision, currentStatus, previousStatus)
	}
}

// probe calls the daemon with the token of the current configuration and with that of the
// change before it, and returns both statuses.
func (o *observer) probe(ctx context.Context, d *harness.Daemon, current api.Configuration) (currentStatus, previousStatus int) {
	if len(current.Catalogue.Organisations) == 0 {
		return http.StatusOK, http.StatusUnauthorized
	}
	id := changeID(current.Catalogue.Organisations[0].QuotaAccelerators)
	url := d.CallersURL() + "/v1/jobs"
	return client.Do(ctx, readTimeout, http.MethodGet, url, id.token(), nil, nil), client.Do(ctx, readTimeout, http.MethodGet, url, (id - 1).token(), nil, nil)
}

// checkRevision checks that the revision of a process does not decrease. The caller holds
// the lock.
func (o *observer) checkRevision(d *harness.Daemon, incarnation string, revision int64) {
	if revision < o.highestRevision[incarnation] {
		o.report("%s reverted from revision %d to %d", d.ID(), o.highestRevision[incarnation], revision)
	}
	o.highestRevision[incarnation] = max(o.highestRevision[incarnation], revision)
}

// checkContents checks that all daemons have the same contents for a revision. The caller
// holds the lock.
func (o *observer) checkContents(d *harness.Daemon, current api.Configuration) {
	data, err := json.Marshal(current)
	if err != nil {
		panic(err)
	}
	first, ok := o.contents[current.Head.Revision]
	if !ok {
		o.contents[current.Head.Revision] = string(data)
	} else if first != string(data) {
		o.report("%s has different contents for revision %d: %s, but a daemon had %s before", d.ID(), current.Head.Revision, data, first)
	}
}

// report records a violation. The caller holds the lock.
func (o *observer) report(format string, values ...any) {
	o.messages = append(o.messages, fmt.Sprintf(format, values...))
}
