package main

import (
	"fmt"
	"math"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"

	"github.com/samphirepath/samphirepath/internal/standin"
)

// The budgets of the target, per daemon.
const (
	cpuBudget  = 0.036   // share of a core
	rssBudget  = 256e6   // bytes
	sentBudget = 23_000  // bytes per second, sent and received together
	kilobyte   = 1_000.0 // bytes
	megabyte   = 1e6     // bytes
)

const (
	sentMetric     = "samphirepath_control_sent_bytes"
	receivedMetric = "samphirepath_control_received_bytes"
	callsMetric    = "samphirepath_calls"
	peerMessages   = "samphirepath_peers_sent_messages"
	peerReceived   = "samphirepath_peers_received_bytes"
	// minionChannel carries requests and is no control traffic.
	minionChannel = "minions"
)

// quantity is a figure of a daemon for which slopes are fitted.
type quantity struct {
	name   string
	budget float64
	of     func(usage) float64
	format string
	scale  float64
}

func quantities() []quantity {
	return []quantity{
		{"processor, % of a core", cpuBudget, func(u usage) float64 { return u.cpu }, "%.2f", 0.01},
		{"memory, MB", rssBudget, func(u usage) float64 { return u.rss }, "%.1f", megabyte},
		{"sent, KB/s", sentBudget, usage.sent, "%.2f", kilobyte},
		{"received, KB/s", sentBudget, usage.received, "%.2f", kilobyte},
		{"sent and received, KB/s", sentBudget, usage.traffic, "%.2f", kilobyte},
	}
}

func (u usage) sent() float64     { return u.sum(sentMetric) }
func (u usage) received() float64 { return u.sum(receivedMetric) }
func (u usage) traffic() float64  { return u.sent() + u.received() }

// sum adds the rates of all control channels.
func (u usage) sum(metric string) float64 {
	total := 0.0
	for name, rate := range u.rates {
		if strings.HasPrefix(name, metric+" ") && !strings.HasSuffix(name, " "+minionChannel) {
			total += rate
		}
	}
	return total
}

// most returns the largest value over the planning or the other daemons.
func (p point) most(of func(usage) float64, planning bool) float64 {
	most := math.Inf(-1)
	for _, u := range p.daemons {
		if u.planning == planning {
			most = max(most, of(u))
		}
	}
	return most
}

// slopeTable fits a line through the points of each series, for the busiest
// planning daemon and the busiest other one.
func slopeTable(all []series) string {
	var b strings.Builder
	b.WriteString("| varied | figure | daemon | measured at | values | slope per unit | intercept | R² | line at the target |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range all {
		for _, q := range quantities() {
			for _, planning := range []bool{true, false} {
				b.WriteString(slopeRow(s, q, planning))
			}
		}
	}
	return b.String()
}

func slopeRow(s series, q quantity, planning bool) string {
	var values []float64
	var shown, at []string
	for i, p := range s.points {
		v := p.most(q.of, planning) / q.scale
		values = append(values, v)
		shown = append(shown, fmt.Sprintf(q.format, v))
		at = append(at, fmt.Sprintf("%g", s.values[i]))
	}
	intercept, slope := stat.LinearRegression(s.values, values, nil, false)
	r2 := stat.RSquared(s.values, values, nil, intercept, slope)
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %.3g | %.3g | %.2f | "+q.format+" |\n",
		s.unit, q.name, role(planning), strings.Join(at, ", "), strings.Join(shown, ", "), slope, intercept, r2, intercept+slope*s.target)
}

func role(planning bool) string {
	if planning {
		return "planning"
	}
	return "other"
}

// targetTable compares the daemons of the target size with the budgets.
func targetTable(p point) string {
	var b strings.Builder
	b.WriteString("| figure | budget | planning daemons, mean (most) | other daemons, mean (most) | met |\n|---|---|---|---|---|\n")
	for _, q := range quantities() {
		planning, other := p.spreadOf(q, true), p.spreadOf(q, false)
		met := "yes"
		if max(p.most(q.of, true), p.most(q.of, false)) > q.budget {
			met = "no"
		}
		fmt.Fprintf(&b, "| %s | "+q.format+" | %s | %s | %s |\n", q.name, q.budget/q.scale, planning, other, met)
	}
	return b.String()
}

func (p point) spreadOf(q quantity, planning bool) string {
	var values []float64
	for _, u := range p.daemons {
		if u.planning == planning {
			values = append(values, q.of(u)/q.scale)
		}
	}
	if len(values) == 0 {
		return "none"
	}
	return fmt.Sprintf(q.format+" ("+q.format+")", stat.Mean(values, nil), slices.Max(values))
}

