package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/table"
)

// TableCounters counts the operations of the table service.
type TableCounters struct {
	Gets      int64 `json:"gets"`
	Lists     int64 `json:"lists"`
	Commits   int64 `json:"commits"`
	Committed int64 `json:"committed"`
	Conflicts int64 `json:"conflicts"`
	// Lost counts the answers to commits that a fault lost.
	Lost int64 `json:"lost"`
	// Refused counts the calls that were answered with 503 by the fault Down.
	Refused int64 `json:"refused"`
	// ReadBytes and WrittenBytes are the total sizes of the bodies of answers to reads
	// and of commit calls.
	ReadBytes    int64 `json:"read_bytes"`
	WrittenBytes int64 `json:"written_bytes"`
}

// tableService simulates the table service in memory.
type tableService struct {
	service
	store  *table.Memory
	reads  *rate.Limiter
	writes *rate.Limiter

	gets, lists, commits, committed, conflicts, readBytes, writtenBytes atomic.Int64
}

func newTableService(s service, c TableConfig) *tableService {
	return &tableService{
		service: s, store: table.NewMemory(),
		reads: newLimiter(c.ReadsPerSecond), writes: newLimiter(c.WritesPerSecond),
	}
}

// newLimiter returns a limiter without bursts, so that calls above the rate queue.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), 1)
}

// rateLimited returns a handler that waits for the limiter before each call. The wait
// fails only if the stand-in stops.
func (t *tableService) rateLimited(limiter *rate.Limiter, handle callHandler) callHandler {
	return func(r *http.Request, body []byte) reply {
		if err := limiter.Wait(t.ctx); err != nil {
			return notRunReply("service is ending")
		}
		return handle(r, body)
	}
}

func (t *tableService) routes() http.Handler {
	e := echo.New()
	e.GET(refplatform.PathRow, t.readHandler(t.rateLimited(t.reads, t.row)))
	e.GET(refplatform.PathRows, t.readHandler(t.rateLimited(t.reads, t.rows)))
	e.POST(refplatform.PathCommit, t.mutationHandler(t.rateLimited(t.writes, t.commit)))
	return e
}

func (t *tableService) row(r *http.Request, _ []byte) reply {
	t.gets.Add(1)
	row, ok, err := t.store.Get(t.ctx, r.URL.Query().Get(refplatform.ParamKey))
	if err != nil {
		return notRunReply(err.Error())
	}
	if !ok {
		return absentReply()
	}
	return t.countReadBytes(jsonReply(http.StatusOK, api.TableRow(row)))
}

func (t *tableService) rows(r *http.Request, _ []byte) reply {
	t.lists.Add(1)
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get(refplatform.ParamSince), 10, 64)
	if err != nil {
		return errorReply(http.StatusBadRequest, err)
	}
	listing, err := t.store.List(t.ctx, query.Get(refplatform.ParamPrefix), since)
	if err != nil {
		return notRunReply(err.Error())
	}
	message := api.TableList{Rows: []api.TableRow{}, Deleted: listing.Deleted, Version: listing.Version}
	for _, row := range listing.Rows {
		message.Rows = append(message.Rows, api.TableRow(row))
	}
	if message.Deleted == nil {
		message.Deleted = []string{}
	}
	return t.countReadBytes(jsonReply(http.StatusOK, message))
}

func (t *tableService) countReadBytes(answer reply) reply {
	t.readBytes.Add(int64(len(answer.body)))
	return answer
}

func (t *tableService) commit(_ *http.Request, body []byte) reply {
	t.commits.Add(1)
	t.writtenBytes.Add(int64(len(body)))
	var message api.TableCommit
	if err := json.Unmarshal(body, &message); err != nil {
		return errorReply(http.StatusBadRequest, err)
	}
	conditions := make([]table.Condition, 0, len(message.Conditions))
	for _, c := range message.Conditions {
		conditions = append(conditions, table.Condition(c))
	}
	writes := make([]table.Write, 0, len(message.Writes))
	for _, w := range message.Writes {
		writes = append(writes, table.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	return t.commitReply(t.store.Commit(t.ctx, conditions, writes))
}

func (t *tableService) commitReply(result table.CommitResult) reply {
	switch result.Status {
	case table.Committed:
		t.committed.Add(1)
		return jsonReply(http.StatusOK, api.TableCommitted{Version: result.Version})
	case table.Conflict:
		t.conflicts.Add(1)
		return jsonReply(http.StatusConflict, api.TableConflict{Keys: result.Conflicts})
	default:
		return notRunReply(result.Err.Error())
	}
}

func (t *tableService) counters() TableCounters {
	lost, refused := t.faults.counters()
	return TableCounters{
		Gets: t.gets.Load(), Lists: t.lists.Load(), Commits: t.commits.Load(),
		Committed: t.committed.Load(), Conflicts: t.conflicts.Load(), Lost: lost, Refused: refused,
		ReadBytes: t.readBytes.Load(), WrittenBytes: t.writtenBytes.Load(),
	}
}
