package settings

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"
)

// requiredKeys lists the keys that have no default and must be set.
var requiredKeys = []string{
	"daemon.vm", "daemon.zone",
	"listen.callers", "listen.operators", "listen.peers",
	"platform.table_url", "platform.objects_url", "platform.vms_url",
	"peers.token",
	"operators.token_sha256",
}

// integerRange is an inclusive range of an integer setting.
type integerRange struct{ min, max int64 }

// The upper bounds are far above any sensible value and catch typing errors.
var integerRanges = map[string]integerRange{
	"limits.max_body_bytes":          {1, 64 << 20},
	"limits.max_queued_requests":     {1, 1 << 20},
	"limits.minion_slots":            {1, 1024},
	"limits.minion_connections":      {1, 65535},
	"limits.retry_budget_percent":    {0, 100},
	"limits.starts_per_second":       {1, 100000},
	"limits.store_writes_per_second": {1, 10000},
	"limits.max_connections":         {16, 1 << 20},
	"limits.body_memory_bytes":       {1 << 20, 1 << 40},
	"limits.job_memory_bytes":        {12 << 20, 1 << 40},
	"traces.sample_percent":          {0, 100},
}

// durationRange is an inclusive range of a duration setting.
type durationRange struct{ min, max time.Duration }

// timing.zone_confirmation must not exceed 2 s, because no task may start more than
// 2 s after its zone has been taken out of service.
var durationRanges = map[string]durationRange{
	"platform.request_timeout":   {10 * time.Millisecond, time.Minute},
	"peers.heartbeat_every":      {10 * time.Millisecond, 10 * time.Second},
	"peers.lost_after":           {50 * time.Millisecond, time.Minute},
	"timing.poll_every":          {10 * time.Millisecond, time.Minute},
	"timing.vm_list_every":       {10 * time.Millisecond, time.Minute},
	"timing.planner_lease":       {100 * time.Millisecond, time.Minute},
	"timing.planner_renew_every": {10 * time.Millisecond, time.Minute},
	"timing.plan_every":          {10 * time.Millisecond, time.Minute},
	"timing.task_lease":          {time.Second, time.Hour},
	"timing.task_renew_every":    {100 * time.Millisecond, time.Hour},
	"timing.zone_confirmation":   {100 * time.Millisecond, 2 * time.Second},
	"timing.max_clock_skew":      {0, 10 * time.Second},
	"timing.checkpoint_wait":     {0, 10 * time.Minute},
	"timing.checkpoint_every":    {100 * time.Millisecond, 24 * time.Hour},
	"timing.start_wait":          {100 * time.Millisecond, time.Minute},
	"timing.graceful_stop":       {0, time.Hour},
	"timing.late_answer_wait":    {0, time.Hour},
	"timing.body_timeout":        {time.Second, time.Hour},
	"timing.report_every":        {100 * time.Millisecond, time.Hour},
}

var allowedValues = map[string][]string{
	"logs.level":      {"debug", "info", "warn", "error"},
	"logs.format":     {"console", "json"},
	"traces.exporter": {"none", "file", "otlp"},
}

// namePattern allows only names that can be part of a row key. The parts of a key
// are separated by slashes.
var namePattern = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{N}._-]{0,62}$`)

func (l *loader) checkMissing() {
	for _, key := range requiredKeys {
		if _, present := l.lines[key]; !present {
			l.report(key, "is missing")
		}
	}
}

func (l *loader) checkValues() {
	l.checkRanges()
	for _, key := range sortedKeys(allowedValues) {
		if v := l.text(key); l.usable(key) && !slices.Contains(allowedValues[key], v) {
			l.report(key, "%q is not one of %s", v, strings.Join(allowedValues[key], ", "))
		}
	}
	for _, key := range []string{"daemon.vm", "daemon.zone", "daemon.region"} {
		if v := l.text(key); l.present(key) && !namePattern.MatchString(v) {
			l.report(key, "%q is not a name of up to 63 letters, digits, dots, dashes and underscores", v)
		}
	}
	for _, key := range []string{"platform.table_url", "platform.objects_url", "platform.vms_url"} {
		if l.present(key) {
			l.checkURL(key)
		}
	}
	if key := "peers.token"; l.present(key) && l.text(key) == "" {
		l.report(key, "must not be empty")
	}
	if key := "operators.token_sha256"; l.present(key) && !isSHA256(l.text(key)) {
		l.report(key, "must be a SHA-256 hash of 64 hex digits")
	}
	l.checkSeeds()
}

func (l *loader) checkRanges() {
	for _, key := range sortedKeys(integerRanges) {
		r := integerRanges[key]
		if n := l.number(key); l.usable(key) && (n < r.min || n > r.max) {
			l.report(key, "%d is out of range, allowed are %d to %d", n, r.min, r.max)
		}
	}
	for _, key := range sortedKeys(durationRanges) {
		r := durationRanges[key]
		if d := time.Duration(l.number(key)); l.usable(key) && (d < r.min || d > r.max) {
			l.report(key, "%s is out of range, allowed are %s to %s", d, r.min, r.max)
		}
	}
}

func (l *loader) checkURL(key string) {
	u, err := url.Parse(l.text(key))
	switch {
	case err != nil || u.Scheme != "http" || u.Host == "":
		l.report(key, "%q is not an http URL", l.text(key))
	case u.User != nil || u.RawQuery != "" || u.Fragment != "":
		l.report(key, "must have no user, query or fragment")
	default:
		if message := checkHost(u); message != "" {
			l.report(key, "%s", message)
		}
	}
}

func checkHost(u *url.URL) string {
	ip, err := netip.ParseAddr(u.Hostname())
	if err != nil {
		return "the host must be an IP address, not " + u.Hostname()
	}
	if ip.IsUnspecified() {
		return "the host must be a reachable IP address, not " + ip.String()
	}
	if u.Port() == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return "the port " + u.Port() + " is not a number from 1 to 65535"
	}
	return ""
}

func (l *loader) checkSeeds() {
	const key = "peers.seeds"
	for _, seed := range l.settings.Peers.Seeds {
		address, err := netip.ParseAddrPort(seed)
		if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
			l.report(key, "%q is not an IP address and port", seed)
		}
	}
}

// present reports whether the file sets the key and no problem of it has been
// reported.
func (l *loader) present(key string) bool {
	_, found := l.lines[key]
	return found && l.usable(key)
}

func (l *loader) text(key string) string { return l.field(key).String() }

func (l *loader) number(key string) int64 { return l.field(key).Int() }

// field returns the field of a key. It panics if the schema has no such key, because
// then the tables in this file do not match the schema.
func (l *loader) field(key string) reflect.Value {
	field, found := fieldByKey(reflect.ValueOf(&l.settings).Elem(), key)
	if !found {
		panic("settings: the schema has no key " + key)
	}
	return field
}

func isSHA256(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == 32
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
