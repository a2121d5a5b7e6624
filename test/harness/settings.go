package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

// Tokens of the generated settings.
const (
	// OperatorToken is the bearer token of operators.
	OperatorToken = "operator-token"
	// PeerToken is the shared secret of the daemons.
	PeerToken = "peer-token"
)

// TokenHash gives the hash under which settings and catalogue hold a token.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// DefaultSettings returns settings with the defaults of the schema and without
// addresses and identity.
func DefaultSettings() api.Settings {
	return api.Settings{
		Platform:  api.PlatformSettings{RequestTimeout: api.Duration(time.Second)},
		Peers:     api.PeerSettings{Token: PeerToken, Seeds: []string{}, HeartbeatEvery: api.Duration(250 * time.Millisecond), LostAfter: api.Duration(time.Second)},
		Operators: api.OperatorSettings{TokenSha256: TokenHash(OperatorToken)},
		Limits:    defaultLimits(),
		Timing:    defaultTiming(),
		Logs:      api.LogSettings{Level: "info", Format: "json"},
		Traces:    api.TraceSettings{Exporter: "none", SamplePercent: 100},
	}
}

func defaultLimits() api.LimitSettings {
	return api.LimitSettings{
		MaxBodyBytes:         1 << 20,
		MaxQueuedRequests:    1024,
		MinionSlots:          8,
		MinionConnections:    64,
		RetryBudgetPercent:   10,
		StartsPerSecond:      100,
		StoreWritesPerSecond: 20,
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
		GracefulStop:      api.Duration(time.Minute),
		LateAnswerWait:    api.Duration(time.Minute),
		ReportEvery:       api.Duration(30 * time.Second),
	}
}

// writeSettings writes settings as TOML.
func writeSettings(file string, settings api.Settings) error {
	data, err := toml.Marshal(settings)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(file, data, 0o600), "write settings")
}
