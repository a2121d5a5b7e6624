package settings

import (
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// Defaults returns the default settings, which match the descriptions in the schema.
// Keys without a default have their zero value.
func Defaults() api.Settings {
	return api.Settings{
		Platform: api.PlatformSettings{RequestTimeout: api.Duration(time.Second)},
		Peers: api.PeerSettings{
			HeartbeatEvery: api.Duration(250 * time.Millisecond),
			LostAfter:      api.Duration(time.Second),
		},
		Limits: api.LimitSettings{
			MaxBodyBytes:         1048576,
			MaxQueuedRequests:    1024,
			MinionSlots:          8,
			MinionConnections:    64,
			RetryBudgetPercent:   10,
			StartsPerSecond:      100,
			StoreWritesPerSecond: 20,
			MaxConnections:       512,
			BodyMemoryBytes:      25165824,
			JobMemoryBytes:       67108864,
		},
		Timing: defaultTiming(),
		Logs:   api.LogSettings{Level: "info", Format: "json"},
		Traces: api.TraceSettings{Exporter: "none", SamplePercent: 100},
	}
}

func defaultTiming() api.TimingSettings {
	return api.TimingSettings{
		PollEvery:         api.Duration(500 * time.Millisecond),
		VMListEvery:       api.Duration(time.Second),
		PlannerLease:      api.Duration(3 * time.Second),
		PlannerRenewEvery: api.Duration(time.Second),
		PlanEvery:         api.Duration(200 * time.Millisecond),
		TaskLease:         api.Duration(20 * time.Second),
		TaskRenewEvery:    api.Duration(5 * time.Second),
		ZoneConfirmation:  api.Duration(2 * time.Second),
		MaxClockSkew:      api.Duration(500 * time.Millisecond),
		CheckpointWait:    api.Duration(3 * time.Second),
		CheckpointEvery:   api.Duration(10 * time.Minute),
		StartWait:         api.Duration(3 * time.Second),
		GracefulStop:      api.Duration(60 * time.Second),
		LateAnswerWait:    api.Duration(60 * time.Second),
		ReportEvery:       api.Duration(30 * time.Second),
		BodyTimeout:       api.Duration(30 * time.Second),
	}
}
