package requests_test

import (
	"fmt"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// parallelCases is the number of cases of one table that run side by side, each
// on a cluster of its own. The cases mostly wait, so that this saves most of
// their time.
const parallelCases = 5

// cases are the fault cases of a table. They start together when the first entry
// runs, and each entry waits for its own.
type cases struct {
	size  size
	once  sync.Once
	names []string
	run   map[string]func(r *rig)
	ended map[string]chan string // receives the failure, empty when there is none
}

func newCases(s size) *cases {
	return &cases{size: s, run: map[string]func(*rig){}, ended: map[string]chan string{}}
}

// entry adds a case and returns the entry of the table.
func (c *cases) entry(name string, run func(r *rig)) ginkgo.TableEntry {
	c.names = append(c.names, name)
	c.run[name], c.ended[name] = run, make(chan string, 1)
	return ginkgo.Entry(name, name)
}

// await is the body of the table.
func (c *cases) await(name string) {
	c.once.Do(func() { go c.runAll() })
	gomega.Expect(<-c.ended[name]).To(gomega.BeEmpty())
}

func (c *cases) runAll() {
	places := make(chan struct{}, parallelCases)
	for _, name := range c.names {
		places <- struct{}{}
		go func() {
			defer func() { <-places }()
			c.ended[name] <- c.runOne(name)
		}()
	}
}

// caseFailure is the panic of a failed expectation of a case.
type caseFailure string

func (c *cases) runOne(name string) (failure string) {
	r, err := startRig(c.size)
	if err != nil {
		return fmt.Sprintf("start the cluster: %+v", err)
	}
	r.Gomega = gomega.NewGomega(func(message string, _ ...int) { panic(caseFailure(message)) })
	defer func() {
		if recovered := recover(); recovered != nil {
			if _, expected := recovered.(caseFailure); !expected {
				panic(recovered)
			}
			failure = fmt.Sprintf("%v\n%s", recovered, r.Logs())
		}
		if err := r.close(); err != nil {
			failure += fmt.Sprintf("\nstop the cluster: %+v", err)
		}
	}()
	c.run[name](r)
	return ""
}
