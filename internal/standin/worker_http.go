package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
)

func (w *worker) routes() http.Handler {
	e := echo.New()
	e.GET(refplatform.PathReport, w.readHandler(func(*http.Request, []byte) reply {
		return jsonReply(http.StatusOK, w.report())
	}))
	e.POST(refplatform.PathStart, w.mutationHandler(w.serveStart))
	e.POST(refplatform.PathRenew, w.mutationHandler(w.serveRenew))
	e.POST(refplatform.PathActions, w.mutationHandler(w.serveAction))
	return e
}

func (w *worker) serveStart(_ *http.Request, body []byte) reply {
	var spec api.StartTask
	if err := json.Unmarshal(body, &spec); err != nil {
		return errorReply(http.StatusBadRequest, err)
	}
	if spec.TaskID == "" {
		return errorReply(http.StatusBadRequest, eris.New("start without a task identifier"))
	}
	return jsonReply(http.StatusOK, w.start(w.ctx, spec))
}

func (w *worker) serveRenew(_ *http.Request, body []byte) reply {
	var message api.RenewTasks
	if err := json.Unmarshal(body, &message); err != nil {
		return errorReply(http.StatusBadRequest, err)
	}
	if message.Set == nil || w.faults.get().IgnoreSets {
		return jsonReply(http.StatusOK, api.TaskReports{Tasks: w.renew(message.Leases)})
	}
	answer, err := w.renewSet(message)
	if err != nil {
		return errorReply(http.StatusBadRequest, err)
	}
	return jsonReply(http.StatusOK, answer)
}

func (w *worker) serveAction(_ *http.Request, body []byte) reply {
	var action api.TaskAction
	if err := json.Unmarshal(body, &action); err != nil {
		return errorReply(http.StatusBadRequest, err)
	}
	if !action.Action.Valid() {
		return errorReply(http.StatusBadRequest, eris.Errorf("action %q is not known", action.Action))
	}
	return jsonReply(http.StatusOK, api.TaskReports{Tasks: w.applyAction(w.ctx, action)})
}

// checkpoint writes a checkpoint object for each running task among ids. A task whose
// object cannot be written keeps its last checkpoint.
func (w *worker) checkpoint(ctx context.Context, ids []string) {
	if w.objects == nil {
		return
	}
	longest := time.Duration(0)
	for _, id := range ids {
		longest = max(longest, w.checkpointTime(id))
	}
	if !sleep(ctx, longest) {
		return
	}
	for _, id := range ids {
		next, ok := w.prepareCheckpoint(id)
		if !ok {
			continue
		}
		content, err := json.Marshal(next)
		if err != nil {
			panic(eris.Wrap(err, "standin: encode checkpoint"))
		}
		if _, err := w.objects.Put(ctx, next.key, content, false); err == nil {
			w.recordCheckpoint(next)
		}
	}
}

func (w *worker) checkpointTime(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.live[id]
	if t == nil {
		return 0
	}
	ms, _ := milliseconds(t.spec, ParamCheckpointMs)
	return time.Duration(ms) * time.Millisecond
}

// prepareCheckpoint returns the next checkpoint of a task, and whether the task runs.
func (w *worker) prepareCheckpoint(id string) (checkpoint, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	t := w.live[id]
	if t == nil || t.state != api.TaskStateRunning {
		return checkpoint{}, false
	}
	w.checkpointCount++
	key := fmt.Sprintf("checkpoints/%s/%s-%d", t.spec.JobID, id, w.checkpointCount)
	return checkpoint{key: key, TaskID: id, ProgressMs: t.progressAt(now)}, true
}

func (w *worker) recordCheckpoint(c checkpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.find(c.TaskID); t != nil {
		t.checkpointObject, t.checkpointProgress = c.key, c.ProgressMs
	}
}
