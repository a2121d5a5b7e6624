package harness_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pelletier/go-toml/v2"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/standin"
	"github.com/samphirepath/samphirepath/test/faultproxy"
	"github.com/samphirepath/samphirepath/test/harness"
)

// envProcessMode selects what the test binary runs instead of the tests: a fake
// samphirepathd that becomes ready ("ready") or exits with an error ("exit"), or a
// process whose threads are busy ("busy").
const envProcessMode = "HARNESS_TEST_FAKE_DAEMON"

// busyGoroutines is the number of goroutines that the busy process keeps running, so
// that it has several threads.
const busyGoroutines = 8

func TestMain(m *testing.M) {
	switch os.Getenv(envProcessMode) {
	case "ready":
		os.Exit(fakeDaemon(os.Args[2]))
	case "busy":
		for range busyGoroutines {
			go func() {
				for {
					_ = os.Getpid()
				}
			}()
		}
		fmt.Println("busy")
		time.Sleep(time.Minute)
		os.Exit(0)
	case "exit":
		fmt.Fprintln(os.Stderr, "settings are wrong")
		os.Exit(2)
	}
	os.Exit(m.Run())
}

func TestHarness(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "harness")
}

var _ = ginkgo.AfterSuite(func() { gomega.Expect(harness.RemoveBinaries()).To(gomega.Succeed()) })

