package standinfleet_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/standinfleet"
)

const (
	gangTimeout = 150 * time.Millisecond
	gangSpec    = `{"ms":100,"gang":2}`
	longLeaseMs = 5000
)

// gangFleet returns two workers with the same gangs.
func gangFleet() (a, b *standinfleet.Worker) {
	a, b = standinfleet.NewWorker("a"), standinfleet.NewWorker("b")
	a.Gangs = standinfleet.NewGangs(gangTimeout)
	b.Gangs = a.Gangs
	return a, b
}

// order sends an order to a worker and returns the status of its answer.
func order(t *testing.T, w *standinfleet.Worker, path string, body map[string]any) int {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(encoded))
	request.Header.Set("Samphirepath-Expected-Instance", w.ID)
	answer := httptest.NewRecorder()
	w.ServeHTTP(answer, request)
	return answer.Code
}

func startMember(t *testing.T, w *standinfleet.Worker, task string, deadlineMs int) {
	t.Helper()
	gomega.NewWithT(t).Expect(order(t, w, "/run-start", map[string]any{"task": task, "run": 1, "spec": gangSpec, "deadline_ms": deadlineMs})).To(gomega.Equal(http.StatusOK))
}

// lastRecord returns the record of the only run on a worker.
func lastRecord(w *standinfleet.Worker) standinfleet.RunRecord {
	records := w.Records()
	return records[len(records)-1]
}

// Guards against members that end "done" although another one was gone before the end.
func TestMembersOfAGangEndTogether(t *testing.T) {
	t.Run("done, from the start of the last one", func(t *testing.T) {
		g := gomega.NewWithT(t)
		a, b := gangFleet()
		startMember(t, a, "j.0.0.0", longLeaseMs)
		time.Sleep(50 * time.Millisecond)
		startMember(t, b, "j.0.0.1", longLeaseMs)
		time.Sleep(120 * time.Millisecond)
		first, second := lastRecord(a), lastRecord(b)
		g.Expect([]string{first.EndReason, second.EndReason}).To(gomega.Equal([]string{"done", "done"}))
		g.Expect(first.Ended).To(gomega.Equal(second.Ended))
		g.Expect(first.Ended.Sub(first.Started)).To(gomega.BeNumerically(">=", 150*time.Millisecond))
	})
	t.Run("broken, when one crashes", func(t *testing.T) {
		g := gomega.NewWithT(t)
		a, b := gangFleet()
		startMember(t, a, "j.0.0.0", longLeaseMs)
		startMember(t, b, "j.0.0.1", longLeaseMs)
		b.Restart()
		time.Sleep(120 * time.Millisecond)
		g.Expect([]string{lastRecord(a).EndReason, lastRecord(b).EndReason}).To(gomega.Equal([]string{"broken", "crashed"}))
	})
	t.Run("broken, when one is stopped", func(t *testing.T) {
		g := gomega.NewWithT(t)
		a, b := gangFleet()
		startMember(t, a, "j.0.0.0", longLeaseMs)
		startMember(t, b, "j.0.0.1", longLeaseMs)
		order(t, b, "/run-stop", map[string]any{"task": "j.0.0.1", "run": 1})
		g.Expect([]string{lastRecord(a).EndReason, lastRecord(b).EndReason}).To(gomega.Equal([]string{"broken", "stopped"}))
	})
	t.Run("broken, when the lease of one expires, also if its worker is asked last", func(t *testing.T) {
		g := gomega.NewWithT(t)
		a, b := gangFleet()
		startMember(t, a, "j.0.0.0", longLeaseMs)
		startMember(t, b, "j.0.0.1", 60)
		time.Sleep(120 * time.Millisecond)
		g.Expect([]string{lastRecord(a).EndReason, lastRecord(b).EndReason}).To(gomega.Equal([]string{"broken", "lapsed"}))
	})
	t.Run("done, when one crashes after the end and nobody has asked before", func(t *testing.T) {
		g := gomega.NewWithT(t)
		a, b := gangFleet()
		startMember(t, a, "j.0.0.0", longLeaseMs)
		startMember(t, b, "j.0.0.1", longLeaseMs)
		time.Sleep(120 * time.Millisecond)
		b.Restart()
		g.Expect([]string{lastRecord(a).EndReason, lastRecord(b).EndReason}).To(gomega.Equal([]string{"done", "done"}))
	})
	t.Run("alone, without the others", func(t *testing.T) {
		g := gomega.NewWithT(t)
		a, b := gangFleet()
		startMember(t, a, "j.0.0.0", longLeaseMs)
		time.Sleep(gangTimeout + 20*time.Millisecond)
		g.Expect(lastRecord(a).EndReason).To(gomega.Equal("alone"))
		startMember(t, b, "j.0.0.1", longLeaseMs)
		g.Expect(lastRecord(b).EndReason).To(gomega.Equal("broken"))
	})
}
