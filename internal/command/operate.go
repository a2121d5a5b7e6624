package command

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/samphirepath/samphirepath/api"
)

type zoneCommands struct {
	List zoneList `cmd:"" help:"List zones with their state."`
	Out  zoneOut  `cmd:"" help:"Take a zone out of service: its tasks are checkpointed and stopped, nothing new starts."`
	In   zoneIn   `cmd:"" help:"Bring a zone back into service."`
}

type zoneList struct{}

// Run lists zones.
func (c *zoneList) Run(env *environment) error {
	current, err := env.configuration()
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(current.Head.Zones))
	for _, zone := range current.Head.Zones {
		rows = append(rows, []string{zone.Name, string(zone.State), formatTime(zone.ChangedMs), orDash(zone.ChangedBy), orDash(zone.Reason)})
	}
	return env.printValue(current.Head.Zones, "ZONE STATE CHANGED BY REASON", rows)
}

type zoneChange struct {
	Zone     string `arg:"" help:"Name of the zone."`
	Reason   string `help:"Why; shown to other operators."`
	By       string `help:"Who; the name of the user by default." env:"SAMPHIREPATH_OPERATOR"`
	Expected int64  `help:"Change only if this is the current revision; 0 sets no condition."`
}

func (c *zoneChange) change(env *environment, state api.ZoneState) error {
	head, err := decodeResponse[api.ConfigurationHead](env.client.ChangeZone(env.ctx, c.Zone, api.ZoneChange{
		State: state, ChangedBy: operatorName(c.By), Reason: c.Reason, ExpectedRevision: c.Expected,
	}))
	if err != nil {
		return err
	}
	env.printLine("Zone %s is %s from revision %d on.", c.Zone, state, head.Revision)
	if env.asJSON {
		return env.printJSON(head)
	}
	return nil
}

type zoneOut struct{ zoneChange }

// Run takes the zone out of service.
func (c *zoneOut) Run(env *environment) error { return c.change(env, api.Out) }

type zoneIn struct{ zoneChange }

// Run brings the zone back into service.
func (c *zoneIn) Run(env *environment) error { return c.change(env, api.In) }

type workerCommands struct {
	List workerList `cmd:"" help:"List workers of the zone of the daemon."`
}

type workerList struct{}

// Run lists workers.
func (c *workerList) Run(env *environment) error {
	list, err := decodeResponse[api.WorkerList](env.client.ListWorkers(env.ctx))
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(list.Workers))
	for _, w := range list.Workers {
		free := fmt.Sprintf("%d/%d", w.AcceleratorsFree, w.Accelerators)
		rows = append(rows, []string{w.ID, w.Zone, w.Rack, w.State, free, orDash(w.Reason)})
	}
	return env.printValue(list, "WORKER ZONE RACK STATE FREE REASON", rows)
}

type minionCommands struct {
	List minionList `cmd:"" help:"List minions known to the daemon."`
}

type minionList struct{}

// Run lists minions.
func (c *minionList) Run(env *environment) error {
	list, err := decodeResponse[api.MinionList](env.client.ListMinions(env.ctx))
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(list.Minions))
	for _, m := range list.Minions {
		busy := fmt.Sprintf("%d/%d", m.SlotsBusy, m.Slots)
		rows = append(rows, []string{m.ID, m.Zone, m.State, orDash(m.Owner), busy, orDash(m.Reason)})
	}
	return env.printValue(list, "MINION ZONE STATE OWNER BUSY REASON", rows)
}

type statusCommand struct{}

// Run shows the status of the daemon that answers.
func (c *statusCommand) Run(env *environment) error {
	status, err := decodeResponse[api.Status](env.client.GetStatus(env.ctx))
	if err != nil {
		return err
	}
	if env.asJSON {
		return env.printJSON(status)
	}
	env.printLine("%s in zone %s, ready %t, revision %d", status.VM, status.Zone, status.Ready, status.Revision)
	env.printLine("planner of the zone: %s, epoch %d", orDash(status.Planner), status.PlannerEpoch)
	env.printLine("table service reachable: %t, last answer %d ms ago", status.StoreReachable, status.StoreAgeMs)
	env.printLine("jobs of the zone: %s", formatCounts(status.Jobs))
	rows := make([][]string, 0, len(status.Peers))
	for _, p := range status.Peers {
		rows = append(rows, []string{p.VM, p.Zone, p.State, strconv.FormatInt(p.Revision, 10), fmt.Sprintf("%dms", p.AgeMs)})
	}
	return env.printValue(nil, "PEER ZONE STATE REVISION AGE", rows)
}

func formatCounts(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(counts))
	for state, count := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", count, state))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

type explainCommand struct {
	Subject string `arg:"" help:"Job identifier, request key or organisation."`
}

// Run prints the explanation, one sentence on each line.
func (c *explainCommand) Run(env *environment) error {
	explanation, err := decodeResponse[api.Explanation](env.client.Explain(env.ctx, c.Subject))
	if err != nil {
		return err
	}
	if env.asJSON {
		return env.printJSON(explanation)
	}
	for _, sentence := range explanation.Sentences {
		env.printLine("%s", sentence)
	}
	return nil
}