// fakeDaemon runs a process that, from the third readiness check on, is ready while
// it reaches the table service and its VM is in the VM list.
func fakeDaemon(file string) int {
	data, err := os.ReadFile(file)
	if err != nil {
		panic(err)
	}
	var settings api.Settings
	if err := toml.Unmarshal(data, &settings); err != nil {
		panic(err)
	}
	table, err := refplatform.NewTable(refplatform.Config{URL: settings.Platform.TableURL, Timeout: 200 * time.Millisecond})
	if err != nil {
		panic(err)
	}
	vms, err := refplatform.NewVMs(refplatform.Config{URL: settings.Platform.VmsURL, Timeout: 200 * time.Millisecond})
	if err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var readinessChecks atomic.Int32
	server := http.Server{Addr: settings.Listen.Operators, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _, err := table.Get(r.Context(), "configuration/head")
		list, listErr := vms.List(r.Context())
		listed := slices.ContainsFunc(list.Vms, func(vm api.VM) bool { return vm.ID == settings.Daemon.VM })
		if readinessChecks.Add(1) < 3 || err != nil || listErr != nil || !listed {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	fmt.Println("serving")
	go func() { _ = server.ListenAndServe() }()
	<-ctx.Done()
	return 0
}

func options(mode string) harness.Options {
	path, err := os.Executable()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return harness.Options{
		Zones: []harness.Zone{
			{Name: "kiruna", Daemons: 1, Workers: 2, Minions: 1, Worker: standin.WorkerConfig{Rack: "k", Cores: 8, Accelerators: 4}},
			{Name: "pajala", Daemons: 1},
		},
		Proxies: true, DaemonPath: path, DaemonEnv: []string{envProcessMode + "=" + mode},
	}
}

func startCluster() *harness.Cluster {
	ginkgo.GinkgoHelper()
	c, err := harness.StartCluster(context.Background(), options("ready"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() {
		gomega.Expect(c.Stop()).To(gomega.Succeed())
		for _, d := range c.Daemons {
			gomega.Expect(d.Running()).To(gomega.BeFalse())
		}
		gomega.Expect(c.Standin.Running()).To(gomega.BeFalse())
		gomega.Expect(c.File("")).NotTo(gomega.BeADirectory())
	})
	return c
}

var _ = ginkgo.Describe("Cluster", func() {
	ctx := context.Background()

	ginkgo.It("starts daemons that reach the platform with their generated settings", func() {
		c := startCluster()
		gomega.Expect(c.Daemons).To(gomega.HaveLen(2))
		for _, d := range c.Daemons {
			gomega.Expect(d.Ready(ctx)).To(gomega.BeTrue())
		}
		_, err := c.Daemon("kiruna-entry-1").WaitLine(ctx, "serving")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.Logs()).To(gomega.ContainSubstring("--- pajala-entry-1 ---"))
		list, err := c.Standin.VMs()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(list.Vms).To(gomega.HaveLen(5))
	})

	ginkgo.It("pauses, continues, terminates, kills and replaces daemons", func() {
		c := startCluster()
		first, second := c.Daemons[0], c.Daemons[1]
		gomega.Expect(first.Pause()).To(gomega.Succeed())
		gomega.Expect(first.Ready(ctx)).To(gomega.BeFalse())
		gomega.Expect(second.Ready(ctx)).To(gomega.BeTrue())
		gomega.Expect(first.Continue()).To(gomega.Succeed())
		gomega.Expect(first.WaitReady(ctx)).To(gomega.Succeed())
		gomega.Expect(first.Terminate()).To(gomega.Succeed())
		code, err := first.Wait(5 * time.Second)
		gomega.Expect(code, err).To(gomega.Equal(0))
		gomega.Expect(first.Kill()).To(gomega.MatchError(harness.ErrExited))
		gomega.Expect(second.Kill()).To(gomega.Succeed())
		code, err = second.Wait(0)
		gomega.Expect(code, err).To(gomega.Equal(-1))
		gomega.Expect(c.ReplaceDaemon(first)).To(gomega.Succeed())
		gomega.Expect(first.WaitReady(ctx)).To(gomega.Succeed())
	})

	// Guards against a Pause that returns while threads of the process still run: a
	// fault that the test then ends may not have affected these threads.
	ginkgo.It("returns from Pause only when all threads have stopped", func() {
		self, err := os.Executable()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		p, err := harness.Start(harness.Command{Name: "busy", Path: self, Env: []string{envProcessMode + "=busy"}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(p.Kill)
		gomega.Eventually(p.Logs).Should(gomega.ContainSubstring("busy"))
		for range 100 {
			gomega.Expect(p.Pause()).To(gomega.Succeed())
			states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(len(states)).To(gomega.BeNumerically(">", 1))
			for _, file := range states {
				gomega.Expect(os.ReadFile(file)).To(gomega.ContainSubstring(") T "))
			}
			gomega.Expect(p.Continue()).To(gomega.Succeed())
		}
	})

	ginkgo.It("cuts off one daemon from the platform without affecting the other", func() {
		c := startCluster()
		first, second := c.Daemons[0], c.Daemons[1]
		c.Proxies[first.ID()].SetPlatformFaults(faultproxy.HoldBoth())
		gomega.Expect(first.Ready(ctx)).To(gomega.BeFalse())
		gomega.Expect(second.Ready(ctx)).To(gomega.BeTrue())
		c.Proxies[first.ID()].SetPlatformFaults(faultproxy.Faults{})
		gomega.Expect(first.WaitReady(ctx)).To(gomega.Succeed())
	})

	ginkgo.It("reports at once, with its output, a daemon that exits before it is ready", func() {
		started := time.Now()
		_, err := harness.StartCluster(ctx, options("exit"))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("settings are wrong")))
		gomega.Expect(err).To(gomega.MatchError(harness.ErrExited))
		gomega.Expect(time.Since(started)).To(gomega.BeNumerically("<", 10*time.Second))
	})
})

var _ = ginkgo.Describe("Standin", func() {
	ginkgo.It("sets and clears faults and reads tasks, counters and executions", func() {
		c := startCluster()
		s := c.Standin
		workers := refplatform.NewWorkers(refplatform.Config{})
		defer workers.Close()
		task := api.StartTask{TaskID: "j.1.0", JobID: "j", StartBeforeMs: time.Now().Add(time.Minute).UnixMilli(), LeaseExpiresMs: time.Now().Add(time.Minute).UnixMilli()}
		start := func() error {
			_, err := workers.Start(context.Background(), s.Addresses.Workers["kiruna-worker-1"], task)
			return err
		}
		gomega.Expect(s.SetFaults("workers/kiruna-worker-1", standin.Faults{Down: true})).To(gomega.Succeed())
		gomega.Expect(start()).NotTo(gomega.Succeed())
		gomega.Expect(s.ClearFaults("workers/kiruna-worker-1")).To(gomega.Succeed())
		gomega.Expect(start()).To(gomega.Succeed())
		tasks, err := s.Tasks()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(tasks).To(gomega.HaveLen(1))
		gomega.Expect(s.RestartWorker("kiruna-worker-1")).To(gomega.Succeed())
		counters, err := s.TableCounters()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(counters.Gets).To(gomega.BeNumerically(">", 0))
		minions, err := s.Minions()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(minions[0].Minion).To(gomega.Equal("kiruna-minion-1"))
		executions, err := s.Executions()
		gomega.Expect(executions, err).To(gomega.BeEmpty())
	})

	ginkgo.It("adds, changes and removes VMs of the VM list", func() {
		c := startCluster()
		s := c.Standin
		gomega.Expect(s.PutVM(api.VM{ID: "new", Kind: api.VMKindEntry, Zone: "kiruna", Address: "127.0.0.1:1"})).To(gomega.Succeed())
		gomega.Expect(s.SetVMState("new", api.Leaving)).To(gomega.Succeed())
		list, err := s.VMs()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(list.Vms).To(gomega.ContainElement(gomega.And(gomega.HaveField("ID", "new"), gomega.HaveField("State", api.Leaving))))
		gomega.Expect(s.RemoveVM("new")).To(gomega.Succeed())
		gomega.Expect(s.RemoveVM("new")).NotTo(gomega.Succeed())
		gomega.Expect(s.SetFaults("workers/unknown", standin.Faults{})).NotTo(gomega.Succeed())
	})
})

// Guards against two processes that get the same port to listen on.
var _ = ginkgo.Describe("FreeAddress", func() {
	ginkgo.It("returns each address once, also to concurrent callers", func() {
		const callers, callsPerCaller = 8, 40
		var addresses sync.Map
		var wg sync.WaitGroup
		var duplicates, failures atomic.Int32
		for range callers {
			wg.Go(func() {
				for range callsPerCaller {
					address, err := harness.FreeAddress()
					if err != nil {
						failures.Add(1)
					}
					if _, exists := addresses.LoadOrStore(address, true); exists {
						duplicates.Add(1)
					}
				}
			})
		}
		wg.Wait()
		gomega.Expect([]int32{duplicates.Load(), failures.Load()}).To(gomega.Equal([]int32{0, 0}))
	})
})
