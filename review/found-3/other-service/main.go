// Command other-service shows a job that waits beside idle minions because another service is busy.
package main

import (
	"context"
	"fmt"
	"time"

	"github.com/samphirepath/samphirepath/review/kit-3"
)

const (
	daemons = 4
	racks   = 4 // of each service, each with rackSize minions
	// rackSize minions of a rack are 25 % of a service.
	rackSize = 3
	// burst is how many jobs of the other service come with TROUBLE, 2.4 times as many as usual.
	burst = 12
	calm  = 5
	// finish is finish_s, and span the time for which a job must have nothing running.
	finish = 14 * time.Second
	span   = 3 * time.Second
)

// job returns a job of tasks that each take a whole minion.
func job(tasks, ms int, dataRack string) string {
	return fmt.Sprintf(`{"spec":"{\"ms\":%[2]d}","steps":[{"count":%[1]d,"cpu":52000,"mem_mb":100000,"gpu":8,"estimate_ms":%[2]d,"data_rack":"%[3]s"}]}`, tasks, ms, dataRack)
}

func play(ctx context.Context, d *kit.Deployment) (broken bool, err error) {
	for _, service := range []string{kit.Service, kit.OtherService} {
		for i := range racks * rackSize {
			rack := i / rackSize
			if err := d.AddMinion(kit.Place{Service: service, Kind: "a", Zone: kit.Zones[rack], Rack: fmt.Sprintf("%s-%d", service, rack)}); err != nil {
				return false, err
			}
		}
	}
	if err := d.Start(daemons); err != nil {
		return false, err
	}
	kit.Sleep(ctx, 3*time.Second)
	const dataRack = kit.Service + "-0"
	if err := d.Submit(ctx, kit.Batch+"00000000000000b0", job(rackSize, 45_000, dataRack)); err != nil {
		return false, err
	}
	jobs := calm
	if d.Trouble {
		d.Printf("many users of the other service come at once")
		jobs = burst
	}
	for i := range jobs {
		if err := d.Submit(ctx, fmt.Sprintf("%s%016x", kit.Other, 0xc0+i), job(1, 45_000, "")); err != nil {
			return false, err
		}
	}
	kit.Sleep(ctx, time.Second)
	waiting := kit.Batch + "00000000000000b1"
	if err := d.Submit(ctx, waiting, job(1, 11_000, dataRack)); err != nil {
		return false, err
	}
	d.Printf("end of the traffic")
	kit.Sleep(ctx, finish)
	own := d.Minions[:racks*rackSize]
	idle := true
	for end := time.Now().Add(span); idle && time.Now().Before(end); kit.Sleep(ctx, 50*time.Millisecond) {
		idle = busy(own) <= rackSize
	}
	state := d.State(ctx, waiting)
	d.Printf("%d of %d minions of %s are busy; %s is %q", busy(own), len(own), kit.Service, waiting, state)
	return idle && state != "completed", ctx.Err()
}

// busy returns how many minions run something.
func busy(minions []*kit.Minion) (n int) {
	for _, m := range minions {
		if len(m.Running()) > 0 {
			n++
		}
	}
	return n
}

func main() { kit.Run(play) }
