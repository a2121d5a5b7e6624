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

// workerChannel carries renewals.
const workerChannel = "workers"

// fullFormTable compares the set form of renewals with the full form.
func fullFormTable(p point) string {
	if p.fullForm == nil {
		return ""
	}
	rows := []struct {
		name   string
		of     func(usage) float64
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
		fmt.Fprintf(&b, "| %s | %s | %s |\n", r.name, meanAndMost(p.daemons, r.of, r.format, r.scale), meanAndMost(p.fullForm.daemons, r.of, r.format, r.scale))
	}
	return b.String()
}

func meanAndMost(daemons []usage, of func(usage) float64, format string, scale float64) string {
	values := make([]float64, 0, len(daemons))
	for _, u := range daemons {
		values = append(values, of(u)/scale)
	}
	return fmt.Sprintf(format+" ("+format+")", stat.Mean(values, nil), slices.Max(values))
}

// changeTable gives what one change of the catalogue costs each daemon and the store.
func changeTable(rest, p point) string {
	if len(p.spread) == 0 {
		return ""
	}
	perChange := func(name string) func(usage) float64 {
		return func(u usage) float64 { return u.rates[name] * p.seconds / float64(len(p.spread)) }
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
		fmt.Fprintf(&b, "| %s | %s |\n", row.name, meanAndMost(p.daemons, perChange(row.metric), "%.2f", row.scale))
	}
	mean := func(of []usage) float64 {
		total := 0.0
		for _, u := range of {
			total += u.traffic()
		}
		return total / float64(len(of))
	}
	cost := (mean(p.daemons) - mean(rest.daemons)) * p.seconds / float64(len(p.spread))
	fmt.Fprintf(&b, "| sent and received beyond the load at rest, KB | %.1f |\n| the same for 560 changes a day, KB/s | %.3f |\n",
		cost/kilobyte, cost/kilobyte*560/86400)
	return b.String()
}

// catalogueBytes is the size of the catalogue in a message between daemons.
func catalogueBytes(s size) float64 {
	data, err := cbor.Marshal(api.Configuration{Catalogue: s.catalogue(100)})
	if err != nil {
		panic(eris.Wrap(err, "capacity: encode the catalogue"))
	}
	return float64(len(data))
}
