package runtimes

import "time"

const (
	// minShare is the progress in percent from which a run is extrapolated, and fullShare
	// that from which only the extrapolation counts. Percentages are whole numbers: at 5 % a
	// run time is known to a fifth, about as well as from the run times of the kind.
	minShare  = 5
	fullShare = 20
	// maxDisagreement is the factor by which the speed since the first report may differ from
	// that since the start. Beyond, the run did not start at 0 or when it is thought to.
	maxDisagreement = 1.5
	// lateFactor and lateMargin are added to the extrapolated rest of a run for its late end:
	// a run may slow down, and reports are up to 1,500 ms old.
	lateFactor = 1.25
	lateMargin = 100 * time.Millisecond
)

// Progress is the progress of a run from its reports. The zero value means that there was
// none. Times are since the start of the run.
type Progress struct {
	FirstPercent, Percent float64
	FirstAt, At           time.Duration
	// Resumed means that the run began with a checkpoint, so that it did not start at 0.
	Resumed bool
}

// total returns the time that the run takes from 0 to 100 %, and the share of the
// extrapolation in a forecast, from 0 to 1.
func (p Progress) total() (time.Duration, float64) {
	change, took := p.Percent-p.FirstPercent, p.At-p.FirstAt
	changing := change >= minShare && took > 0
	level := !p.Resumed && p.Percent >= minShare && p.At > 0
	switch {
	case changing && level:
		byChange, byLevel := took.Seconds()/change, p.At.Seconds()/p.Percent
		if max(byChange, byLevel) > maxDisagreement*min(byChange, byLevel) && change >= 2*minShare {
			return seconds(100 * byChange), min(1, change/fullShare)
		}
		return seconds(100 * byLevel), min(1, p.Percent/fullShare)
	case level:
		return seconds(100 * p.At.Seconds() / p.Percent), min(1, p.Percent/fullShare)
	case changing:
		return seconds(100 * took.Seconds() / change), min(1, change/fullShare)
	}
	return 0, 0
}

// bounded returns the progress with values in their ranges.
func (p Progress) bounded() Progress {
	p.Percent = min(100, max(0, p.Percent))
	p.FirstPercent = min(p.Percent, max(0, p.FirstPercent))
	p.At = max(0, p.At)
	p.FirstAt = min(p.At, max(0, p.FirstAt))
	return p
}

// Remaining returns the median and the 0.9 quantile of the time until a run ends that has
// run for a time.
func (m *Model) Remaining(of Kind, worker string, estimate, elapsed time.Duration, p Progress) (median, late time.Duration) {
	p, elapsed = p.bounded(), max(0, elapsed)
	points, unit := m.distribution(of, estimate)
	unit /= m.Speed(worker)
	median, late = remainingOf(points, unit, elapsed, p)
	total, share := p.total()
	if share == 0 {
		return median, late
	}
	left := (total.Seconds()*(1-p.Percent/100) - (elapsed - p.At).Seconds())
	if left < 0 {
		// The run should have ended. The longer ago that is, the longer it may still take.
		left = -left / 2
	}
	leftLate := left*lateFactor + lateMargin.Seconds()
	median = seconds(share*left + (1-share)*median.Seconds())
	late = seconds(share*leftLate + (1-share)*late.Seconds())
	return median, max(median, late)
}

// remainingOf returns the remaining time by the run times of the kind. Of these, only those
// count that are at least as long as the run has taken.
func remainingOf(points *quantiles, unit float64, elapsed time.Duration, p Progress) (median, late time.Duration) {
	if unit <= 0 {
		return 0, 0
	}
	taken := milliseconds(elapsed) / unit
	if p.Resumed {
		taken += points.at(0.5) * p.FirstPercent / 100
	}
	m, l := points.after(taken)
	return duration((m - taken) * unit), max(duration((m-taken)*unit), duration((l-taken)*unit))
}

func seconds(s float64) time.Duration { return duration(s * 1000) }
