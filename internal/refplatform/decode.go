package refplatform

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/table"
)

// decodeRow decodes a row and checks that it is the requested one.
func decodeRow(body []byte, key string) (table.Row, error) {
	var row api.TableRow
	if err := json.Unmarshal(body, &row); err != nil {
		return table.Row{}, eris.Wrap(err, "decode row")
	}
	if row.Key != key {
		return table.Row{}, eris.Errorf("row %q was answered instead of %q", row.Key, key)
	}
	if row.Version <= 0 {
		return table.Row{}, eris.Errorf("row %q has version %d", row.Key, row.Version)
	}
	return table.Row(row), nil
}

// decodeListing decodes a listing. It checks that every row and deletion has the
// prefix, and that the version of every row is above since and not above the version
// of the listing.
func decodeListing(body []byte, prefix string, since int64) (table.Listing, error) {
	var list api.TableList
	if err := json.Unmarshal(body, &list); err != nil {
		return table.Listing{}, eris.Wrap(err, "decode listing")
	}
	if list.Version < 0 || list.Rows == nil {
		return table.Listing{}, eris.New("listing has no rows or version")
	}
	rows := make([]table.Row, 0, len(list.Rows))
	for _, row := range list.Rows {
		if !strings.HasPrefix(row.Key, prefix) || row.Version <= since || row.Version > list.Version {
			return table.Listing{}, eris.Errorf("row %q with version %d does not belong to the listing", row.Key, row.Version)
		}
		rows = append(rows, table.Row(row))
	}
	for _, key := range list.Deleted {
		if !strings.HasPrefix(key, prefix) {
			return table.Listing{}, eris.Errorf("deletion of %q does not belong to the listing", key)
		}
	}
	return table.Listing{Rows: rows, Deleted: list.Deleted, Version: list.Version}, nil
}

// decodeCommitted returns the version of a commit. The version is required, so that
// an empty object does not count as a commit.
func decodeCommitted(body []byte) (int64, error) {
	var committed struct {
		Version *int64 `json:"version"`
	}
	if err := json.Unmarshal(body, &committed); err != nil {
		return 0, eris.Wrap(err, "decode commit answer")
	}
	if committed.Version == nil || *committed.Version < 0 {
		return 0, eris.New("commit answer has no version")
	}
	return *committed.Version, nil
}

// decodeConflict returns the keys of a conflict, of which there must be at least one.
func decodeConflict(body []byte) ([]string, error) {
	var conflict api.TableConflict
	if err := json.Unmarshal(body, &conflict); err != nil {
		return nil, eris.Wrap(err, "decode conflict")
	}
	if len(conflict.Keys) == 0 {
		return nil, eris.New("conflict names no key")
	}
	return conflict.Keys, nil
}

// decodeVMs decodes a VM list. It rejects the whole list if one entry is malformed,
// because an omitted entry would look like a VM that has left.
func decodeVMs(body []byte) (api.VMList, error) {
	var list api.VMList
	if err := json.Unmarshal(body, &list); err != nil {
		return api.VMList{}, eris.Wrap(err, "decode VM list")
	}
	if list.Vms == nil {
		return api.VMList{}, eris.New("VM list has no VMs")
	}
	ids := make(map[string]bool, len(list.Vms))
	for _, vm := range list.Vms {
		if err := checkVM(vm); err != nil {
			return api.VMList{}, err
		}
		if ids[vm.ID] {
			return api.VMList{}, eris.Errorf("VM %q is listed twice", vm.ID)
		}
		ids[vm.ID] = true
	}
	return list, nil
}

func checkVM(vm api.VM) error {
	if vm.ID == "" || vm.Instance == "" || vm.Zone == "" {
		return eris.Errorf("VM %q lacks its identifier, instance or zone", vm.ID)
	}
	if !vm.Kind.Valid() || !vm.State.Valid() {
		return eris.Errorf("VM %q has kind %q and state %q", vm.ID, vm.Kind, vm.State)
	}
	if _, err := netip.ParseAddrPort(vm.Address); err != nil {
		return eris.Errorf("VM %q has address %q", vm.ID, vm.Address)
	}
	return nil
}

