// Command 14 shows workers that get no tasks for up to two minutes after a short cut.
package main

import (
	"context"
	"fmt"
	"time"

	"github.com/samphirepath/samphirepath/review/kit-3"
)

const (
	daemons  = 4
	ordinary = 20 // minions of kind a
	special  = 4  // minions of kind b, 17 % of all
	// slowFactor and slowTime are those of platform_slow in the site file.
	slowFactor = 60
	slowTime   = 4500 * time.Millisecond
	// cutTime is within the 5.5 s of node_cut in the site file, and within the three heartbeats
	// after which the entry of a minion that cannot reach the store would be removed.
	cutTime = 4 * time.Second
	// finish is finish_s, and span the time for which a job must have nothing running.
	finish = 14 * time.Second
	span   = 3 * time.Second
)

func job(tasks int) string {
	return fmt.Sprintf(`{"spec":"{\"ms\":1000}","steps":[{"count":%d,"cpu":26000,"mem_mb":38000,"gpu":8,"estimate_ms":1000,"requires":"b"}]}`, tasks)
}

func play(ctx context.Context, d *kit.Deployment) (broken bool, err error) {
	if err := d.AddMinions(ordinary, "a"); err != nil {
		return false, err
	}
	if err := d.AddMinions(special, "b"); err != nil {
		return false, err
	}
	if err := d.Start(daemons); err != nil {
		return false, err
	}
	kit.Sleep(ctx, 4*time.Second)
	minions := d.Minions[ordinary:]
	if d.Trouble {
		d.Printf("the store is slow, and the %d minions of kind b are cut off", special)
		d.Store.Slow(slowFactor)
		time.AfterFunc(slowTime, func() {
			d.Store.Slow(1)
			d.Printf("the store is no longer slow")
		})
		for _, m := range minions {
			m.Link.Cut()
			time.AfterFunc(cutTime, func() { m.Link.Restore() })
		}
		time.AfterFunc(cutTime, func() { d.Printf("the minions are reachable again") })
	}
	first, second := kit.Batch+"00000000000000a1", kit.Batch+"00000000000000a2"
	if err := d.Submit(ctx, first, job(special)); err != nil {
		return false, err
	}
	kit.Sleep(ctx, 9*time.Second)
	if err := d.Submit(ctx, second, job(1)); err != nil {
		return false, err
	}
	kit.Sleep(ctx, time.Second)
	d.Printf("end of the traffic")
	kit.Sleep(ctx, finish)
	for _, path := range []string{first, second} {
		state := d.State(ctx, path)
		if state == "" {
			return true, nil
		}
		if state != "completed" && idle(ctx, d, minions) {
			d.Printf("%s is %s, and the minions that it needs have been idle for %s", path, state, span)
			broken = true
		}
	}
	for _, m := range minions {
		d.Printf("minion %s: %d calls, %d runs", m.ID, m.Calls(), len(m.Records()))
	}
	return broken, ctx.Err()
}

// idle reports whether no minion runs anything for a span.
func idle(ctx context.Context, d *kit.Deployment, minions []*kit.Minion) bool {
	for end := time.Now().Add(span); time.Now().Before(end); kit.Sleep(ctx, 50*time.Millisecond) {
		for _, m := range minions {
			if running := m.Running(); len(running) > 0 {
				d.Printf("minion %s runs %v", m.ID, running)
				return false
			}
		}
	}
	return true
}

func main() { kit.Run(play) }
