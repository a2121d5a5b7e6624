package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads CLOCK_BOOTTIME. Unlike the monotonic clock of package time, it counts
// the time that a machine was suspended, so a holder that wakes up knows that its lease
// has expired. Steps of the time of day do not affect it.
type bootClock struct {
	base time.Time // time of day, without a monotonic reading, at baseNs
	// baseNs is the reading of the clock when it was created.
	baseNs int64
}

// newClock returns a function that returns the current time: the boot clock, or
// time.Now where the system has none.
func newClock() func() time.Time {
	ns, err := readBootClock()
	if err != nil {
		return time.Now
	}
	return bootClock{base: time.Now().Round(0), baseNs: ns}.now
}

// now returns a time that is only comparable to others of the same clock.
func (c bootClock) now() time.Time {
	ns, err := readBootClock()
	if err != nil {
		panic(err) // cannot happen: the clock could be read before
	}
	return c.base.Add(time.Duration(ns - c.baseNs))
}

func readBootClock() (int64, error) {
	var at unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at)
	return at.Nano(), err
}
