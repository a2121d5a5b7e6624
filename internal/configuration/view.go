// Package configuration reads, distributes and changes the configuration of the
// system: the catalogue and the states of the availability zones at one revision.
package configuration

import (
	"context"
	"time"

	"github.com/samphirepath/samphirepath/api"
)

// Confirmation is the state of a zone as read from the table service, by this
// daemon or by a peer.
type Confirmation struct {
	Zone     string
	State    api.ZoneState
	Revision int64
	// Requested is a time before the read began, taken from the clock of this daemon
	// with a monotonic reading.
	Requested time.Time
}

// View provides the configuration in force on this daemon.
type View interface {
	// Current returns the newest configuration, which callers must not modify. Its
	// revision is 0 until the first one is known.
	Current() api.Configuration
	// ConfirmZone returns a confirmation of the state of the zone that was
	// requested at most maxAge ago, and reads again if the last one is older. An
	// error means that neither the table service nor a peer could confirm the state.
	ConfirmZone(ctx context.Context, zone string, maxAge time.Duration) (Confirmation, error)
	// Changed returns a channel that is closed when the next revision is adopted.
	Changed() <-chan struct{}
}
