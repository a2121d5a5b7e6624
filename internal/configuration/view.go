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
	// RequestedAt is a time before the read began. It was taken from the clock of this
	// daemon and has a monotonic reading.
	RequestedAt time.Time
}

// View provides the configuration in force on this daemon.
type View interface {
	// Current returns the newest configuration, which callers must not modify. Its
	// revision is 0 until the first one is known.
	Current() api.Configuration
	// ConfirmZone returns a confirmation of the zone's state. The confirmation was
	// requested at most maxAge ago; if the last one is older, the state is read again.
	// An error means that neither the table service nor a peer could confirm the state.
	ConfirmZone(ctx context.Context, zone string, maxAge time.Duration) (Confirmation, error)
	// Changed returns a channel that is closed when the next revision is adopted.
	Changed() <-chan struct{}
}
