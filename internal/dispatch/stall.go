package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/table"
)

const (
	// defaultStallLimit is several times the longest plan of a large fleet on a small
	// machine.
	defaultStallLimit = 4 * time.Second
	// maxStalls is the number of stalled terms after which a job gets no new runs. The
	// first one may have another cause than the job that was being placed.
	maxStalls = 2
	// stallChecks is the number of checks for progress in each stall limit.
	stallChecks = 8
	// recordTimeout bounds the record of a stall.
	recordTimeout = 5 * time.Second
)

// Progressing reports whether the running term, if there is one, makes progress. Its
// lease must not be renewed otherwise: nobody else would take over.
func (d *Dispatcher) Progressing() bool {
	t := d.current.Load()
	return t == nil || !t.stalled()
}

// stalled reports whether a step of the event loop takes longer than the stall limit.
func (t *term) stalled() bool {
	return time.Since(t.startedAt)-time.Duration(t.stepAt.Load()) > t.cfg.StallLimit
}

// watchProgress records the job on which the term stalls, until the term ends.
func (t *term) watchProgress(epoch int64) {
	ticker := time.NewTicker(t.cfg.StallLimit / stallChecks)
	defer ticker.Stop()
	for {
		select {
		case <-t.done:
			return
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
		if !t.stalled() {
			continue
		}
		job := ""
		if planning := t.planning.Load(); planning != nil {
			job = *planning
		}
		t.scope.Counter("terms_stalled").Inc(1)
		t.log.Error("Term makes no progress; its lease is not renewed.", zap.Int64("epoch", epoch), zap.String("job", job), zap.Duration("limit", t.cfg.StallLimit))
		if job != "" {
			t.recordStall(job)
		}
		return
	}
}

// recordStall counts a stall for a job in the store, so that later terms know of it.
func (t *term) recordStall(job string) {
	defer telemetry.LogPanic(t.log, "record of a stall", zap.String("job", job))
	ctx, cancel := context.WithTimeout(t.ctx, recordTimeout)
	defer cancel()
	for {
		err := t.addStall(ctx, job)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.log.Warn("Failed to record the job on which the term has stalled.", zap.String("job", job), telemetry.ErrorField(err))
			return
		case <-time.After(commitRetryDelay):
		}
	}
}

func (t *term) addStall(ctx context.Context, job string) error {
	row, _, err := t.cfg.Store.Get(ctx, StallsPrefix+job)
	if err != nil {
		return eris.Wrap(err, "read the stalls of a job")
	}
	value, err := cbor.Marshal(api.BatchStall{Stalls: decodeStalls(row) + 1})
	if err != nil {
		return eris.Wrap(err, "encode the stalls of a job")
	}
	result := t.cfg.Store.Commit(ctx, []table.Condition{{Key: StallsPrefix + job, Version: row.Version}}, []table.Write{{Key: StallsPrefix + job, Value: value}})
	if result.Status != table.Committed {
		return eris.Errorf("the stalls of a job were not stored: %v", result.Err)
	}
	return nil
}

// loadStalls reads on which jobs terms have stalled, and how often.
func (t *term) loadStalls() (map[string]int, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.cfg.Follower.Wait+t.cfg.Follower.Grace)
	defer cancel()
	listing, err := t.cfg.Store.List(ctx, StallsPrefix, 0)
	if err != nil {
		return nil, err
	}
	stalls := map[string]int{}
	for _, row := range listing.Rows {
		stalls[strings.TrimPrefix(row.Key, StallsPrefix)] = decodeStalls(row)
	}
	return stalls, nil
}

// decodeStalls returns the number in a row, or 0 if the row is missing or invalid.
func decodeStalls(row table.Row) int {
	var stall api.BatchStall
	if len(row.Value) == 0 || cbor.Unmarshal(row.Value, &stall) != nil {
		return 0
	}
	return stall.Stalls
}
