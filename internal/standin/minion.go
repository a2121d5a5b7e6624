package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/internal/refplatform"
)

// maxExecutions bounds the executions in the log of a minion. When the log reaches it,
// the older half is dropped.
const maxExecutions = 200_000

// minionRequest is the body of a request that controls what the minion does. A body
// that is not JSON is only echoed.
type minionRequest struct {
	SleepMs int64           `json:"sleep_ms"`
	Fail    bool            `json:"fail"`
	Echo    json.RawMessage `json:"echo"`
	Key     string          `json:"key"`
}

// MinionAnswer is the JSON body with which a minion answers a request that it ran.
type MinionAnswer struct {
	Minion    string          `json:"minion"`
	RequestID string          `json:"request_id"`
	Echo      json.RawMessage `json:"echo,omitempty"`
	// Execution is the number of times that the minion has run the request identifier,
	// this time included.
	Execution int `json:"execution"`
}

// Execution is one run of a request on a minion. Times are Unix times in milliseconds.
type Execution struct {
	Minion    string `json:"minion"`
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`
	Entry     string `json:"entry"`
	StartedMs int64  `json:"started_ms"`
	EndedMs   int64  `json:"ended_ms"`
	Failed    bool   `json:"failed"`
	// Leaving means that the minion had announced that it is leaving when the execution
	// started.
	Leaving bool `json:"leaving,omitempty"`
}

// MinionCounters counts the executions of a minion.
type MinionCounters struct {
	Minion     string `json:"minion"`
	Executions int64  `json:"executions"`
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	// Dropped counts the executions removed from the log.
	Dropped int64 `json:"dropped"`
	// ByRequest and ByKey count executions by request identifier and by key in the body,
	// without the identifiers and keys of dropped executions.
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
}

// minion runs one request per slot. Further requests wait, with their connections open.
type minion struct {
	service
	config MinionConfig
	slots  chan struct{}

	mu           sync.Mutex
	executionLog []*Execution
	byRequest    map[string]int
	byKey        map[string]int
	total        int64
	dropped      int64
	running      int
	queued       int
	lastAnswer   reply // last intact answer, for the fault MismatchAnswers
}

func newMinion(s service, c MinionConfig) *minion {
	return &minion{
		service: s, config: c, slots: make(chan struct{}, c.Slots),
		byRequest: map[string]int{}, byKey: map[string]int{},
	}
}

func (m *minion) routes() http.Handler {
	e := echo.New()
	e.POST(refplatform.PathRun, m.mutationHandler(m.run))
	return e
}

// run waits for a slot and runs the request. A request whose client disconnects while
// it waits is not run. A request that has started runs to its end.
func (m *minion) run(r *http.Request, body []byte) reply {
	if err := refplatform.CheckBody(r.Header, body); err != nil {
		refusal := notRunReply(err.Error())
		return m.addCommonHeaders(refusal, r)
	}
	if !m.acquireSlot(r.Context()) {
		return notRunReply("client has gone")
	}
	defer m.releaseSlot()
	var message minionRequest
	if err := json.Unmarshal(body, &message); err != nil {
		message = minionRequest{Echo: encodeEcho(body)}
	}
	faults := m.faults.get()
	failed := message.Fail || faults.Fail
	execution, count := m.beginExecution(r, message.Key, faults.Leaving)
	m.wait(time.Duration(message.SleepMs+faults.SlowMs) * time.Millisecond)
	m.endExecution(execution, failed)
	return m.answer(r, MinionAnswer{
		Minion: m.config.ID, RequestID: execution.RequestID, Echo: message.Echo, Execution: count,
	}, failed)
}

// encodeEcho encodes a body that is not JSON as a base64 string in JSON.
func encodeEcho(body []byte) json.RawMessage {
	text, err := json.Marshal(body)
	if err != nil {
		panic(eris.Wrap(err, "standin: encode echo"))
	}
	return text
}

func (m *minion) acquireSlot(ctx context.Context) bool {
	m.addTo(&m.queued, 1)
	defer m.addTo(&m.queued, -1)
	select {
	case m.slots <- struct{}{}:
		m.addTo(&m.running, 1)
		return true
	case <-ctx.Done():
		return false
	case <-m.ctx.Done():
		return false
	}
}

func (m *minion) releaseSlot() {
	m.addTo(&m.running, -1)
	<-m.slots
}

func (m *minion) addTo(counter *int, change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*counter += change
}

// beginExecution adds an execution to the log, and returns it with the number of
// executions of its request identifier.
func (m *minion) beginExecution(r *http.Request, key string, leaving bool) (*Execution, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	execution := &Execution{
		Minion: m.config.ID, RequestID: r.Header.Get(refplatform.HeaderRequestID), Key: key,
		Entry: r.Header.Get(refplatform.HeaderEntry), StartedMs: time.Now().UnixMilli(), Leaving: leaving,
	}
	m.total++
	m.byRequest[execution.RequestID]++
	if key != "" {
		m.byKey[key]++
	}
	m.executionLog = append(m.executionLog, execution)
	if len(m.executionLog) >= maxExecutions {
		m.dropOldest(len(m.executionLog) / 2)
	}
	return execution, m.byRequest[execution.RequestID]
}

// dropOldest removes the n oldest executions from the log, with the counters of their
// request identifiers and keys.
func (m *minion) dropOldest(n int) {
	for _, execution := range m.executionLog[:n] {
		delete(m.byRequest, execution.RequestID)
		delete(m.byKey, execution.Key)
	}
	m.executionLog = slices.Clone(m.executionLog[n:])
	m.dropped += int64(n)
}

func (m *minion) endExecution(execution *Execution, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	execution.EndedMs, execution.Failed = time.Now().UnixMilli(), failed
}

// answer builds the answer with its length and checksum headers, and applies the
// faults MismatchAnswers and WrongChecksum.
func (m *minion) answer(r *http.Request, message MinionAnswer, failed bool) reply {
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	intact := jsonReply(status, message)
	refplatform.SetBodyHeaders(intact.header, intact.body)
	intact = m.addCommonHeaders(intact, r)
	faults := m.faults.get()
	m.mu.Lock()
	earlier := m.lastAnswer
	m.lastAnswer = intact
	m.mu.Unlock()
	if faults.MismatchAnswers {
		return mismatchedReply(earlier, intact)
	}
	if faults.WrongChecksum {
		refplatform.SetBodyHeaders(intact.header, append([]byte("x"), intact.body[1:]...))
	}
	return intact
}

// addCommonHeaders adds the request identifier to an answer and, if the minion is
// leaving, the header that announces it.
func (m *minion) addCommonHeaders(answer reply, r *http.Request) reply {
	answer.header.Set(refplatform.HeaderRequestID, r.Header.Get(refplatform.HeaderRequestID))
	if m.faults.get().Leaving {
		answer.header.Set(refplatform.HeaderLeaving, refplatform.HeaderTrue)
	}
	return answer
}

// mismatchedReply returns the answer to an earlier request. If there is none, it returns
// the current answer with another request identifier.
func mismatchedReply(earlier, intact reply) reply {
	if earlier.status != 0 {
		return earlier
	}
	intact.header = intact.header.Clone()
	intact.header.Set(refplatform.HeaderRequestID, "another-request")
	return intact
}

func (m *minion) executions() []Execution {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Execution, 0, len(m.executionLog))
	for _, execution := range m.executionLog {
		all = append(all, *execution)
	}
	return all
}

func (m *minion) counters() MinionCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MinionCounters{
		Minion: m.config.ID, Executions: m.total, Running: m.running, Queued: m.queued, Dropped: m.dropped,
		ByRequest: maps.Clone(m.byRequest), ByKey: maps.Clone(m.byKey),
	}
}
