package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/settings"
)

// Tokens of the generated settings.
const (
	// OperatorToken is the bearer token of operators.
	OperatorToken = "operator-token"
	// PeerToken is the shared secret of the daemons.
	PeerToken = "peer-token"
)

// TokenHash returns the hash that settings and catalogue store for a token.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// DefaultSettings returns the defaults of the schema with the test tokens, without
// addresses and identity.
func DefaultSettings() api.Settings {
	s := settings.Defaults()
	s.Peers.Token, s.Peers.Seeds = PeerToken, []string{}
	s.Operators.TokenSha256 = TokenHash(OperatorToken)
	return s
}

// writeSettings writes settings to a TOML file.
func writeSettings(file string, settings api.Settings) error {
	data, err := toml.Marshal(settings)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(file, data, 0o600), "write settings")
}
