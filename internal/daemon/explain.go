package daemon

import (
	"context"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/entry"
)

// Explain implements entry.Explainer.
func (d *Daemon) Explain(ctx context.Context, caller entry.Caller, subject string) (api.Explanation, bool, error) {
	row, err := d.follower.Fetch(ctx, subject)
	if err != nil || row == nil || !caller.Operator && row.Job.Organisation != caller.Organisation {
		return api.Explanation{}, false, err
	}
	return api.Explanation{Subject: subject, Kind: "job", Sentences: []string{row.Job.Reason}}, true, nil
}
