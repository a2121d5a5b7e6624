// Package api defines the types of the HTTP API, of the messages between daemons, of
// the stored rows and of the settings. All types except Duration are generated from
// the schema openapi.yaml.
package api

import "time"

// Duration is a time.Duration that is encoded as text with its unit, such as "250ms"
// or "1m30s".
type Duration time.Duration

// UnmarshalText parses a duration in Go syntax. A number without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
