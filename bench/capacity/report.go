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

// Budgets per daemon at the target size, and units of the tables.
const (
	cpuBudget     = 0.036   // share of a core
	rssBudget     = 256e6   // bytes
	trafficBudget = 23_000  // bytes per second, sent and received in total
	kilobyte      = 1_000.0 // bytes
	megabyte      = 1e6     // bytes
)

const (
	sentMetric     = "samphirepath_control_sent_bytes"
	receivedMetric = "samphirepath_control_received_bytes"
	callsMetric    = "samphirepath_calls"
	peerMessages   = "samphirepath_peers_sent_messages"
	peerReceived   = "samphirepath_peers_received_bytes"
	// minionChannel is the channel of requests, which are not control traffic.
	minionChannel = "minions"
)

// quantity is a measured value of a daemon that is compared with its budget and fitted
// with a line.
type quantity struct {
	name   string
	budget float64
	value  func(usage) float64
	format string
	scale  float64
}

func quantities() []quantity {
	return []quantity{
		{"processor, % of a core", cpuBudget, func(u usage) float64 { return u.cpu }, "%.2f", 0.01},
		{"memory, MB", rssBudget, func(u usage) float64 { return u.rss }, "%.1f", megabyte},
		{"sent, KB/s", trafficBudget, usage.sent, "%.2f", kilobyte},
		{"received, KB/s", trafficBudget, usage.received, "%.2f", kilobyte},
		{"sent and received, KB/s", trafficBudget, usage.traffic, "%.2f", kilobyte},
	}
}

func (u usage) sent() float64     { return u.sum(sentMetric) }
func (u usage) received() float64 { return u.sum(receivedMetric) }
func (u usage) traffic() float64  { return u.sent() + u.received() }

// sum returns the total rate of the metric over all control channels.
func (u usage) sum(metric string) float64 {
	total := 0.0
	for name, rate := range u.rates {
		if strings.HasPrefix(name, metric+" ") && !strings.HasSuffix(name, " "+minionChannel) {
			total += rate
		}
	}
	return total
}

// maxOf returns the largest value among the planning daemons or among the others.
func (p point) maxOf(value func(usage) float64, planning bool) float64 {
	largest := math.Inf(-1)
	for _, u := range p.daemons {
		if u.planning == planning {
			largest = max(largest, value(u))
		}
	}
	return largest
}

// slopeTable fits a line to the points of each series, separately for the busiest
// planning daemon and the busiest other daemon.
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
	var formatted, measuredAt []string
	for i, p := range s.points {
		v := p.maxOf(q.value, planning) / q.scale
		values = append(values, v)
		formatted = append(formatted, fmt.Sprintf(q.format, v))
		measuredAt = append(measuredAt, fmt.Sprintf("%g", s.values[i]))
	}
	intercept, slope := stat.LinearRegression(s.values, values, nil, false)
	r2 := stat.RSquared(s.values, values, nil, intercept, slope)
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %.3g | %.3g | %.2f | "+q.format+" |\n",
		s.unit, q.name, role(planning), strings.Join(measuredAt, ", "), strings.Join(formatted, ", "), slope, intercept, r2, intercept+slope*s.target)
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
		planning, other := p.meanAndMaxOf(q, true), p.meanAndMaxOf(q, false)
		met := "yes"
		if max(p.maxOf(q.value, true), p.maxOf(q.value, false)) > q.budget {
			met = "no"
		}
		fmt.Fprintf(&b, "| %s | "+q.format+" | %s | %s | %s |\n", q.name, q.budget/q.scale, planning, other, met)
	}
	return b.String()
}

// meanAndMaxOf formats the mean over the planning or the other daemons, with the
// maximum in parentheses.
func (p point) meanAndMaxOf(q quantity, planning bool) string {
	var values []float64
	for _, u := range p.daemons {
		if u.planning == planning {
			values = append(values, q.value(u)/q.scale)
		}
	}
	if len(values) == 0 {
		return "none"
	}
	return fmt.Sprintf(q.format+" ("+q.format+")", stat.Mean(values, nil), slices.Max(values))
}

