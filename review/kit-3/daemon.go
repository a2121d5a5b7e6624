package kit

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Daemon is a process of the project's daemon, started as deploy/system.toml says.
type Daemon struct {
	Name  string
	Front string

	ready    string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// settingsText has the settings of bbn-samphire, as `fleetbench wire` prints them.
const settingsText = `node=%[1]s
role=scheduler
machine_class=edge
serves=edge
ip=127.0.0.1
zone=%[2]s
region=norrbotten
zones.kiruna=norrbotten
zones.gallivare=norrbotten
zones.jokkmokk=norrbotten
zones.pajala=norrbotten
listen.front=%[3]s
listen.ready=%[4]s
port_range=%[5]d,%[6]d
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.evac_ms=5000
bounds.recover_s=12
bounds.max_hold_ms=6000
bounds.stop_ms=200
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.reclaim_ms=2700
orders=rpc
platform.address=%[7]s
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.tx_ms=8.0
platform.part_writes_s=150
platform.row_bytes=65536
platform.across=false
platform.history_s=20
`

// NewDaemon writes the settings of a daemon, which uses ten ports from a free one on.
func NewDaemon(dir, name, zone, storeAddress string) (*Daemon, error) {
	first, err := freePorts()
	if err != nil {
		return nil, err
	}
	address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	d := &Daemon{Name: name, Front: address(first), ready: address(first + 1), settings: filepath.Join(dir, name+".conf")}
	text := fmt.Sprintf(settingsText, name, zone, d.Front, d.ready, first+2, first+portsOfDaemon-1, storeAddress)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.log, err = os.Create(filepath.Join(dir, name+".log"))
	return d, err
}

// portsOfDaemon is the number of ports of a daemon, and nextPort where the search for those of the
// next one begins, so that daemons that do not listen yet keep theirs. It is 0 at first.
const portsOfDaemon = 10

var nextPort int

// freePorts returns the first of some ports in a row that are free. They are below those that the
// system gives to connections.
func freePorts() (int, error) {
	const lowest, number, tries = 12000, 18000, 500
	if nextPort == 0 {
		nextPort = lowest + rand.Intn(number)
	}
	for range tries {
		first := nextPort
		if nextPort += portsOfDaemon; nextPort >= lowest+number {
			nextPort = lowest
		}
		if portsFree(first, portsOfDaemon) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", portsOfDaemon)
}

func portsFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// Start starts the process.
func (d *Daemon) Start() error {
	d.cmd = exec.Command("target/samphirepathd", "platform")
	d.cmd.Env = []string{"SAMPHIREPATH_CONFIG=" + d.settings}
	for _, variable := range os.Environ() {
		if strings.HasPrefix(variable, "PATH=") || strings.HasPrefix(variable, "HOME=") || strings.HasPrefix(variable, "LANG=") {
			d.cmd.Env = append(d.cmd.Env, variable)
		}
	}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), d.cmd
	d.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Kill kills the process and waits for its end.
func (d *Daemon) Kill() {
	if d.exited == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// AwaitReady waits until the daemon reports itself ready.
func (d *Daemon) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", d.Name, limit)
}
