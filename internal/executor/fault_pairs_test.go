package executor_test

import (
	"fmt"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
)

// faults maps names to functions that inject a fault while jobs run. Each returns a
// function that ends the fault. The daemon a is the planner.
var faults = map[string]func(c *cluster, a *daemon) (end func()){
	"planner killed": func(c *cluster, a *daemon) func() {
		a.kill()
		vm := a.vm
		time.AfterFunc(time.Second, func() { c.removedVM.Store(&vm) })
		return func() {}
	},
	"planner frozen": func(_ *cluster, a *daemon) func() { return a.store.freeze() },
	"worker lost": func(c *cluster, _ *daemon) func() {
		c.workers.update(func() { c.workers.unreachable["w0"] = true })
		return func() { c.workers.update(func() { c.workers.unreachable["w0"] = false }) }
	},
	"store down": func(c *cluster, _ *daemon) func() {
		c.store.update(func() { c.store.down = true })
		return func() { c.store.update(func() { c.store.down = false }) }
	},
	"answers lost": func(c *cluster, _ *daemon) func() {
		c.store.update(func() { c.store.loseAnswer = func(n int) bool { return n%2 == 0 } })
		return func() { c.store.update(func() { c.store.loseAnswer = nil }) }
	},
	"zone out": func(c *cluster, _ *daemon) func() {
		c.view.setState(api.Out)
		return func() { c.view.setState(api.In) }
	},
}

// faultPairs returns a table entry for each pair of different faults.
func faultPairs() []TableEntry {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	sort.Strings(names)
	var out []TableEntry
	for i, first := range names {
		for _, second := range names[i+1:] {
			if first == "planner frozen" && second == "planner killed" || first == "planner killed" && second == "planner frozen" {
				continue // both hit the same process
			}
			out = append(out, Entry(first+" and "+second, first, second))
		}
	}
	return out
}

// attemptsOverlap reports whether tasks of two attempts of a job ran at the same time.
func attemptsOverlap(tasks []simTask) bool {
	for _, x := range tasks {
		for _, y := range tasks {
			endX, endY := x.endedAt, y.endedAt
			if x.State != api.TaskStateEnded {
				endX = time.Now()
			}
			if y.State != api.TaskStateEnded {
				endY = time.Now()
			}
			if attemptOf(x) < attemptOf(y) && y.startedAt.Before(endX) && x.startedAt.Before(endY) {
				return true
			}
		}
	}
	return false
}

func attemptOf(t simTask) (attempt int) {
	_, err := fmt.Sscanf(t.TaskID[len(t.job):], ".%d.", &attempt)
	Expect(err).NotTo(HaveOccurred())
	return attempt
}

// Guards against two overlapping faults that lose a job, run two of its attempts at
// the same time, or leave tasks behind.
var _ = DescribeTable("pairs of faults", func(first, second string) {
	const jobCount = 6
	c := newCluster(6, "a", "b")
	c.workers.runTime = 700 * time.Millisecond
	a := c.start("a")
	b := c.start("b")
	for i := range jobCount {
		c.addJob(fmt.Sprintf("j%d", i), 1+i%3)
	}
	Eventually(func() int { return countIn(b, api.JobStateRunning) }).Should(BeNumerically(">", 1))
	endFirst := faults[first](c, a)
	time.Sleep(100 * time.Millisecond)
	endSecond := faults[second](c, a)
	time.Sleep(taskLease)
	endFirst()
	endSecond()
	Eventually(func() int { return countIn(b, api.JobStateSucceeded) }, 20*time.Second).Should(Equal(jobCount))
	for i := range jobCount {
		id := fmt.Sprintf("j%d", i)
		Expect(attemptsOverlap(c.workers.tasksOf(id))).To(BeFalse(), id)
		Expect(c.countTasks(id, running, api.TaskStateHeld)).To(BeZero())
	}
}, faultPairs())
