package requests_test

import (
	"fmt"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// parallelCases is the number of cases of one table that run in parallel, each on
// a cluster of its own. The cases mostly wait, so this saves most of their time.
const parallelCases = 5

// caseTable holds the fault cases of a table. All cases start when the first entry
// runs, and each entry waits for its case.
type caseTable struct {
	config    clusterConfig
	once      sync.Once
	names     []string
	functions map[string]func(tc *testCluster)
	failures  map[string]chan string // receives the failure of the case, empty if it passed
}

func newCaseTable(config clusterConfig) *caseTable {
	return &caseTable{config: config, functions: map[string]func(*testCluster){}, failures: map[string]chan string{}}
}

// entry adds a case and returns its table entry.
func (c *caseTable) entry(name string, run func(tc *testCluster)) ginkgo.TableEntry {
	c.names = append(c.names, name)
	c.functions[name], c.failures[name] = run, make(chan string, 1)
	return ginkgo.Entry(name, name)
}

// await is the body of the table: it expects the case to pass.
func (c *caseTable) await(name string) {
	c.once.Do(func() { go c.runAll() })
	gomega.Expect(<-c.failures[name]).To(gomega.BeEmpty())
}

func (c *caseTable) runAll() {
	slots := make(chan struct{}, parallelCases)
	for _, name := range c.names {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			c.failures[name] <- c.runCase(name)
		}()
	}
}

// caseFailure is the value with which a failed expectation of a case panics.
type caseFailure string

func (c *caseTable) runCase(name string) (failure string) {
	tc, err := startCluster(c.config)
	if err != nil {
		return fmt.Sprintf("start the cluster: %+v", err)
	}
	tc.Gomega = gomega.NewGomega(func(message string, _ ...int) { panic(caseFailure(message)) })
	defer func() {
		if recovered := recover(); recovered != nil {
			if _, expected := recovered.(caseFailure); !expected {
				panic(recovered)
			}
			failure = fmt.Sprintf("%v\n%s", recovered, tc.Logs())
		}
		if err := tc.close(); err != nil {
			failure += fmt.Sprintf("\nstop the cluster: %+v", err)
		}
	}()
	c.functions[name](tc)
	return ""
}
