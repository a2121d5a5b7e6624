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
	callTimeout = 8 * time.Second
	// envDaemon names the environment variable with the path of another samphirepathd
	// binary to test. Running the specs with a binary that lacks a safeguard shows that
	// they detect the missing safeguard.
	envDaemon = "SAMPHIREPATH_TEST_DAEMON"
)

func daemonPath() string { return os.Getenv(envDaemon) }

// call makes an HTTP call and decodes the answer into result. It returns the status of
// the answer, or 0 without an answer.
func call(ctx context.Context, method, url, bearer string, value, result any) int {
	return client.Do(ctx, callTimeout, method, url, bearer, value, result)
}

// jobTemplate describes a job whose tasks each use all accelerators of a worker.
type jobTemplate struct {
	key        string
	tasks      int
	checkpoint bool
	parameters map[string]string
}

func (t jobTemplate) spec() api.JobSpec {
	parameters := map[string]string{standin.ParamRunMs: "600000"}
	for k, v := range t.parameters {
		parameters[k] = v
	}
	return api.JobSpec{
		Key: t.key, Name: t.key, Entry: "work", Tasks: t.tasks, Zones: []string{zone}, Checkpoint: t.checkpoint,
		Resources: api.Resources{Cores: 1, Accelerators: acceleratorsPerWorker}, Parameters: parameters,
	}
}

// submit submits a job as an organisation and returns the identifier of the job.
func (z *zoneUnderTest) submit(ctx context.Context, organisation string, spec api.JobSpec) string {
	GinkgoHelper()
	var accepted struct {
		api.Problem
		ID string `json:"id"`
	}
	Expect(call(ctx, http.MethodPost, z.runningDaemon().CallersURL()+"/v1/jobs", token(organisation), spec, &accepted)).
		To(Equal(http.StatusCreated), accepted.Detail)
	return accepted.ID
}

// cancel cancels a job and waits until it is cancelled.
func (z *zoneUnderTest) cancel(ctx context.Context, id string) {
	GinkgoHelper()
	Expect(call(ctx, http.MethodPost, z.runningDaemon().CallersURL()+"/v1/jobs/"+id+"/cancel", harness.OperatorToken, nil, nil)).To(Equal(http.StatusOK))
	Eventually(z.state(ctx, id), eventualTimeout, pollEvery).Should(Equal(api.JobStateCancelled))
}

func (z *zoneUnderTest) job(ctx context.Context, id string) api.Job {
	var job api.Job
	call(ctx, http.MethodGet, z.runningDaemon().CallersURL()+"/v1/jobs/"+id, harness.OperatorToken, nil, &job)
	return job
}

func (z *zoneUnderTest) state(ctx context.Context, id string) func() api.JobState {
	return func() api.JobState { return z.job(ctx, id).State }
}

// fill submits n jobs for the borrower, each of which fills one worker, and waits until
// all run.
func (z *zoneUnderTest) fill(ctx context.Context, n int, template jobTemplate) []string {
	GinkgoHelper()
	var ids []string
	for i := range n {
		template.key, template.tasks = fmt.Sprintf("fill-%d", i+1), 1
		ids = append(ids, z.submit(ctx, borrower, template.spec()))
	}
	z.awaitRunning(ctx, ids...)
	return ids
}

func (z *zoneUnderTest) awaitRunning(ctx context.Context, ids ...string) {
	GinkgoHelper()
	for _, id := range ids {
		Eventually(z.state(ctx, id), eventualTimeout, pollEvery).Should(Equal(api.JobStateRunning), "job %s", id)
	}
}

// explain returns the explanation of a subject by one daemon, one sentence per line.
func explain(ctx context.Context, d *harness.Daemon, bearer, subject string) string {
	var out api.Explanation
	call(ctx, http.MethodGet, d.CallersURL()+"/v1/explain/"+subject, bearer, nil, &out)
	return strings.Join(out.Sentences, "\n")
}

// workerStates returns the workers as the planner reports them, by their identifiers.
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