// channelTable breaks down traffic and calls by channel and kind, each with the largest
// value of a planning and of another daemon, and adds the calls of the table service.
func channelTable(p point) string {
	names := map[string]bool{}
	for _, u := range p.daemons {
		for name, rate := range u.rates {
			if rate > 0 && isReported(name) {
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
		value := func(u usage) float64 { return u.rates[name] }
		fmt.Fprintf(&b, "| %s | %.2f | %.2f |\n", name, p.maxOf(value, true), p.maxOf(value, false))
	}
	b.WriteString("\n" + tableServiceRates(p.table, p.seconds))
	return b.String()
}

// isReported reports whether the series belongs to channelTable.
func isReported(name string) bool {
	for _, prefix := range []string{sentMetric, receivedMetric, callsMetric, peerMessages, peerReceived} {
		if strings.HasPrefix(name, prefix+" ") {
			return true
		}
	}
	return false
}

// tableServiceRates lists the calls and bytes of the table service per second.
func tableServiceRates(c standin.TableCounters, seconds float64) string {
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

// eventTable lists the times of configuration changes and urgent starts at the target
// size, with their bounds.
func eventTable(p point) string {
	return fmt.Sprintf("| event at the target size | bound | samples | median | most |\n|---|---|---|---|---|\n"+
		"| a configuration change is in force on all daemons | 16 s | %s |\n| an urgent gang of 4 starts | 8.8 s | %s |\n"+
		"| an urgent gang of 4 starts whose planner was killed right before | 8.8 s | %s |\n",
		timesCells(p.withChanges.propagation), timesCells(p.urgentStarts), timesCells([]time.Duration{p.takeoverStart}))
}

// disruptionTable lists the time of each disruption at the target size and its cost at
// the table service.
func disruptionTable(disruptions []disruption) string {
	var b strings.Builder
	b.WriteString("| event | outcome | time | reads of a row | listings | commits | KB read |\n|---|---|---|---|---|---|---|\n")
	for _, d := range disruptions {
		fmt.Fprintf(&b, "| %s | %s | %s | %d | %d | %d | %.0f |\n", d.name, d.outcome, d.elapsed.Round(10*time.Millisecond),
			d.table.Gets, d.table.Lists, d.table.Commits, float64(d.table.ReadBytes)/kilobyte)
	}
	return b.String()
}

// timesCells returns the table cells for the number of times, their median and maximum.
func timesCells(times []time.Duration) string {
	if len(times) == 0 {
		return "0 | - | -"
	}
	sorted := slices.Sorted(slices.Values(times))
	return fmt.Sprintf("%d | %s | %s", len(sorted), sorted[len(sorted)/2].Round(time.Millisecond), sorted[len(sorted)-1].Round(time.Millisecond))
}

// tables holds the generated sections of the page. Each section stands between a pair
// of markers.
type tables struct{ Header, Slopes, Target, Channels, Events, Disruptions string }

func (t tables) sections() map[string]string {
	return map[string]string{"header": t.Header + "\n", "slopes": t.Slopes, "target": t.Target, "channels": t.Channels, "events": t.Events, "failures": t.Disruptions}
}

func (t tables) text() string {
	return strings.Join([]string{t.Header, t.Target, t.Events, t.Disruptions, t.Channels, t.Slopes}, "\n")
}

// write replaces each section of the page between its markers <!-- NAME --> and
// <!-- /NAME -->.
func (t tables) write(page string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return eris.Wrap(err, "read page")
	}
	text := string(data)
	for name, section := range t.sections() {
		begin, end := "<!-- "+name+" -->", "<!-- /"+name+" -->"
		i, j := strings.Index(text, begin), strings.Index(text, end)
		if i < 0 || j < i {
			return eris.Errorf("page %s lacks the markers of section %s", page, name)
		}
		text = text[:i+len(begin)] + "\n" + section + text[j:]
	}
	return eris.Wrap(os.WriteFile(page, []byte(text), 0o644), "write page")
}
