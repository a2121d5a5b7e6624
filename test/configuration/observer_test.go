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

// observer reads the configuration of each daemon all the time. It notes when a
// process steps back, when two daemons hold different contents under one
// revision, and when a daemon enforces something else than its revision says.
type observer struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	highest  map[string]int64 // by incarnation
	contents map[int64]string // by revision
	found    []string
	count    int
}

func newObserver(daemons []*harness.Daemon) *observer {
	ctx, cancel := context.WithCancel(context.Background())
	o := &observer{cancel: cancel, highest: map[string]int64{}, contents: map[int64]string{}}
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
	return o.found
}

func (o *observer) observations() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

func (o *observer) observe(ctx context.Context, d *harness.Daemon) {
	before, ok := statusOf(ctx, d)
	if !ok {
		return
	}
	var current api.Configuration
	if client.Do(ctx, readWait, http.MethodGet, d.OperatorsURL()+"/v1/catalogue", harness.OperatorToken, nil, &current) != http.StatusOK {
		return
	}
	accepted, refused := o.probe(ctx, d, current)
	after, ok := statusOf(ctx, d)
	if !ok || before.Incarnation != after.Incarnation {
		return // replaced by another process in between
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count++
	o.step(d, before.Incarnation, before.Revision)
	o.step(d, before.Incarnation, current.Head.Revision)
	o.step(d, before.Incarnation, after.Revision)
	o.compare(d, current)
	if before.Revision == after.Revision && before.Revision > 0 && (accepted != http.StatusOK || refused != http.StatusUnauthorized) {
		o.note("%s at revision %d answers %d to the token of its revision and %d to an older one", d.ID(), after.Revision, accepted, refused)
	}
}

// probe uses the token that the configuration names and one of an earlier change.
func (o *observer) probe(ctx context.Context, d *harness.Daemon, current api.Configuration) (accepted, refused int) {
	if len(current.Catalogue.Organisations) == 0 {
		return http.StatusOK, http.StatusUnauthorized
	}
	now := mark(current.Catalogue.Organisations[0].QuotaAccelerators)
	url := d.CallersURL() + "/v1/jobs"
	return client.Do(ctx, readWait, http.MethodGet, url, now.token(), nil, nil), client.Do(ctx, readWait, http.MethodGet, url, (now - 1).token(), nil, nil)
}

// step needs the lock.
func (o *observer) step(d *harness.Daemon, incarnation string, revision int64) {
	if revision < o.highest[incarnation] {
		o.note("%s stepped back from revision %d to %d", d.ID(), o.highest[incarnation], revision)
	}
	o.highest[incarnation] = max(o.highest[incarnation], revision)
}

// compare needs the lock.
func (o *observer) compare(d *harness.Daemon, current api.Configuration) {
	data, err := json.Marshal(current)
	if err != nil {
		panic(err)
	}
	known, seen := o.contents[current.Head.Revision]
	if !seen {
		o.contents[current.Head.Revision] = string(data)
	} else if known != string(data) {
		o.note("%s holds other contents of revision %d: %s, not %s", d.ID(), current.Head.Revision, data, known)
	}
}

// note needs the lock.
func (o *observer) note(format string, values ...any) {
	o.found = append(o.found, fmt.Sprintf(format, values...))
}
