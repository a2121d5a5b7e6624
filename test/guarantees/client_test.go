package guarantees

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/client"
	"github.com/samphirepath/samphirepath/test/harness"
)

const (
	callWait = 8 * time.Second
	// envDaemon names another binary of the daemon, to see the specs fail with a
	// guard taken out.
	envDaemon = "SAMPHIREPATH_TEST_DAEMON"
)

func daemonPath() string { return os.Getenv(envDaemon) }

// call makes an HTTP call and decodes the answer into result. It returns status
// 0 when there is no answer.
func call(ctx context.Context, method, url, bearer string, value, result any) int {
	return client.Do(ctx, callWait, method, url, bearer, value, result)
}

// work describes a gang of tasks that take a whole worker each.
type work struct {
	key        string
	tasks      int
	checkpoint bool
	parameters map[string]string
}

func (w work) spec() api.JobSpec {
	parameters := map[string]string{standin.ParamRunMs: "600000"}
	for k, v := range w.parameters {
		parameters[k] = v
	}
	return api.JobSpec{
		Key: w.key, Name: w.key, Entry: "work", Tasks: w.tasks, Zones: []string{zone}, Checkpoint: w.checkpoint,
		Resources: api.Resources{Cores: 1, Accelerators: perWorker}, Parameters: parameters,
	}
}

// submit submits a job and returns its identifier.
func (z *zoneUnderTest) submit(ctx context.Context, organisation string, spec api.JobSpec) string {
	GinkgoHelper()
	var accepted struct {
		api.Problem
		ID string `json:"id"`
	}
	Expect(call(ctx, http.MethodPost, z.live().CallersURL()+"/v1/jobs", token(organisation), spec, &accepted)).
		To(Equal(http.StatusCreated), accepted.Detail)
	return accepted.ID
}

// cancel cancels a job and waits for its end.
func (z *zoneUnderTest) cancel(ctx context.Context, id string) {
	GinkgoHelper()
	Expect(call(ctx, http.MethodPost, z.live().CallersURL()+"/v1/jobs/"+id+"/cancel", harness.OperatorToken, nil, nil)).To(Equal(http.StatusOK))
	Eventually(z.state(ctx, id), settleWait, pollEvery).Should(Equal(api.JobStateCancelled))
}

func (z *zoneUnderTest) job(ctx context.Context, id string) api.Job {
	var job api.Job
	call(ctx, http.MethodGet, z.live().CallersURL()+"/v1/jobs/"+id, harness.OperatorToken, nil, &job)
	return job
}

func (z *zoneUnderTest) state(ctx context.Context, id string) func() api.JobState {
	return func() api.JobState { return z.job(ctx, id).State }
}

// fill submits borrowers of one worker each and waits until all run.
func (z *zoneUnderTest) fill(ctx context.Context, n int, like work) []string {
	GinkgoHelper()
	var ids []string
	for i := range n {
		like.key, like.tasks = fmt.Sprintf("fill-%d", i+1), 1
		ids = append(ids, z.submit(ctx, borrower, like.spec()))
	}
	z.awaitRunning(ctx, ids...)
	return ids
}

func (z *zoneUnderTest) awaitRunning(ctx context.Context, ids ...string) {
	GinkgoHelper()
	for _, id := range ids {
		Eventually(z.state(ctx, id), settleWait, pollEvery).Should(Equal(api.JobStateRunning), "job %s", id)
	}
}

// explain returns the sentences about a subject as one daemon sees them.
func explain(ctx context.Context, d *harness.Daemon, bearer, subject string) string {
	var out api.Explanation
	call(ctx, http.MethodGet, d.CallersURL()+"/v1/explain/"+subject, bearer, nil, &out)
	return strings.Join(out.Sentences, "\n")
}

// workerStates returns the workers as the planner sees them.
func (z *zoneUnderTest) workerStates(ctx context.Context) map[string]api.WorkerStatus {
	GinkgoHelper()
	var list api.WorkerList
	call(ctx, http.MethodGet, z.planner(ctx).OperatorsURL()+"/v1/workers", harness.OperatorToken, nil, &list)
	out := map[string]api.WorkerStatus{}
	for _, w := range list.Workers {
		out[w.ID] = w
	}
	return out
}
