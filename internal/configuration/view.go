// Package configuration follows the configuration of the system: the catalogue
// and the states of the availability zones at one revision.
package configuration

import (
	"context"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// Confirmation is a read of the state of a zone from the table service, by this
// daemon or by a peer.
type Confirmation struct {
	Zone     string
	State    api.ZoneState
	Revision int64
	// Requested is the time before the read began, with a monotonic reading.
	Requested time.Time
}

// View gives the configuration in force on this daemon.
type View interface {
	// Current returns the newest configuration; treat it as read-only. Its
	// revision is 0 until the first one is known.
	Current() api.Configuration
	// ConfirmZone returns a confirmation of the state of the zone that was
	// requested within maxAge, reading anew when the last one is older. An error
	// means that neither the table service nor a peer could confirm it.
	ConfirmZone(ctx context.Context, zone string, maxAge time.Duration) (Confirmation, error)
	// Changed returns a channel that is closed when the next revision is taken.
	Changed() <-chan struct{}
}
