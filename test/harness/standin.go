package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/standin"
)

const (
	// readyTimeout bounds the wait for a process to become ready.
	readyTimeout = 20 * time.Second
	// adminTimeout bounds one call to the admin listener.
	adminTimeout = 10 * time.Second
)

// Standin is a process of the stand-in for the platform.
type Standin struct {
	*Process
	Addresses standin.Addresses
	http      *http.Client
}

// StartStandin writes the config to a file in dir, starts the process and waits
// until it listens.
func StartStandin(dir, name string, config standin.Config) (*Standin, error) {
	binaries, err := Build()
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(config)
	if err != nil {
		return nil, eris.Wrap(err, "encode config of the stand-in")
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, eris.Wrap(err, "write config of the stand-in")
	}
	process, err := Start(Command{Name: name, Path: binaries.Standin, Arguments: []string{file}, Dir: dir})
	if err != nil {
		return nil, err
	}
	s := &Standin{Process: process, http: &http.Client{Timeout: adminTimeout}}
	if err := s.awaitReady(); err != nil {
		_ = process.Stop()
		return nil, err
	}
	return s, nil
}

// Stop closes the idle admin connections and stops the process.
func (s *Standin) Stop() error {
	s.http.CloseIdleConnections()
	return s.Process.Stop()
}

func (s *Standin) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	line, err := s.WaitLine(ctx, `"ready":true`)
	if err != nil {
		return err
	}
	var ready struct {
		Addresses standin.Addresses `json:"addresses"`
	}
	if err := json.Unmarshal([]byte(line), &ready); err != nil {
		return eris.Wrap(err, "decode ready line of the stand-in")
	}
	s.Addresses = ready.Addresses
	return nil
}

// admin calls the admin listener and decodes the answer into result unless result
// is nil.
func (s *Standin) admin(method, path string, value, result any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode admin call")
	}
	r, err := http.NewRequest(method, "http://"+s.Addresses.Admin+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "admin call")
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := s.http.Do(r)
	if err != nil {
		return eris.Wrap(err, "admin call")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return eris.Wrap(err, "read admin answer")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("admin call %s %s: %s: %s", method, path, response.Status, answer)
	}
	if result == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(answer, result), "decode admin answer")
}

// SetFaults replaces the faults of a target, such as standin.TargetTable, "workers/ID"
// or "minions/ID".
func (s *Standin) SetFaults(target string, faults standin.Faults) error {
	return s.admin(http.MethodPut, standin.AdminFaults+"/"+target, faults, nil)
}

// ClearFaults removes all faults of a target.
func (s *Standin) ClearFaults(target string) error {
	return s.admin(http.MethodDelete, standin.AdminFaults+"/"+target, nil, nil)
}

// Tasks returns the history of each attempt of a task on a worker.
func (s *Standin) Tasks() (tasks []standin.TaskHistory, err error) {
	return tasks, s.admin(http.MethodGet, standin.AdminTasks, nil, &tasks)
}

// Executions returns the executions of all minions.
func (s *Standin) Executions() (executions []standin.Execution, err error) {
	return executions, s.admin(http.MethodGet, standin.AdminExecutions, nil, &executions)
}

// Minions returns the counters of all minions.
func (s *Standin) Minions() (counters []standin.MinionCounters, err error) {
	return counters, s.admin(http.MethodGet, standin.AdminMinions, nil, &counters)
}

// TableCounters returns the counters of the table service.
func (s *Standin) TableCounters() (counters standin.TableCounters, err error) {
	return counters, s.admin(http.MethodGet, standin.AdminTableCounters, nil, &counters)
}

// VMs returns the current VM list, without the configured lag.
func (s *Standin) VMs() (list api.VMList, err error) {
	return list, s.admin(http.MethodGet, standin.AdminVMs, nil, &list)
}

// PutVM adds or replaces a VM. If vm has no instance, the stand-in assigns a new one.
func (s *Standin) PutVM(vm api.VM) error {
	return s.admin(http.MethodPut, standin.AdminVMs+"/"+vm.ID, vm, nil)
}

// SetVMState sets the state of a VM in the list.
func (s *Standin) SetVMState(id string, state api.VMState) error {
	return s.admin(http.MethodPut, standin.AdminVMs+"/"+id+"/state", map[string]api.VMState{"state": state}, nil)
}

// RemoveVM removes a VM from the list.
func (s *Standin) RemoveVM(id string) error {
	return s.admin(http.MethodDelete, standin.AdminVMs+"/"+id, nil, nil)
}

// RestartWorker restarts a worker, which loses its tasks as in a crash.
func (s *Standin) RestartWorker(id string) error {
	return s.admin(http.MethodPost, standin.AdminWorkers+"/"+id+"/restart", nil, nil)
}
