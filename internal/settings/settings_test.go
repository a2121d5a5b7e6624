package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const valid = `[daemon]
vm = "entry-1"
zone = "Gällivare"
[listen]
callers = "10.0.0.1:7000"
operators = "10.0.0.1:7001"
peers = "[fd00::1]:7002"
[platform]
table_url = "http://10.0.0.9:9000/table"
objects_url = "http://10.0.0.9:9001"
vms_url = "http://[fd00::9]:9002"
[peers]
token = "secret"
seeds = ["10.0.0.2:7002"]
[operators]
token_sha256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
`

func writeFile(text string) string {
	path := filepath.Join(GinkgoT().TempDir(), "daemon.toml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

var _ = Describe("Load", func() {
	It("fills in the defaults of the schema", func() {
		s, problems := settings.Load(writeFile(valid))
		Expect(problems).To(BeEmpty())
		Expect(s.Daemon.Zone).To(Equal("Gällivare"))
		Expect(s.Peers.Seeds).To(ConsistOf("10.0.0.2:7002"))
		Expect(s.Timing.TaskLease.Std()).To(Equal(20 * time.Second))
		Expect(s.Limits.MaxBodyBytes).To(Equal(int64(1 << 20)))
		Expect(s.Logs.Format).To(Equal("json"))
	})

	It("reports three problems of one file, each with file, line and key", func() {
		text := strings.Replace(valid, `vm = "entry-1"`, `vn = "entry-1"`, 1) +
			"[timing]\npoll_every = 500\n"
		path := writeFile(text)
		_, problems := settings.Load(path)
		var lines []string
		for _, p := range problems {
			lines = append(lines, p.String())
		}
		Expect(lines).To(ConsistOf(
			path+":1: daemon.vm: is missing",
			path+":2: daemon.vn: unknown key",
			path+`:18: timing.poll_every: needs a unit: write "500ms" or "500s"`,
		))
	})

	It("reports a file that cannot be read", func() {
		_, problems := settings.Load(filepath.Join(GinkgoT().TempDir(), "absent.toml"))
		Expect(problems).To(HaveLen(1))
	})

	DescribeTable("reports an invalid setting", func(old, replacement, key string, line int, message string) {
		Expect(valid).To(ContainSubstring(old))
		_, problems := settings.Parse("f", []byte(strings.Replace(valid, old, replacement, 1)))
		Expect(problems).To(HaveLen(1), "%v", problems)
		Expect(problems[0].Key).To(Equal(key))
		Expect(problems[0].Line).To(Equal(line))
		Expect(problems[0].Message).To(ContainSubstring(message))
	},
		Entry("wrong type", `vm = "entry-1"`, `vm = 1`, "daemon.vm", 2, "must be a string"),
		Entry("name with a slash", `vm = "entry-1"`, `vm = "a/b"`, "daemon.vm", 2, "is not a name"),
		Entry("host name", `"10.0.0.1:7000"`, `"localhost:7000"`, "listen.callers", 5, "IP address"),
		Entry("port 0", `"10.0.0.1:7000"`, `"10.0.0.1:0"`, "listen.callers", 5, "IP address and port"),
		Entry("port too large", `"10.0.0.1:7000"`, `"10.0.0.1:70000"`, "listen.callers", 5, "IP address and port"),
		Entry("same address for two listeners", `"10.0.0.1:7001"`, `"10.0.0.1:7000"`, "listen.operators", 6, "already used by listen.callers"),
		Entry("listener on all addresses with the same port", `"10.0.0.1:7001"`, `"0.0.0.0:7000"`, "listen.operators", 6, "already used by listen.callers"),
		Entry("https", `"http://10.0.0.9:9001"`, `"https://10.0.0.9:9001"`, "platform.objects_url", 10, "not an http URL"),
		Entry("URL with a host name", `"http://10.0.0.9:9001"`, `"http://store:9001"`, "platform.objects_url", 10, "must be an IP address"),
		Entry("URL with a wrong port", `"http://10.0.0.9:9001"`, `"http://10.0.0.9:99999"`, "platform.objects_url", 10, "port"),
		Entry("seed by name", `"10.0.0.2:7002"`, `"peer:7002"`, "peers.seeds", 14, "IP address"),
		Entry("seed of a wrong type", `["10.0.0.2:7002"]`, `[7002]`, "peers.seeds", 14, "must hold strings"),
		Entry("wrong unit", `[peers]`, "[peers]\nheartbeat_every = \"1 fortnight\"", "peers.heartbeat_every", 13, "not a duration"),
		Entry("out of range", `[daemon]`, "[limits]\nminion_slots = 0\n[daemon]", "limits.minion_slots", 2, "out of range"),
		Entry("integer overflow", `[daemon]`, "[limits]\nminion_slots = 0x7fffffffffffffff\n[daemon]", "limits.minion_slots", 2, "out of range"),
		Entry("confirmation above 2 s", `[daemon]`, "[timing]\nzone_confirmation = \"3s\"\n[daemon]", "timing.zone_confirmation", 2, "out of range"),
		Entry("lost_after below two heartbeats", `[peers]`, "[peers]\nlost_after = \"300ms\"", "peers.lost_after", 13, "at least 2 times"),
		Entry("too few connections", `[daemon]`, "[limits]\nmax_connections = 1\n[daemon]", "limits.max_connections", 2, "out of range"),
		Entry("too little memory for bodies", `[daemon]`, "[limits]\nbody_memory_bytes = 1000\n[daemon]", "limits.body_memory_bytes", 2, "out of range"),
		Entry("too little memory for jobs", `[daemon]`, "[limits]\njob_memory_bytes = 1000\n[daemon]", "limits.job_memory_bytes", 2, "out of range"),
		Entry("body timeout of 0", `[daemon]`, "[timing]\nbody_timeout = \"0s\"\n[daemon]", "timing.body_timeout", 2, "out of range"),
		Entry("unknown choice", `[daemon]`, "logs.level = \"loud\"\n[daemon]", "logs.level", 1, "not one of"),
		Entry("file exporter without a file", `[daemon]`, "traces = {exporter = \"file\"}\n[daemon]", "traces.file", 1, "needed"),
		Entry("hash too short", `"e3b0`, `"`, "operators.token_sha256", 16, "64 hex digits"),
		Entry("unknown table", `[daemon]`, "[deamon]\nx = 1\ny = 2\n[daemon]", "deamon", 1, "unknown table"),
		Entry("list of tables", `[operators]`, "[[traces]]\n[operators]", "traces", 15, "not a list of tables"),
		Entry("syntax", `zone = "Gällivare"`, "zone = \"Gällivare\"\nregion = ", "", 4, ""),
		Entry("key twice", `zone = "Gällivare"`, "zone = \"a\"\nzone = \"b\"", "daemon.zone", 3, "twice"),
	)
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a.b = {c = [1, {d = 2}]}\n[[x.y]]\nz = 1979-05-27"))
	f.Add([]byte("[daemon]\nvm = \"\\u0000\"\n[daemon.vm]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, problems := settings.Parse("f", text)
		if len(problems) == 0 && (s.Daemon.VM == "" || s.Listen.Peers == "" || s.Timing.PollEvery <= 0) {
			t.Fatalf("accepted settings without required keys: %+v", s)
		}
		for _, p := range problems {
			if p.Line < 1 || p.Message == "" {
				t.Fatalf("problem without line or message: %+v", p)
			}
		}
	})
}
