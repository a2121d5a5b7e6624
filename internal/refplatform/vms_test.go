package refplatform_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/refplatform"
	"github.com/samphirepath/samphirepath/internal/standin"
)

const listLag = 300 * time.Millisecond

func runVMs() *standin.Standin {
	return runStandin(standin.Config{
		VMs: &standin.VMsConfig{
			Lag:     api.Duration(listLag),
			Initial: []standin.VMConfig{{ID: "e1", Kind: api.VMKindEntry, Zone: "z1", Address: "127.0.0.1:7001"}},
		},
		Workers: []standin.WorkerConfig{{ID: "w", Zone: "z1", Rack: "r", Count: 3, PerRack: 2}},
		Minions: []standin.MinionConfig{{ID: "m1", Zone: "z1"}},
	})
}

func vmsClient(address string) *refplatform.VMsClient {
	ginkgo.GinkgoHelper()
	client, err := refplatform.NewVMs(refplatform.Config{URL: "http://" + address, Timeout: shortTimeout})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	closeAfterSpec(client)
	return client
}

// adminCall makes a call to the admin listener and expects it to succeed.
func adminCall(s *standin.Standin, method, path string, value any) {
	ginkgo.GinkgoHelper()
	body, err := json.Marshal(value)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r, err := http.NewRequest(method, "http://"+s.Addresses().Admin+path, bytes.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	response, err := http.DefaultTransport.RoundTrip(r)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusNoContent))
}

func vmsByID(list api.VMList) map[string]api.VM {
	vms := map[string]api.VM{}
	for _, vm := range list.Vms {
		vms[vm.ID] = vm
	}
	return vms
}

var _ = ginkgo.Describe("VMsClient", func() {
	ctx := context.Background()

	ginkgo.It("lists the hosted workers and minions with their addresses, and the VMs of the config", func() {
		s := runVMs()
		list, err := vmsClient(s.Addresses().VMs).List(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		vms := vmsByID(list)
		gomega.Expect(vms).To(gomega.HaveLen(5))
		gomega.Expect(vms["e1"].Address).To(gomega.Equal("127.0.0.1:7001"))
		gomega.Expect(vms["m1"].Address).To(gomega.Equal(s.Addresses().Minions["m1"]))
		gomega.Expect(vms["w-3"].Address).To(gomega.Equal(s.Addresses().Workers["w-3"]))
		gomega.Expect([]string{vms["w-1"].Rack, vms["w-2"].Rack, vms["w-3"].Rack}).To(gomega.Equal([]string{"r-1", "r-1", "r-2"}))
		gomega.Expect(list.AsOfMs).To(gomega.BeNumerically("~", time.Now().Add(-listLag).UnixMilli(), 1000))
	})

	// Guards against an unchanged list with the time of an earlier read: a daemon
	// discards lists that are older than the newest one it applied.
	ginkgo.It("updates the time of an unchanged list without transferring it again", func() {
		s := runVMs()
		client := vmsClient(s.Addresses().VMs)
		first, err := client.List(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(10 * time.Millisecond)
		second, err := client.List(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(second.Vms).To(gomega.Equal(first.Vms))
		gomega.Expect(second.AsOfMs).To(gomega.BeNumerically(">", first.AsOfMs))
	})

	ginkgo.It("shows changes only after the lag and in order", func() {
		s := runVMs()
		client := vmsClient(s.Addresses().VMs)
		current := func() api.VM {
			list, err := client.List(ctx)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return vmsByID(list)["m1"]
		}
		first := current()
		changed := time.Now()
		adminCall(s, http.MethodPut, "/vms/m1/state", map[string]string{"state": "leaving"})
		gomega.Expect(current().State).To(gomega.Equal(api.Live))
		gomega.Eventually(func() api.VMState { return current().State }, "3s", "10ms").Should(gomega.Equal(api.Leaving))
		gomega.Expect(time.Since(changed)).To(gomega.BeNumerically(">=", listLag))
		adminCall(s, http.MethodPut, "/vms/m1", api.VM{Kind: api.VMKindMinion, Zone: "z1", Address: "127.0.0.1:7002"})
		gomega.Eventually(func() string { return current().Address }, "3s", "10ms").Should(gomega.Equal("127.0.0.1:7002"))
		gomega.Expect(current().Instance).NotTo(gomega.Equal(first.Instance))
		adminCall(s, http.MethodDelete, "/vms/m1", nil)
		gomega.Eventually(func() string { return current().ID }, "3s", "10ms").Should(gomega.BeEmpty())
	})

	ginkgo.DescribeTable("reports a failed read as an error, never as an empty list",
		func(faults standin.Faults) {
			s := runVMs()
			setFaults(s, standin.TargetVMs, faults)
			_, err := vmsClient(s.Addresses().VMs).List(ctx)
			gomega.Expect(err).To(gomega.HaveOccurred())
		},
		ginkgo.Entry("refused connection", standin.Faults{Refuse: true}),
		ginkgo.Entry("down", standin.Faults{Down: true}),
		ginkgo.Entry("truncated answer", standin.Faults{Truncate: true}),
		ginkgo.Entry("paused", standin.Faults{Silent: true}),
	)

	// Guards against skipping a malformed entry: its VM would look as if it had left.
	ginkgo.DescribeTable("rejects a list with a malformed entry",
		func(body string) {
			_, err := vmsClient(rawServer(rawAnswer("200 OK", "", body))).List(ctx)
			gomega.Expect(err).To(gomega.HaveOccurred())
		},
		ginkgo.Entry("empty object", `{}`),
		ginkgo.Entry("unknown kind", `{"vms":[{"id":"a","kind":"x","zone":"z","address":"127.0.0.1:1","state":"live","instance":"i"}]}`),
		ginkgo.Entry("unknown state", `{"vms":[{"id":"a","kind":"entry","zone":"z","address":"127.0.0.1:1","state":"x","instance":"i"}]}`),
		ginkgo.Entry("host name instead of an IP address", `{"vms":[{"id":"a","kind":"entry","zone":"z","address":"host:1","state":"live","instance":"i"}]}`),
		ginkgo.Entry("listed twice", `{"vms":[{"id":"a","kind":"entry","zone":"z","address":"127.0.0.1:1","state":"live","instance":"i"},{"id":"a","kind":"entry","zone":"z","address":"127.0.0.1:2","state":"live","instance":"i"}]}`),
	)
})
