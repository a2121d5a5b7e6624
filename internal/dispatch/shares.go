package dispatch

import (
	"strings"
	"time"

	"github.com/samphirepath/samphirepath/internal/placement"
)

const (
	// sharesInterval is the minimum time between two updates of the shares in the metrics.
	sharesInterval = time.Second
	// maxShareTags bounds the organisations that have a metric of their own in the life of a
	// process. The others share one.
	maxShareTags = 64
	// maxTagBytes bounds the name of an organisation in a metric.
	maxTagBytes = 64
	otherTag    = "(others)"
)

// shareTags holds the tags of the metrics of shares. Only the running term uses it.
type shareTags struct {
	known     map[string]bool
	updatedAt time.Time
}

// tagOf returns the tag of an organisation.
func (s *shareTags) tagOf(organisation string) string {
	tag := strings.ToValidUTF8(organisation[:min(len(organisation), maxTagBytes)], "?")
	switch {
	case tag == "":
		tag = "(none)"
	case !s.known[tag] && len(s.known) >= maxShareTags:
		return otherTag
	}
	if s.known == nil {
		s.known = map[string]bool{}
	}
	s.known[tag] = true
	return tag
}

// noteShares sets the metrics to the dominant shares of the organisations before a plan.
func (t *term) noteShares(p *planInput) {
	if p.Now.Sub(t.shareTags.updatedAt) < sharesInterval {
		return
	}
	t.shareTags.updatedAt = p.Now
	t.setShares(placement.DominantShares(p.Snapshot))
}

// setShares sets the metrics to some shares, and those of all other organisations to zero. The
// organisations without a metric of their own are shown by the largest of their shares.
func (t *term) setShares(shares map[string]float64) {
	values := map[string]float64{}
	for tag := range t.shareTags.known {
		values[tag] = 0
	}
	for organisation, share := range shares {
		tag := t.shareTags.tagOf(organisation)
		values[tag] = max(values[tag], share)
	}
	if _, shown := values[otherTag]; !shown && len(t.shareTags.known) >= maxShareTags {
		values[otherTag] = 0
	}
	for tag, share := range values {
		t.scope.Tagged(map[string]string{"organisation": tag}).Gauge("dominant_share").Update(share)
	}
}

// longestWaiting returns the organisation of the demand that waits longest, and since when it
// could have started. Steps that are persistent are left out: they are started again after long
// runs, and their age is no wait.
func longestWaiting(demands []placement.Demand) (organisation string, since time.Time) {
	for i := range demands {
		if d := &demands[i]; !d.Step.Persistent && (since.IsZero() || d.StartableSince.Before(since)) {
			organisation, since = d.Organisation, d.StartableSince
		}
	}
	return organisation, since
}
