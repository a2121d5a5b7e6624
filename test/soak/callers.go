package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 3 * time.Second
	// betweenJobs is the mean time between two jobs of a caller.
	betweenJobs = 400 * time.Millisecond
	// retryPause is how long a caller waits before it hands a job in again.
	retryPause = 200 * time.Millisecond
	// patience is how long a caller keeps handing in the same job.
	patience = 10 * time.Second

	cancelShare = 0.1  // of the accepted jobs
	failShare   = 0.05 // of the jobs have tasks that always fail
	repeatShare = 0.1  // of the accepted jobs are handed in once more
	giveUpShare = 0.5  // of the refused jobs are not handed in again
)

// job is a job as its caller sees it.
type job struct {
	id     string
	prefix string
	body   []byte
	tasks  []string
	fails  bool

	mu        sync.Mutex
	accepted  time.Time // of the first acknowledgement
	open      bool      // an attempt was not answered: the job may run
	refused   bool      // some attempt was refused
	cancelled bool      // a cancellation was sent
	last      string    // state that was answered last
}

// callers hand in jobs at all daemons and follow them.
type callers struct {
	world *world

	mu      sync.Mutex
	jobs    []*job
	service []second
	began   time.Time
}

// second counts the submissions of one second by their outcome.
type second struct{ accepted, refused, unanswered int }

func (c *callers) count(f func(*second)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := int(time.Since(c.began) / time.Second)
	for len(c.service) <= n {
		c.service = append(c.service, second{})
	}
	f(&c.service[n])
}

func (c *callers) list() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*job(nil), c.jobs...)
}

// run hands in jobs until ctx ends. It keeps its connections open and stays with a
// daemon as long as it answers.
func (c *callers) run(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	at := random.IntN(len(c.world.daemons))
	for ctx.Err() == nil {
		j := newJob(random)
		c.mu.Lock()
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		at = c.submit(ctx, client, random, j, at)
		if !j.accepted.IsZero() && random.Float64() < repeatShare {
			c.call(ctx, client, http.MethodPost, j, at)
		}
		if !j.accepted.IsZero() && random.Float64() < cancelShare {
			j.mu.Lock()
			j.cancelled = true
			j.mu.Unlock()
			c.call(ctx, client, http.MethodDelete, j, at)
		}
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(betweenJobs)))
	}
}

// submit hands in a job until it is accepted or given up. It returns the daemon
// that answered last.
func (c *callers) submit(ctx context.Context, client *http.Client, random *rand.Rand, j *job, at int) int {
	for end := time.Now().Add(patience); ctx.Err() == nil && time.Now().Before(end); {
		status, _ := c.call(ctx, client, http.MethodPost, j, at)
		if ctx.Err() != nil {
			j.mu.Lock()
			j.open = true
			j.mu.Unlock()
			return at
		}
		switch status {
		case http.StatusOK, http.StatusCreated, http.StatusAccepted:
			c.count(func(s *second) { s.accepted++ })
			j.mu.Lock()
			j.accepted = time.Now()
			j.mu.Unlock()
			return at
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			c.count(func(s *second) { s.refused++ })
			j.mu.Lock()
			j.refused = true
			open := j.open
			j.mu.Unlock()
			if !open && random.Float64() < giveUpShare {
				return at
			}
		case statusNotSent: // the process is not there; nothing was handed in
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			c.count(func(s *second) { s.unanswered++ })
			j.mu.Lock()
			j.open = true
			j.mu.Unlock()
		default:
			c.world.breakPromise("job %s was answered %d", j.id, status)
		}
		at = random.IntN(len(c.world.daemons))
		sleep(ctx, retryPause)
	}
	return at
}

// statusNotSent stands for a call for which no connection was made.
const statusNotSent = -1

// call makes one call and returns the status, 0 without an answer.
func (c *callers) call(ctx context.Context, client *http.Client, method string, j *job, at int) (int, []byte) {
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader(j.body)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.world.daemon(at).front()+j.prefix+j.id, body)
	if err != nil {
		panic(err) // the parts are constant
	}
	r.Host = host
	r.Header.Set("Authorization", "Token "+token)
	r.Header.Set("Content-Type", "application/json")
	r.GetBody = nil // the client is not to send a job twice by itself
	answer, err := client.Do(r)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return statusNotSent, nil
		}
		return 0, nil
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, data
}

// state asks a daemon for the state of a job; empty without an answer.
func (c *callers) state(ctx context.Context, client *http.Client, j *job, at int) (string, int) {
	status, data := c.call(ctx, client, http.MethodGet, j, at)
	var got struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(data, &got) != nil {
		c.world.breakPromise("the state of job %s cannot be read: %.100s", j.id, data)
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
}

func newJob(random *rand.Rand) *job {
	j := &job{id: fmt.Sprintf("%016x", random.Uint64()), prefix: queues[random.IntN(len(queues))].prefix, fails: random.Float64() < failShare}
	ms := 50 + random.IntN(1500)
	spec := map[string]any{"ms": ms}
	if j.fails {
		spec["ends"] = "failed"
	}
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the map holds only numbers and texts
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
	if j.body, err = json.Marshal(map[string]any{"spec": string(text), "steps": steps}); err != nil {
		panic(err) // the map holds only numbers and texts
	}
	return j
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
