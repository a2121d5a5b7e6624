package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"

	"github.com/samphirepath/samphirepath/api"
)

// workerChannel is the label value of the control channel that carries lease renewals.
const workerChannel = "workers"

// fullFormTable compares lease renewals in the set form, which identify the tasks by the
// hash of their set, with those in the full form, which list every task.
func fullFormTable(p point) string {
	if p.withFullForm == nil {
		return ""
	}
	rows := []struct {
		name   string
		value  func(usage) float64
		format string
		scale  float64
	}{
		{"processor, % of a core", func(u usage) float64 { return u.cpu }, "%.2f", 0.01},
		{"sent to workers, KB/s", func(u usage) float64 { return u.rates[sentMetric+" "+workerChannel] }, "%.2f", kilobyte},
		{"received from workers, KB/s", func(u usage) float64 { return u.rates[receivedMetric+" "+workerChannel] }, "%.2f", kilobyte},
		{"sent and received in all, KB/s", usage.traffic, "%.2f", kilobyte},
	}
	var b strings.Builder
	b.WriteString("| figure, all daemons, mean (most) | renewals of sets | renewals in the full form |\n|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", r.name, meanAndMax(p.daemons, r.value, r.format, r.scale), meanAndMax(p.withFullForm.daemons, r.value, r.format, r.scale))
	}
	return b.String()
}

// meanAndMax formats the mean over the daemons, with the maximum in parentheses.
func meanAndMax(daemons []usage, value func(usage) float64, format string, scale float64) string {
	values := make([]float64, 0, len(daemons))
	for _, u := range daemons {
		values = append(values, value(u)/scale)
	}
	return fmt.Sprintf(format+" ("+format+")", stat.Mean(values, nil), slices.Max(values))
}

// changeTable formats the cost of one catalogue change for each daemon: messages,
// and traffic above that of the baseline without changes.
func changeTable(baseline, p point) string {
	if len(p.propagation) == 0 {
		return ""
	}
	perChange := func(name string) func(usage) float64 {
		return func(u usage) float64 { return u.rates[name] * p.seconds / float64(len(p.propagation)) }
	}
	body := catalogueBytes(p.size)
	var b strings.Builder
	fmt.Fprintf(&b, "| per change of the catalogue (%.1f KB between daemons), each daemon, mean (most) | |\n|---|---|\n", body/kilobyte)
	for _, row := range []struct {
		name, metric string
		scale        float64
	}{
		{"configurations taken", "samphirepath_configuration_revisions_taken", 1},
		{"requests to peers", peerMessages + " configuration_request", 1},
		{"bodies received from peers", peerReceived + " configuration", body},
	} {
		fmt.Fprintf(&b, "| %s | %s |\n", row.name, meanAndMax(p.daemons, perChange(row.metric), "%.2f", row.scale))
	}
	meanTraffic := func(daemons []usage) float64 {
		total := 0.0
		for _, u := range daemons {
			total += u.traffic()
		}
		return total / float64(len(daemons))
	}
	cost := (meanTraffic(p.daemons) - meanTraffic(baseline.daemons)) * p.seconds / float64(len(p.propagation))
	fmt.Fprintf(&b, "| sent and received beyond the load at rest, KB | %.1f |\n| the same for 560 changes a day, KB/s | %.3f |\n",
		cost/kilobyte, cost/kilobyte*560/86400)
	return b.String()
}

// catalogueBytes returns the encoded size of the catalogue in a message between daemons.
func catalogueBytes(s size) float64 {
	data, err := cbor.Marshal(api.Configuration{Catalogue: s.catalogue(100)})
	if err != nil {
		panic(eris.Wrap(err, "capacity: encode the catalogue"))
	}
	return float64(len(data))
}
