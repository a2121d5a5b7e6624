// Package standin simulates the reference platform (package refplatform) for tests and
// the demo: the table service, the object store, the VM list with its lag, workers and
// minions. An admin listener injects faults and returns what the services recorded.
package standin

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
)

// Defaults of a minion and of the listeners.
const (
	DefaultSlots         = 8
	DefaultConnections   = 64
	DefaultListenAddress = "127.0.0.1:0"
)

// Config describes what one process hosts. A service without a section is not hosted.
type Config struct {
	// Seed makes random faults reproducible.
	Seed  uint64         `toml:"seed" json:"seed"`
	Admin ListenerConfig `toml:"admin" json:"admin"`

	Table   *TableConfig    `toml:"table" json:"table"`
	Objects *ListenerConfig `toml:"objects" json:"objects"`
	VMs     *VMsConfig      `toml:"vms" json:"vms"`

	// ObjectsURL is the URL of the workers' object store if this process hosts none.
	ObjectsURL string         `toml:"objects_url" json:"objects_url"`
	Workers    []WorkerConfig `toml:"workers" json:"workers"`
	Minions    []MinionConfig `toml:"minions" json:"minions"`

	// Logger and Scope may be nil: logs or metrics are then discarded.
	Logger *zap.Logger `toml:"-" json:"-"`
	Scope  tally.Scope `toml:"-" json:"-"`
}

// ListenerConfig holds the address of a listener. Port 0 selects a free port.
type ListenerConfig struct {
	Listen string `toml:"listen" json:"listen"`
}

// TableConfig describes the table service. A rate of 0 means no limit. Calls above the
// rate are delayed, not rejected.
type TableConfig struct {
	Listen          string  `toml:"listen" json:"listen"`
	ReadsPerSecond  float64 `toml:"reads_per_second" json:"reads_per_second"`
	WritesPerSecond float64 `toml:"writes_per_second" json:"writes_per_second"`
}

// VMsConfig describes the VM list. It also contains all hosted workers and minions.
type VMsConfig struct {
	Listen string `toml:"listen" json:"listen"`
	// Lag is the time after which a change of the VMs appears in the list.
	Lag api.Duration `toml:"lag" json:"lag"`
	// Initial lists further VMs, such as entry VMs.
	Initial []VMConfig `toml:"initial" json:"initial"`
}

// VMConfig is a VM of the initial list.
type VMConfig struct {
	ID       string     `toml:"id" json:"id"`
	Kind     api.VMKind `toml:"kind" json:"kind"`
	Zone     string     `toml:"zone" json:"zone"`
	Rack     string     `toml:"rack" json:"rack"`
	Address  string     `toml:"address" json:"address"`
	Instance string     `toml:"instance" json:"instance"`
}

// WorkerConfig describes a worker, or with Count a group of identical ones.
type WorkerConfig struct {
	ID           string `toml:"id" json:"id"`
	Listen       string `toml:"listen" json:"listen"`
	Zone         string `toml:"zone" json:"zone"`
	Rack         string `toml:"rack" json:"rack"`
	Cores        int    `toml:"cores" json:"cores"`
	MemoryMB     int64  `toml:"memory_mb" json:"memory_mb"`
	Accelerators int    `toml:"accelerators" json:"accelerators"`
	Model        string `toml:"model" json:"model"`
	// Count creates the workers ID-1 to ID-Count; 0 means one worker with the name ID.
	Count int `toml:"count" json:"count"`
	// PerRack is the number of workers of the group in each of the racks Rack-1, Rack-2, ...;
	// 0 means that all are in Rack.
	PerRack int `toml:"per_rack" json:"per_rack"`
}

// MinionConfig describes a minion, or with Count a group of identical ones.
type MinionConfig struct {
	ID          string `toml:"id" json:"id"`
	Listen      string `toml:"listen" json:"listen"`
	Zone        string `toml:"zone" json:"zone"`
	Rack        string `toml:"rack" json:"rack"`
	Slots       int    `toml:"slots" json:"slots"`             // 0 means DefaultSlots
	Connections int    `toml:"connections" json:"connections"` // 0 means DefaultConnections
	// Count creates the minions ID-1 to ID-Count; 0 means one minion with the name ID.
	Count int `toml:"count" json:"count"`
}

// ParseConfig parses a config, as JSON if the file name ends in .json and as TOML
// otherwise. Unknown keys are errors.
func ParseConfig(name string, data []byte) (Config, error) {
	var c Config
	var err error
	if filepath.Ext(name) == ".json" {
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(&c)
	} else {
		err = toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&c)
	}
	if err != nil {
		return Config{}, eris.Wrapf(err, "read config %s", name)
	}
	return c, nil
}

// expandGroups replaces each group by its members, fills in defaults and checks that
// identifiers are unique.
func (c Config) expandGroups() (Config, error) {
	var workers []WorkerConfig
	for _, w := range c.Workers {
		workers = append(workers, w.expand()...)
	}
	var minions []MinionConfig
	for _, m := range c.Minions {
		minions = append(minions, m.expand()...)
	}
	c.Workers, c.Minions = workers, minions
	return c, c.checkIDs()
}

// checkIDs checks that no identifier of a VM is empty or used twice.
func (c Config) checkIDs() error {
	used := map[string]bool{}
	check := func(id string) error {
		if id == "" || used[id] {
			return eris.Errorf("VM identifier %q is empty or used twice", id)
		}
		used[id] = true
		return nil
	}
	for _, w := range c.Workers {
		if err := check(w.ID); err != nil {
			return err
		}
	}
	for _, m := range c.Minions {
		if err := check(m.ID); err != nil {
			return err
		}
	}
	if c.VMs == nil {
		return nil
	}
	for _, vm := range c.VMs.Initial {
		if err := check(vm.ID); err != nil {
			return err
		}
	}
	return nil
}

func (w WorkerConfig) expand() []WorkerConfig {
	w.Listen = cmp.Or(w.Listen, DefaultListenAddress)
	if w.Count == 0 {
		return []WorkerConfig{w}
	}
	group := make([]WorkerConfig, 0, w.Count)
	for i := range w.Count {
		member := w
		member.Count, member.ID = 0, fmt.Sprintf("%s-%d", w.ID, i+1)
		if w.PerRack > 0 {
			member.Rack = fmt.Sprintf("%s-%d", w.Rack, i/w.PerRack+1)
		}
		group = append(group, member)
	}
	return group
}

func (m MinionConfig) expand() []MinionConfig {
	m.Listen = cmp.Or(m.Listen, DefaultListenAddress)
	m.Slots = cmp.Or(m.Slots, DefaultSlots)
	m.Connections = cmp.Or(m.Connections, DefaultConnections)
	if m.Count == 0 {
		return []MinionConfig{m}
	}
	group := make([]MinionConfig, 0, m.Count)
	for i := range m.Count {
		member := m
		member.Count, member.ID = 0, fmt.Sprintf("%s-%d", m.ID, i+1)
		group = append(group, member)
	}
	return group
}
