package dispatch_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/internal/batch"
	"github.com/samphirepath/samphirepath/internal/standinfleet"
	"github.com/samphirepath/samphirepath/table"
)

var (
	simulationSeed  = flag.Uint64("simulation.seed", 1, "first seed of the simulated faults")
	simulationSeeds = flag.Int("simulation.seeds", 25, "number of seeds")
	simulationLog   = flag.Bool("simulation.log", false, "print the log of the dispatchers")
)

// Sizes and times of a simulation. The times are those of the platform's example settings.
const (
	simZones            = 3
	simDispatchers      = 4
	simWorkers          = 6
	simDuration         = 90 * time.Second  // in which faults begin
	simRecovery         = 150 * time.Second // from the end of the last fault until the backlog has ended
	simWorkerLease      = 6 * time.Second
	simMaxFault         = 30 * time.Second
	simMinFaultInterval = 2 * time.Second // mean
	simMaxFaultInterval = 4 * time.Second // mean
	simLatency          = time.Millisecond
	simHeartbeat        = 1500 * time.Millisecond
	simPeerTimeout      = 500 * time.Millisecond
	simDrainTime        = 2500 * time.Millisecond
)

// simulation runs dispatchers, workers and a store in one process on simulated time. Faults
// cut the links between them, in both directions or for answers only.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	store   *table.Memory
	workers []*standinfleet.Worker
	nodes   []*simNode
	log     *zap.Logger

	mu      sync.Mutex
	down    map[string]int // faults that keep a worker down
	cut     map[[2]string]int
	oneWay  map[[2]string]int // the second one's answers do not reach the first
	late    int               // faults that make workers carry out orders late
	history []string
	jobs    []batch.Job
	// lateStarts holds the starts that were carried out late.
	lateStarts map[simStart]bool
	answers    []simJobAnswer
	newest     map[string]batch.State // latest state of each job that callers were told
	cancels    map[string]*simCancel
	// disturbed is when a fault last acted on each machine, see watchMachines.
	disturbed   [simDispatchers]time.Time
	accepted    map[string]bool // jobs that a machine could accept when they were stored
	waitingJobs []*simWaitingJob
	pendings    []simPending
}

func (s *simulation) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, time.Now().UTC().Format("04:05.000")+" "+fmt.Sprintf(format, args...))
}

func simulate(t *testing.T, seed uint64) {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), store: table.NewMemory(), log: zap.NewNop(), nodes: make([]*simNode, simDispatchers),
		down: map[string]int{}, cut: map[[2]string]int{}, oneWay: map[[2]string]int{},
		lateStarts: map[simStart]bool{}, newest: map[string]batch.State{}, cancels: map[string]*simCancel{}, accepted: map[string]bool{}}
	if *simulationLog {
		s.log = zap.Must(zap.NewDevelopment())
	}
	for i := range simWorkers {
		w := standinfleet.NewWorker(fmt.Sprintf("w%d", i))
		if i%3 == 0 {
			w.ClockRate = 0.98
		}
		s.workers = append(s.workers, w)
		s.writeEntry(t.Context(), i)
	}
	for i := range simDispatchers {
		s.startNode(i)
	}
	ctx, stopSubmitting := context.WithCancel(t.Context())
	defer stopSubmitting()
	queriesCtx, stopQueries := context.WithCancel(t.Context())
	defer stopQueries()
	var callers, queries sync.WaitGroup
	queries.Go(func() { s.queryJobs(queriesCtx, rand.New(rand.NewPCG(seed, 2))) })
	callers.Go(func() { s.submitJobs(ctx, rand.New(rand.NewPCG(seed, 1))) })
	callers.Go(func() { s.heartbeat(ctx) })
	callers.Go(func() { s.submitWaitingJobs(ctx, rand.New(rand.NewPCG(seed, 3))) })
	queries.Go(func() { s.watchMachines(queriesCtx) })
	queries.Go(func() { s.queryPending(queriesCtx, rand.New(rand.NewPCG(seed, 4))) })
	time.Sleep(5 * time.Second)
	s.injectFaults()
	stopSubmitting()
	callers.Wait()
	for deadline := time.Now().Add(simRecovery); len(s.unfinished()) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Second)
	}
	stopQueries()
	queries.Wait()
	s.queryAllJobs()
	violations := append(s.violations(), s.answerViolations()...)
	violations = append(violations, s.pendingViolations()...)
	for _, id := range s.unfinished() {
		violations = append(violations, "job "+id+" has not ended")
	}
	for i := range simDispatchers {
		n := s.node(i)
		n.stop()
		n.stopServing()
		<-n.ended
	}
	time.Sleep(10 * time.Second) // calls that are carried out late end
	if len(violations) > 0 {
		t.Errorf("seed %d: %d violations\n%s\nfaults:\n%s", seed, len(violations), strings.Join(violations[:min(len(violations), 20)], "\n"), strings.Join(s.history, "\n"))
	}
}

// Guards against tasks that run twice, jobs that never end, and callers that are told what
// does not hold later, in random orders of faults around changes of the dispatcher: zones and
// workers that only some machines reach, one-way links, outages of the store, and workers and
// machines that are killed, stopped or paused, also in an outage.
func TestSimulatedFaults(t *testing.T) {
	for i := range *simulationSeeds {
		seed := *simulationSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulate(t, seed) })
		})
	}
}
