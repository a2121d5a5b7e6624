package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

const (
	// callTimeout bounds the wait of a caller for an answer.
	callTimeout = 3 * time.Second
	// meanJobInterval is the mean pause between two jobs of a caller.
	meanJobInterval = 400 * time.Millisecond
	// retryDelay is the pause before a caller submits a job again.
	retryDelay = 200 * time.Millisecond
	// submitTimeout bounds the time in which a caller retries the submission of a job.
	submitTimeout = 10 * time.Second

	cancelShare  = 0.1  // share of the accepted jobs that are cancelled
	failShare    = 0.05 // share of the jobs whose tasks always fail
	crashShare   = 0.1  // share of the jobs that crash workers, while such jobs come
	edgeShare    = 0.15 // share of the jobs that have edge sizes, while such jobs come
	outageShare  = 0.8  // share of the jobs whose tasks end during an outage that is about to begin
	longShare    = 0.25 // share of the jobs whose tasks run for seconds, in scenarios with such jobs
	repeatShare  = 0.1  // share of the accepted jobs that are submitted once more
	abandonShare = 0.5  // share of the refused submissions that are not retried
)

// job is a generated job with the answers that its caller received.
type job struct {
	id         string
	pathPrefix string
	body       []byte
	tasks      []string
	fails      bool
	crashes    bool // its first task crashes the workers that start it
	gang       bool // its tasks are one gang

	mu         sync.Mutex
	acceptedAt time.Time // zero until a submission was accepted
	unresolved bool      // a submission had no answer, so the job may run
	refused    bool      // a submission was refused
	cancelled  bool      // a cancellation was sent
	// cancelledAt is when a cancellation was acknowledged first, or zero.
	cancelledAt time.Time
	answers     []answer // the first answer with each state
	lastState   string   // state in the last answer
}

// callers holds the jobs that the simulated callers submit to all daemons, and counts the
// answers.
type callers struct {
	cluster *cluster

	mu        sync.Mutex
	jobs      []*job
	perSecond []secondCounts
	start     time.Time
}

// secondCounts counts the submissions of one second by their outcome.
type secondCounts struct{ accepted, refused, unanswered int }

func (c *callers) count(f func(*secondCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := int(time.Since(c.start) / time.Second)
	for len(c.perSecond) <= n {
		c.perSecond = append(c.perSecond, secondCounts{})
	}
	f(&c.perSecond[n])
}

func (c *callers) allJobs() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*job(nil), c.jobs...)
}

// run submits jobs as one caller until ctx ends. The caller keeps its connections open and
// uses the same daemon as long as it accepts the caller's jobs.
func (c *callers) run(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	daemonIndex := random.IntN(len(c.cluster.daemons))
	for ctx.Err() == nil {
		var j *job
		switch {
		case c.cluster.outageJobs.Load() > 0 && random.Float64() < outageShare:
			j = newStepJob(random, outageSteps)
		case c.cluster.edgeJobs.Load() > 0 && random.Float64() < edgeShare:
			j = newStepJob(random, edgeSteps)
		case c.cluster.longJobs && random.Float64() < longShare:
			j = newStepJob(random, longSteps)
		default:
			j = newJob(random, c.cluster.crashingJobs.Load() > 0 && random.Float64() < crashShare)
		}
		c.mu.Lock()
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		daemonIndex = c.submit(ctx, client, random, j, daemonIndex)
		if !j.acceptedAt.IsZero() && random.Float64() < repeatShare {
			c.call(ctx, client, http.MethodPost, j, daemonIndex)
		}
		if !j.acceptedAt.IsZero() && random.Float64() < cancelShare {
			c.cancel(ctx, client, j, daemonIndex)
		}
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanJobInterval)))
	}
}

// cancel sends a cancellation of a job.
func (c *callers) cancel(ctx context.Context, client *http.Client, j *job, daemonIndex int) {
	j.mu.Lock()
	j.cancelled = true
	j.mu.Unlock()
	status, _ := c.call(ctx, client, http.MethodDelete, j, daemonIndex)
	j.mu.Lock()
	defer j.mu.Unlock()
	if status >= 200 && status < 300 && j.cancelledAt.IsZero() {
		j.cancelledAt = time.Now()
	}
}

// submit submits a job until it is accepted or abandoned, and uses a random daemon for each
// retry. It returns the index of the daemon to use next.
func (c *callers) submit(ctx context.Context, client *http.Client, random *rand.Rand, j *job, daemonIndex int) int {
	for end := time.Now().Add(submitTimeout); ctx.Err() == nil && time.Now().Before(end); {
		status, _ := c.call(ctx, client, http.MethodPost, j, daemonIndex)
		if ctx.Err() != nil {
			j.mu.Lock()
			j.unresolved = true
			j.mu.Unlock()
			return daemonIndex
		}
		switch status {
		case http.StatusOK, http.StatusCreated, http.StatusAccepted:
			c.count(func(s *secondCounts) { s.accepted++ })
			j.mu.Lock()
			j.acceptedAt = time.Now()
			j.mu.Unlock()
			return daemonIndex
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			c.count(func(s *secondCounts) { s.refused++ })
			j.mu.Lock()
			j.refused = true
			unresolved := j.unresolved
			j.mu.Unlock()
			if !unresolved && random.Float64() < abandonShare {
				return daemonIndex
			}
		case statusNotSent: // no process listens, so nothing was submitted
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			c.count(func(s *secondCounts) { s.unanswered++ })
			j.mu.Lock()
			j.unresolved = true
			j.mu.Unlock()
		default:
			c.cluster.reportViolation("job %s was answered with the unexpected status %d", j.id, status)
		}
		daemonIndex = random.IntN(len(c.cluster.daemons))
		sleep(ctx, retryDelay)
	}
	return daemonIndex
}

