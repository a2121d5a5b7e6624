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

// maxExecutions is the number of executions that a minion remembers. When it
// is reached, the older half is dropped.
const maxExecutions = 200_000

// minionCall is the body that a minion understands; another body is echoed.
type minionCall struct {
	SleepMs int64           `json:"sleep_ms"`
	Fail    bool            `json:"fail"`
	Echo    json.RawMessage `json:"echo"`
	Key     string          `json:"key"`
}

// MinionAnswer is the body of the answer of a minion.
type MinionAnswer struct {
	Minion    string          `json:"minion"`
	RequestID string          `json:"request_id"`
	Echo      json.RawMessage `json:"echo,omitempty"`
	// Execution is 1 the first time that the minion runs the request identifier.
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
	// Leaving is set when the minion had already said that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// MinionCounters sum up the executions of a minion.
type MinionCounters struct {
	Minion     string `json:"minion"`
	Executions int64  `json:"executions"`
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Dropped    int64  `json:"dropped"`
	// ByRequest and ByKey count executions by request identifier and by the key in the body.
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
}

// minion runs requests in slots; requests above the slots wait in their connections.
type minion struct {
	service
	config MinionConfig
	slots  chan struct{}

	mu        sync.Mutex
	recorded  []*Execution
	byRequest map[string]int
	byKey     map[string]int
	total     int64
	dropped   int64
	running   int
	queued    int
	last      reply // last whole answer, for crossed answers
}

func newMinion(s service, c MinionConfig) *minion {
	return &minion{
		service: s, config: c, slots: make(chan struct{}, c.Slots),
		byRequest: map[string]int{}, byKey: map[string]int{},
	}
}

func (m *minion) routes() http.Handler {
	e := echo.New()
	e.POST(refplatform.PathRun, m.change(m.run))
	return e
}

// run waits for a slot and runs the request. A request whose client goes away
// while it waits is not run; one that has begun runs to its end.
func (m *minion) run(r *http.Request, body []byte) reply {
	if err := refplatform.CheckBody(r.Header, body); err != nil {
		refusal := notRunReply(err.Error())
		return m.mark(refusal, r)
	}
	if !m.takeSlot(r.Context()) {
		return notRunReply("client has gone")
	}
	defer m.freeSlot()
	var message minionCall
	if err := json.Unmarshal(body, &message); err != nil {
		message = minionCall{Echo: echoOf(body)}
	}
	faults := m.faults.get()
	failed := message.Fail || faults.Fail
	execution, count := m.begin(r, message.Key, faults.Leaving)
	m.pause(time.Duration(message.SleepMs+faults.SlowMs) * time.Millisecond)
	m.finish(execution, failed)
	return m.answer(r, MinionAnswer{
		Minion: m.config.ID, RequestID: execution.RequestID, Echo: message.Echo, Execution: count,
	}, failed)
}

// echoOf returns a body that is no JSON as a JSON string of bytes.
func echoOf(body []byte) json.RawMessage {
	text, err := json.Marshal(body)
	if err != nil {
		panic(eris.Wrap(err, "standin: encode echo"))
	}
	return text
}

func (m *minion) takeSlot(ctx context.Context) bool {
	m.count(&m.queued, 1)
	defer m.count(&m.queued, -1)
	select {
	case m.slots <- struct{}{}:
		m.count(&m.running, 1)
		return true
	case <-ctx.Done():
		return false
	case <-m.ctx.Done():
		return false
	}
}

func (m *minion) freeSlot() {
	m.count(&m.running, -1)
	<-m.slots
}

func (m *minion) count(counter *int, change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*counter += change
}

func (m *minion) begin(r *http.Request, key string, leaving bool) (*Execution, int) {
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
	m.recorded = append(m.recorded, execution)
	if len(m.recorded) >= maxExecutions {
		m.dropOlder(len(m.recorded) / 2)
	}
	return execution, m.byRequest[execution.RequestID]
}

func (m *minion) dropOlder(n int) {
	for _, execution := range m.recorded[:n] {
		delete(m.byRequest, execution.RequestID)
		delete(m.byKey, execution.Key)
	}
	m.recorded = slices.Clone(m.recorded[n:])
	m.dropped += int64(n)
}

func (m *minion) finish(execution *Execution, failed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	execution.EndedMs, execution.Failed = time.Now().UnixMilli(), failed
}

// answer builds the answer with its checks and applies the faults of answers.
func (m *minion) answer(r *http.Request, message MinionAnswer, failed bool) reply {
	status := http.StatusOK
	if failed {
		status = http.StatusInternalServerError
	}
	whole := jsonReply(status, message)
	refplatform.SetBodyHeaders(whole.header, whole.body)
	whole = m.mark(whole, r)
	faults := m.faults.get()
	m.mu.Lock()
	crossed := m.last
	m.last = whole
	m.mu.Unlock()
	if faults.Cross {
		return crossedReply(crossed, whole)
	}
	if faults.WrongChecksum {
		refplatform.SetBodyHeaders(whole.header, append([]byte("x"), whole.body[1:]...))
	}
	return whole
}

// mark adds what every answer carries.
func (m *minion) mark(answer reply, r *http.Request) reply {
	answer.header.Set(refplatform.HeaderRequestID, r.Header.Get(refplatform.HeaderRequestID))
	if m.faults.get().Leaving {
		answer.header.Set(refplatform.HeaderLeaving, refplatform.HeaderTrue)
	}
	return answer
}

// crossedReply gives the answer to an earlier request, or one with a made-up
// identifier when there is none.
func crossedReply(earlier, whole reply) reply {
	if earlier.status != 0 {
		return earlier
	}
	whole.header = whole.header.Clone()
	whole.header.Set(refplatform.HeaderRequestID, "another-request")
	return whole
}

func (m *minion) executions() []Execution {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Execution, 0, len(m.recorded))
	for _, execution := range m.recorded {
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
