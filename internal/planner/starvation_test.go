package planner_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/planner"
)

var _ = Describe("a large job in a stream of small ones", func() {
	// Guards against starvation by wrong declarations: a new small job arrives each
	// minute, declares a run time of one minute and runs for half an hour. More of
	// them wait than fit.
	DescribeTable("starts within 70 minutes", func(large, small api.Urgency) {
		const runTime, bound = 30 * time.Minute, 70 * time.Minute
		s := snapshot(zoneWorkers(2, 2), []api.Organisation{organisation("a"), organisation("b")},
			job("large", "a", 2, 8, urgency(large)))
		for minute := range int(bound / time.Minute) {
			s.Now = now.Add(time.Duration(minute) * time.Minute)
			j := job(fmt.Sprintf("small%03d", minute), "b", 1, 1, urgency(small), declared(time.Minute))
			if minute == 0 { // occupies part of a worker, so that the large job cannot start at once
				j = job("first", "b", 1, 1, urgency(small), running(false, 0, at(0, 0)))
			}
			j.SubmittedMs = s.Now.UnixMilli()
			s.Jobs = append(s.Jobs, j)
			s.Jobs = slices.DeleteFunc(s.Jobs, func(j api.Job) bool {
				return j.State == api.JobStateRunning && s.Now.Sub(time.UnixMilli(j.PlacedMs)) >= runTime
			})
			for _, x := range planner.Compute(s).Placements {
				if x.JobID == "large" {
					return
				}
				i := slices.IndexFunc(s.Jobs, func(j api.Job) bool { return j.ID == x.JobID })
				s.Jobs[i].State, s.Jobs[i].Placement, s.Jobs[i].PlacedMs = api.JobStateRunning, x.Tasks, s.Now.UnixMilli()
			}
		}
		Fail("the large job has not started")
	},
		Entry("among jobs of its own class", api.Batch, api.Batch),
		Entry("among jobs of a class that goes first", api.Batch, api.Standard))
})
