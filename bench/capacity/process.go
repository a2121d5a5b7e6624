package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/test/harness"
)

// clockTicksPerSecond is the resolution of processor times in /proc/PID/stat, fixed by
// the Linux ABI.
const clockTicksPerSecond = 100

// sample holds the resource usage and the metrics of one daemon at one time.
type sample struct {
	cpuSeconds float64 // user and system time since the start
	rssBytes   float64
	metrics    map[string]float64 // counters and gauges by seriesName
}

func takeSample(d *harness.Daemon) (sample, error) {
	s := sample{metrics: map[string]float64{}}
	var err error
	if s.cpuSeconds, err = cpuSeconds(d.PID()); err != nil {
		return s, err
	}
	if s.rssBytes, err = residentBytes(d.PID()); err != nil {
		return s, err
	}
	return s, s.scrape(d.OperatorsURL() + "/metrics")
}

func cpuSeconds(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read processor time")
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, eris.Wrap(err, "parse user time")
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond, eris.Wrap(err, "parse system time")
}

func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read resident memory")
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()), eris.Wrap(err, "parse resident memory")
}

// scrape adds the counters and gauges of the metrics endpoint at url.
func (s *sample) scrape(url string) error {
	response, err := http.Get(url)
	if err != nil {
		return eris.Wrap(err, "read metrics")
	}
	defer response.Body.Close()
	families, err := parseMetrics(response.Body)
	if err != nil {
		return err
	}
	for name, family := range families {
		for _, metric := range family.GetMetric() {
			s.metrics[seriesName(name, metric)] += value(metric)
		}
	}
	return nil
}

func parseMetrics(body io.Reader) (map[string]*dto.MetricFamily, error) {
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(body)
	return families, eris.Wrap(err, "parse metrics")
}

// seriesName joins the metric name with the values of the labels channel, kind and
// call, which distinguish the series of one daemon.
func seriesName(name string, metric *dto.Metric) string {
	for _, label := range metric.GetLabel() {
		switch label.GetName() {
		case "channel", "kind", "call":
			name += " " + label.GetValue()
		}
	}
	return name
}

func value(metric *dto.Metric) float64 {
	switch {
	case metric.GetCounter() != nil:
		return metric.GetCounter().GetValue()
	case metric.GetGauge() != nil:
		return metric.GetGauge().GetValue()
	default:
		return 0
	}
}