// channelTable splits the traffic and the calls of the busiest planning and
// other daemon by channel and kind.
func channelTable(p point) string {
	names := map[string]bool{}
	for _, u := range p.daemons {
		for name, rate := range u.rates {
			if rate > 0 && reported(name) {
				names[name] = true
			}
		}
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	var b strings.Builder
	b.WriteString("| counter, per second | planning daemon (most) | other daemon (most) |\n|---|---|---|\n")
	for _, name := range sorted {
		of := func(u usage) float64 { return u.rates[name] }
		fmt.Fprintf(&b, "| %s | %.2f | %.2f |\n", name, p.most(of, true), p.most(of, false))
	}
	b.WriteString("\n" + storeTable(p.table, p.seconds))
	return b.String()
}

func reported(name string) bool {
	for _, prefix := range []string{sentMetric, receivedMetric, callsMetric, peerMessages, peerReceived} {
		if strings.HasPrefix(name, prefix+" ") {
			return true
		}
	}
	return false
}

func storeTable(c standin.TableCounters, seconds float64) string {
	rate := func(n int64) float64 { return float64(n) / seconds }
	return fmt.Sprintf("| table service, all daemons together | per second |\n|---|---|\n"+
		"| reads of one row | %.1f |\n| listings | %.1f |\n| commits | %.1f |\n| bytes read, KB | %.1f |\n| bytes written, KB | %.1f |\n",
		rate(c.Gets), rate(c.Lists), rate(c.Commits), rate(c.ReadBytes)/kilobyte, rate(c.WrittenBytes)/kilobyte)
}

func subtract(a, b standin.TableCounters) standin.TableCounters {
	return standin.TableCounters{
		Gets: a.Gets - b.Gets, Lists: a.Lists - b.Lists, Commits: a.Commits - b.Commits,
		ReadBytes: a.ReadBytes - b.ReadBytes, WrittenBytes: a.WrittenBytes - b.WrittenBytes,
	}
}

// eventTable gives the times of single events at the target size.
func eventTable(p point) string {
	return fmt.Sprintf("| event at the target size | bound | samples | median | most |\n|---|---|---|---|---|\n"+
		"| a configuration change is in force on all daemons | 16 s | %s |\n| an urgent gang of 4 starts | 8.8 s | %s |\n"+
		"| an urgent gang of 4 starts whose planner was killed right before | 8.8 s | %s |\n",
		timesText(p.changing.spread), timesText(p.urgent), timesText([]time.Duration{p.takeover}))
}

// failureTable gives the cost of failures and operations at the target size.
func failureTable(events []event) string {
	var b strings.Builder
	b.WriteString("| event | outcome | time | reads of a row | listings | commits | KB read |\n|---|---|---|---|---|---|---|\n")
	for _, e := range events {
		fmt.Fprintf(&b, "| %s | %s | %s | %d | %d | %d | %.0f |\n", e.name, e.outcome, e.took.Round(10*time.Millisecond),
			e.table.Gets, e.table.Lists, e.table.Commits, float64(e.table.ReadBytes)/kilobyte)
	}
	return b.String()
}

func timesText(times []time.Duration) string {
	if len(times) == 0 {
		return "0 | - | -"
	}
	sorted := slices.Sorted(slices.Values(times))
	return fmt.Sprintf("%d | %s | %s", len(sorted), sorted[len(sorted)/2].Round(time.Millisecond), sorted[len(sorted)-1].Round(time.Millisecond))
}

// tables are the generated parts of the page, each between two marks.
type tables struct{ Header, Slopes, Target, Channels, Events, Failures string }

func (t tables) parts() map[string]string {
	return map[string]string{"header": t.Header + "\n", "slopes": t.Slopes, "target": t.Target, "channels": t.Channels, "events": t.Events, "failures": t.Failures}
}

func (t tables) text() string {
	return strings.Join([]string{t.Header, t.Target, t.Events, t.Failures, t.Channels, t.Slopes}, "\n")
}

// write replaces the parts of the page between <!-- NAME --> and <!-- /NAME -->.
func (t tables) write(page string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return eris.Wrap(err, "read page")
	}
	text := string(data)
	for name, part := range t.parts() {
		begin, end := "<!-- "+name+" -->", "<!-- /"+name+" -->"
		i, j := strings.Index(text, begin), strings.Index(text, end)
		if i < 0 || j < i {
			return eris.Errorf("page %s has no marks for %s", page, name)
		}
		text = text[:i+len(begin)] + "\n" + part + text[j:]
	}
	return eris.Wrap(os.WriteFile(page, []byte(text), 0o644), "write page")
}
