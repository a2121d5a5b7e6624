package refplatform

import (
	"context"
	"net/http"

	"github.com/samphirepath/samphirepath/api"
)

// WorkersClient sends calls to workers.
type WorkersClient struct{ *caller }

var (
	_ Workers        = (*WorkersClient)(nil)
	_ TaskSetRenewer = (*WorkersClient)(nil)
)

// NewWorkers returns a client of workers.
func NewWorkers(c Config) *WorkersClient {
	c = c.withDefaults("workers", DefaultTimeout, DefaultWorkerConnections, defaultWorkerAnswerBytes)
	return &WorkersClient{newCaller(c)}
}

// Report returns the capacity, tasks and usage of a worker.
func (w *WorkersClient) Report(ctx context.Context, address string) (api.WorkerReport, error) {
	url, err := addressURL(address, PathReport)
	if err != nil {
		return api.WorkerReport{}, &CallError{cause: err}
	}
	got, err := w.get(ctx, "worker report", url)
	if err != nil {
		return api.WorkerReport{}, err
	}
	if got.status != http.StatusOK {
		return api.WorkerReport{}, got.statusError()
	}
	report, err := decodeReport(got.body)
	if err != nil {
		return api.WorkerReport{}, invalidAnswer(err)
	}
	return report, nil
}

// Start starts a task. After an error the task may or may not have started, unless
// NotApplied reports that it has not.
func (w *WorkersClient) Start(ctx context.Context, address string, task api.StartTask) (api.StartReply, error) {
	body, err := w.post(ctx, "worker start", address, PathStart, task)
	if err != nil {
		return api.StartReply{}, err
	}
	reply, err := decodeStart(body, task.TaskID)
	if err != nil {
		return api.StartReply{}, invalidAnswer(err)
	}
	return reply, nil
}

// Renew extends the leases of several tasks and returns their states.
func (w *WorkersClient) Renew(ctx context.Context, address string, leases []api.TaskLease) ([]api.TaskReport, error) {
	if leases == nil {
		leases = []api.TaskLease{}
	}
	return w.postForReports(ctx, "worker renew", address, PathRenew, api.RenewTasks{Leases: leases})
}

// RenewSet renews a set of tasks that the worker identifies by its hash.
func (w *WorkersClient) RenewSet(ctx context.Context, address string, message api.RenewTasks) (api.TaskReports, error) {
	if message.Leases == nil {
		message.Leases = []api.TaskLease{}
	}
	body, err := w.post(ctx, "worker renew", address, PathRenew, message)
	if err != nil {
		return api.TaskReports{}, err
	}
	answer, err := decodeSetAnswer(body, message.Set)
	if err != nil {
		return api.TaskReports{}, invalidAnswer(err)
	}
	return answer, nil
}

// Act releases, checkpoints, throttles or stops several tasks and returns their states.
func (w *WorkersClient) Act(ctx context.Context, address string, action api.TaskAction) ([]api.TaskReport, error) {
	return w.postForReports(ctx, "worker "+string(action.Action), address, PathActions, action)
}

// postForReports posts a message whose answer is a list of task reports.
func (w *WorkersClient) postForReports(ctx context.Context, name, address, path string, message any) ([]api.TaskReport, error) {
	body, err := w.post(ctx, name, address, path, message)
	if err != nil {
		return nil, err
	}
	reports, err := decodeTasks(body)
	if err != nil {
		return nil, invalidAnswer(err)
	}
	return reports, nil
}

func (w *WorkersClient) post(ctx context.Context, name, address, path string, message any) ([]byte, error) {
	url, err := addressURL(address, path)
	if err != nil {
		return nil, &CallError{cause: err}
	}
	got, err := w.postJSON(ctx, name, url, message)
	if err != nil {
		return nil, err
	}
	if got.status != http.StatusOK {
		return nil, got.statusError()
	}
	return got.body, nil
}