// decodeReport decodes and validates the report of a worker.
func decodeReport(body []byte) (api.WorkerReport, error) {
	var report api.WorkerReport
	if err := json.Unmarshal(body, &report); err != nil {
		return api.WorkerReport{}, eris.Wrap(err, "decode worker report")
	}
	if report.WorkerID == "" || report.Instance == "" {
		return api.WorkerReport{}, eris.New("worker report lacks its identifier or instance")
	}
	if report.Cores < 0 || report.MemoryMb < 0 || report.Accelerators < 0 {
		return api.WorkerReport{}, eris.New("worker report has a negative capacity")
	}
	return report, checkTasks(report.Tasks)
}

// decodeTasks decodes and validates the task reports in the answer to a renewal or
// an action.
func decodeTasks(body []byte) ([]api.TaskReport, error) {
	reports, err := decodeReports(body)
	return reports.Tasks, err
}

func decodeReports(body []byte) (api.TaskReports, error) {
	var reports api.TaskReports
	if err := json.Unmarshal(body, &reports); err != nil {
		return api.TaskReports{}, eris.Wrap(err, "decode task reports")
	}
	if reports.Tasks == nil {
		return api.TaskReports{}, eris.New("answer lacks the list of task reports")
	}
	if err := checkTasks(reports.Tasks); err != nil {
		return api.TaskReports{}, err
	}
	return reports, nil
}

// decodeSetAnswer decodes the answer to the renewal of a task set and checks that it
// is about this set. An answer about another set would be misread, because tasks that
// an answer omits count as running.
func decodeSetAnswer(body []byte, set *api.RenewSet) (api.TaskReports, error) {
	reports, err := decodeReports(body)
	if err != nil || set == nil {
		return reports, err
	}
	if reports.Set != "" && reports.Set != set.Hash {
		return api.TaskReports{}, eris.Errorf("answer is about set %q instead of %q", reports.Set, set.Hash)
	}
	if reports.Set != "" && reports.UnknownSet {
		return api.TaskReports{}, eris.Errorf("answer renews set %q and also reports it as unknown", reports.Set)
	}
	return reports, nil
}

func checkTasks(tasks []api.TaskReport) error {
	for _, task := range tasks {
		if err := checkTask(task); err != nil {
			return err
		}
	}
	return nil
}

func checkTask(task api.TaskReport) error {
	if task.TaskID == "" || !task.State.Valid() {
		return eris.Errorf("task %q has state %q", task.TaskID, task.State)
	}
	if (task.State == api.TaskStateEnded) != (task.Exit != "") || (task.Exit != "" && !task.Exit.Valid()) {
		return eris.Errorf("task %q in state %q has exit %q", task.TaskID, task.State, task.Exit)
	}
	return nil
}

// decodeStart decodes the answer to a start. The field accepted is required, and the
// task in the answer must be the one that was to be started.
func decodeStart(body []byte, taskID string) (api.StartReply, error) {
	var present struct {
		Accepted *bool `json:"accepted"`
	}
	if err := json.Unmarshal(body, &present); err != nil {
		return api.StartReply{}, eris.Wrap(err, "decode start answer")
	}
	if present.Accepted == nil {
		return api.StartReply{}, eris.New("start answer does not say whether the task is accepted")
	}
	var reply api.StartReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return api.StartReply{}, eris.Wrap(err, "decode start answer")
	}
	if reply.Task == nil {
		return reply, nil
	}
	if reply.Task.TaskID != taskID {
		return api.StartReply{}, eris.Errorf("start answer is about task %q instead of %q", reply.Task.TaskID, taskID)
	}
	return reply, checkTask(*reply.Task)
}
