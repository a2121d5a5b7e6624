// Package admission bounds the memory of the batch jobs that the dispatcher holds. The
// dispatcher publishes how much it holds; each daemon that accepts jobs checks a new one
// against that and against what it has accepted since.
package admission

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/api"
)

const (
	// memoryDivisor is the divisor of the memory of the smallest machine for jobs.
	memoryDivisor = 8
	// minBudgetBytes has room for a job of the largest weight, 11 MB: 32 open occurrences of 100
	// steps with 1,500 tasks.
	minBudgetBytes = 12 << 20
	// noticeableDivisor is the divisor of the budget for the least part of an organisation that
	// is published.
	noticeableDivisor = 64
	// minDaemons is the least number of daemons that are assumed to accept jobs at the same time.
	// When a system starts for the first time they do not know each other.
	minDaemons = 8
	// windowDivisor is the divisor of what is free for the jobs that all daemons may accept
	// between two loads by themselves, and again for those that the dispatcher grants. Half
	// remains for what others submit afterwards.
	windowDivisor = 4
	// minWindowBytes is what a daemon may accept by itself while less than half of the budget is
	// held, unless there are so many daemons that half of its part of what is free is less: ten
	// jobs of usual size, as many as come during a takeover.
	minWindowBytes = 128 << 10
	// RetryAfter is the delay after which a refused caller may try again. What ends in the
	// meantime is published within two seconds.
	RetryAfter = 3 * time.Second
)

// Refusals of a job. Each means that it was not accepted.
var (
	// ErrOrganisation means that the organisation holds as much as is left for all others.
	ErrOrganisation = eris.New("the organisation has too many jobs that have not ended")
	ErrFull         = eris.New("there are too many jobs that have not ended")
	// ErrDaemon means that this daemon has accepted its part of what is free, that the
	// dispatcher has not published since that it holds these jobs, and that it grants no more.
	ErrDaemon = eris.New("this daemon has accepted too many jobs that are not counted yet")
)

// Load is the memory that the accepted jobs take at the dispatcher.
type Load = api.JobLoad

// Budget returns the memory for jobs, by the memory of each machine that may dispatch next.
func Budget(memory []int64) int64 {
	budget := int64(0)
	for _, m := range memory {
		if share := m / memoryDivisor; budget == 0 || share < budget {
			budget = share
		}
	}
	return max(budget, minBudgetBytes)
}

// NewLoad returns the load to publish, by the bytes that each organisation holds.
func NewLoad(version, budget int64, held map[string]int64) Load {
	load := Load{Version: version, BudgetBytes: budget}
	for organisation, bytes := range held {
		load.HeldBytes += bytes
		if bytes > budget/noticeableDivisor {
			if load.Organisations == nil {
				load.Organisations = map[string]int64{}
			}
			load.Organisations[organisation] = bytes
		}
	}
	return load
}

// EncodeLoad returns the encoding in which a load is published.
func EncodeLoad(load Load) ([]byte, error) {
	value, err := cbor.Marshal(load)
	return value, eris.Wrap(err, "encode the load of jobs")
}

// DecodeLoad decodes a published load.
func DecodeLoad(value []byte) (load Load, err error) {
	if err := cbor.Unmarshal(value, &load); err != nil {
		return Load{}, eris.Wrap(err, "decode the load of jobs")
	}
	if load.BudgetBytes < minBudgetBytes || load.HeldBytes < 0 {
		return Load{}, eris.Errorf("invalid load of jobs: %d bytes held of %d", load.HeldBytes, load.BudgetBytes)
	}
	return load, nil
}

// Amount is a number of bytes, in total and of the organisation that submits.
type Amount struct{ All, Organisation int64 }

// Pending are the bytes of the jobs that a daemon has accepted and that the load does not
// include yet.
type Pending struct {
	Amount
	// Window is the part that it has accepted by itself.
	Window Amount
}

// Check returns why a job may not be accepted, or nil. An organisation may hold as much as is
// free, so that k of them that submit without end leave one part in k + 1 to the others. The
// jobs accepted between two loads have to fit into a window, which is divided in the same way.
func Check(load Load, pending Pending, window int64, organisation string, bytes int64) error {
	free := freeBytes(load) - pending.All
	switch {
	case bytes > free:
		return ErrFull
	case !FitsShare(free, load.Organisations[organisation]+pending.Organisation, bytes):
		return ErrOrganisation
	case !FitsShare(window-pending.Window.All, pending.Window.Organisation, bytes):
		return ErrDaemon
	}
	return nil
}

func freeBytes(load Load) int64 { return max(load.BudgetBytes-load.HeldBytes, 0) }

// DaemonWindow returns the window of one of several daemons.
func DaemonWindow(load Load, daemons int) int64 {
	part := freeBytes(load) / int64(max(daemons, minDaemons))
	window := part / windowDivisor
	if freeBytes(load) > load.BudgetBytes/2 {
		window = max(window, min(minWindowBytes, part/2))
	}
	return window
}

// GrantWindow returns the window of the dispatcher, for jobs that do not fit into those of the
// daemons.
func GrantWindow(load Load, _ int) int64 { return freeBytes(load) / windowDivisor }

// FitsShare reports whether an organisation that holds a part of a limited amount may take n
// more, if so much of it is free: afterwards it holds at most as much as is free now.
func FitsShare(free, held, n int64) bool { return held+n <= free }