// statusNotSent is the status of a call that was not sent, because the connection was
// refused.
const statusNotSent = -1

// call makes one call for a job and returns the status and the body of the answer. The
// status is 0 without an answer.
func (c *callers) call(ctx context.Context, client *http.Client, method string, j *job, daemonIndex int) (int, []byte) {
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(j.body)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.cluster.daemon(daemonIndex).frontURL()+j.pathPrefix+j.id, body)
	if err != nil {
		panic(err) // cannot happen: the URL is well-formed
	}
	r.Host = host
	r.Header.Set("Authorization", "Token "+token)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Samphirepath-Request-Deadline", strconv.FormatInt(client.Timeout.Milliseconds(), 10))
	r.GetBody = nil // so that the client does not resend a job on its own
	response, err := client.Do(r)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return statusNotSent, nil
		}
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// queryState asks a daemon for the state of a job. It returns the state, empty without one,
// and the status of the answer.
func (c *callers) queryState(ctx context.Context, client *http.Client, j *job, daemonIndex int) (string, int) {
	status, data := c.call(ctx, client, http.MethodGet, j, daemonIndex)
	var got struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(data, &got) != nil {
		c.cluster.reportViolation("the state of job %s cannot be decoded: %.100s", j.id, data)
	}
	return got.State, status
}

type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"mem_mb"`
	GPU        int   `json:"gpu,omitempty"`
	EstimateMs int   `json:"estimate_ms"`
	After      []int `json:"after,omitempty"`
	Gang       bool  `json:"gang,omitempty"`
	SameRack   bool  `json:"same_rack,omitempty"`
	BestEffort bool  `json:"fills,omitempty"`
	Checkpoint bool  `json:"checkpoint,omitempty"`
}

// edgeSteps are steps without any charged need, with a tiny one, and with more tasks than a
// row of progress or an answer of a worker holds.
var edgeSteps = []step{
	{Count: 3, CPU: 500, EstimateMs: 300, Gang: true, SameRack: true, BestEffort: true},
	{Count: 2, EstimateMs: 300, Gang: true},
	{Count: 5, CPU: 1, EstimateMs: 300, Gang: true, SameRack: true},
	{Count: 700, CPU: 20, EstimateMs: 300, Checkpoint: true},
	{Count: 130, CPU: 20, EstimateMs: 300, Checkpoint: true},
}

// longSteps have tasks that outlive the time after which runs on workers that a dispatcher
// does not reach are given up, and need little of the capacity.
var longSteps = []step{
	{Count: 3, CPU: 200, EstimateMs: 9000},
	{Count: 3, CPU: 200, EstimateMs: 15_000},
	{Count: 3, CPU: 200, EstimateMs: int(longestTask / time.Millisecond)},
}

// newStepJob returns a job with one of the given steps.
func newStepJob(random *rand.Rand, choices []step) *job {
	j := &job{id: fmt.Sprintf("%016x", random.Uint64()), pathPrefix: queues[random.IntN(len(queues))].pathPrefix}
	s := choices[random.IntN(len(choices))]
	for i := range s.Count {
		j.tasks = append(j.tasks, fmt.Sprintf("%s.0.0.%d", j.id, i))
	}
	spec := map[string]any{"ms": s.EstimateMs}
	if j.gang = s.Gang; j.gang {
		spec["gang"] = s.Count
	}
	j.encode(spec, []step{s})
	return j
}

// encode sets the body of a job.
func (j *job) encode(spec map[string]any, steps []step) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // cannot happen: the map holds only numbers, strings and a struct of numbers
	}
	if j.body, err = json.Marshal(map[string]any{"spec": string(text), "steps": steps}); err != nil {
		panic(err) // cannot happen: the value consists of maps, slices and structs of numbers and strings
	}
}

// newJob returns a random job. The tasks of failShare of the jobs always fail.
func newJob(random *rand.Rand, crashes bool) *job {
	j := &job{crashes: crashes, id: fmt.Sprintf("%016x", random.Uint64()), pathPrefix: queues[random.IntN(len(queues))].pathPrefix, fails: random.Float64() < failShare}
	ms := 50 + random.IntN(1500)
	spec := map[string]any{"ms": ms}
	if j.fails {
		spec["ends"] = "failed"
	}
	if crashes {
		spec["crash_ms"], spec["crash_index"] = ms/10, 0
	}
	var steps []step
	for n := range 1 + random.IntN(2) {
		s := step{Count: 1 + random.IntN(4), CPU: 500 + random.IntN(4000), MemMB: 256, GPU: random.IntN(3), EstimateMs: ms}
		if n > 0 {
			s.After = []int{n - 1}
		}
		steps = append(steps, s)
		for i := range s.Count {
			j.tasks = append(j.tasks, fmt.Sprintf("%s.0.%d.%d", j.id, n, i))
		}
	}
	// The workers count what the tasks of the first step take of their capacity.
	spec["need"] = standinfleet.Capacity{MilliCPU: int64(steps[0].CPU), MemoryMB: int64(steps[0].MemMB), Accelerators: int64(steps[0].GPU)}
	if len(steps) > 1 {
		delete(spec, "need")
	}
	j.encode(spec, steps)
	return j
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
