package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/revision"
)

// ChangeStatus tells what became of a change.
type ChangeStatus int

const (
	// Accepted means that the change is in force.
	Accepted ChangeStatus = iota + 1
	// Conflict means that another revision is in force than the change expects.
	Conflict
	// Refused means that the change is not valid.
	Refused
	// NotApplied means that the change certainly did not and will not take effect.
	NotApplied
	// Unknown means that the change may have taken effect.
	Unknown
)

// Outcome is what became of a change. Head is the head in force when accepted,
// and in a conflict the newest one known.
type Outcome struct {
	Status  ChangeStatus
	Head    api.ConfigurationHead
	Reasons []string // all reasons of a refusal
	Err     error    // cause when not run or unknown
}

// maxRaces bounds the repetitions of a change without an expected revision that
// keeps losing races.
const maxRaces = 16

// maxCatalogueBytes keeps a configuration within one frame between daemons.
const maxCatalogueBytes = 2 << 20

// changeTimeout bounds the time in which a change is settled after its answer
// was lost.
const changeTimeout = 10 * time.Second

// storedHead is a head row: the head and the identifier of the write.
type storedHead struct {
	api.ConfigurationHead
	Write string `json:"write"`
}

// Apply replaces the catalogue if the expected revision is in force. Revision 0
// is expected before the first configuration.
func (s *Service) Apply(ctx context.Context, change api.CatalogueApply) Outcome {
	if reasons := Validate(change.Catalogue); len(reasons) > 0 {
		return Outcome{Status: Refused, Reasons: reasons}
	}
	base, head, err := s.base(ctx)
	if err != nil {
		return Outcome{Status: NotApplied, Err: err}
	}
	if head.Revision != change.ExpectedRevision {
		return Outcome{Status: Conflict, Head: head}
	}
	head.Zones = s.zonesWith(head.Zones, change.Catalogue)
	if reasons := s.infeasible(head.Zones, change.Catalogue); len(reasons) > 0 {
		return Outcome{Status: Refused, Reasons: reasons}
	}
	body, err := json.Marshal(change.Catalogue)
	if err != nil {
		return Outcome{Status: NotApplied, Err: eris.Wrap(err, "encode the catalogue")}
	}
	if len(body) > maxCatalogueBytes {
		return Outcome{Status: Refused, Reasons: []string{
			fmt.Sprintf("the catalogue has %d bytes, at most %d are allowed", len(body), maxCatalogueBytes)}}
	}
	head.ChangedBy, head.Comment, head.ChangedMs = change.ChangedBy, change.Comment, time.Now().UnixMilli()
	return s.write(ctx, base, head, change.Catalogue, body)
}

// ChangeZone takes a zone out of service or brings it back. Without an expected
// revision it repeats when it loses a race. A zone that is already in the state
// is left as it is.
func (s *Service) ChangeZone(ctx context.Context, zone string, change api.ZoneChange) Outcome {
	if !validName(zone) {
		return Outcome{Status: Refused, Reasons: []string{fmt.Sprintf("%q is not the name of a zone", zone)}}
	}
	if !change.State.Valid() {
		return Outcome{Status: Refused, Reasons: []string{fmt.Sprintf("state %q is neither in nor out", change.State)}}
	}
	var outcome Outcome
	for range maxRaces {
		outcome = s.changeZoneOnce(ctx, zone, change)
		if outcome.Status != Conflict || change.ExpectedRevision != 0 {
			break
		}
	}
	return outcome
}

func (s *Service) changeZoneOnce(ctx context.Context, zone string, change api.ZoneChange) Outcome {
	base, head, err := s.base(ctx)
	if err != nil {
		return Outcome{Status: NotApplied, Err: err}
	}
	if change.ExpectedRevision != 0 && head.Revision != change.ExpectedRevision {
		return Outcome{Status: Conflict, Head: head}
	}
	if reason := s.unknownZone(head.Zones, zone); reason != "" {
		return Outcome{Status: Refused, Reasons: []string{reason}}
	}
	now := time.Now().UnixMilli()
	zones, changed := withZone(head.Zones, api.Zone{
		Name: zone, State: change.State, ChangedMs: now, ChangedBy: change.ChangedBy, Reason: change.Reason,
	})
	if !changed {
		return Outcome{Status: Accepted, Head: head}
	}
	head.Zones = zones
	head.ChangedBy, head.ChangedMs, head.Comment = change.ChangedBy, now, change.Reason
	if base.Version != 0 {
		return s.write(ctx, base, head, api.Catalogue{}, nil)
	}
	// The first revision has a body, so that every head has one to refer to.
	empty := api.Catalogue{
		Organisations: []api.Organisation{}, Teams: []api.Team{}, Classes: []api.Class{}, Entries: []api.Entry{},
	}
	body, err := json.Marshal(empty)
	if err != nil {
		return Outcome{Status: NotApplied, Err: eris.Wrap(err, "encode the catalogue")}
	}
	return s.write(ctx, base, head, empty, body)
}

// base reads the head that a change builds on.
func (s *Service) base(ctx context.Context) (revision.Head, api.ConfigurationHead, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
	defer cancel()
	base, err := s.writer.Read(ctx)
	if err != nil {
		return base, api.ConfigurationHead{}, err
	}
	s.noteAnswer()
	head, err := decodeHead(base)
	return base, head, err
}

// write accepts the head as the next revision, with a new body when there is one.
func (s *Service) write(ctx context.Context, base revision.Head, head api.ConfigurationHead, catalogue api.Catalogue, body []byte) Outcome {
	// The change is settled even when the operator has gone.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
	defer cancel()
	result := s.writer.Write(ctx, base, func(record revision.Metadata) (revision.Rows, error) {
		head.Revision = record.Revision
		if body != nil {
			head.CatalogueRevision = record.Revision
		}
		value, err := json.Marshal(storedHead{ConfigurationHead: head, Write: record.WriteID})
		return revision.Rows{Head: value, Body: body}, eris.Wrap(err, "encode the head")
	})
	switch result.Status {
	case revision.Accepted:
		s.logger.Info("Configuration accepted.", zap.Int64("revision", head.Revision), zap.String("by", head.ChangedBy))
		s.takeWritten(ctx, head, catalogue, body != nil)
		return Outcome{Status: Accepted, Head: head}
	case revision.Conflict:
		current, err := decodeHead(result.Current)
		if err != nil || current.Revision < s.Current().Head.Revision {
			current = s.Current().Head
		}
		s.config.HighestRevision.Raise(current.Revision)
		return Outcome{Status: Conflict, Head: current, Err: result.Err}
	case revision.NotApplied:
		return Outcome{Status: NotApplied, Err: result.Err}
	default:
		return Outcome{Status: Unknown, Err: result.Err}
	}
}

// takeWritten puts an accepted revision in force here at once; the network then
// spreads it.
func (s *Service) takeWritten(ctx context.Context, head api.ConfigurationHead, catalogue api.Catalogue, withBody bool) {
	defer s.config.HighestRevision.Raise(head.Revision)
	if withBody {
		s.take(api.Configuration{Head: head, Catalogue: catalogue}, "own change")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
	defer cancel()
	if err := s.load(ctx, head); err != nil {
		s.logger.Warn("Catalogue cannot be read.", zap.Int64("revision", head.Revision), zap.Error(err))
	}
}

// zonesWith adds the zones that guarantees or the VM list name.
func (s *Service) zonesWith(zones []api.Zone, catalogue api.Catalogue) []api.Zone {
	zones = slices.Clone(zones)
	names := s.config.Zones()
	for _, organisation := range catalogue.Organisations {
		for _, shape := range organisation.Guarantees {
			names = append(names, shape.Zone)
		}
	}
	for _, name := range names {
		if !hasZone(zones, name) {
			zones = append(zones, api.Zone{Name: name, State: api.In})
		}
	}
	sortZones(zones)
	return zones
}

func hasZone(zones []api.Zone, name string) bool {
	return slices.ContainsFunc(zones, func(z api.Zone) bool { return z.Name == name })
}

func sortZones(zones []api.Zone) {
	slices.SortFunc(zones, func(a, b api.Zone) int { return strings.Compare(a.Name, b.Name) })
}

// unknownZone refuses a zone that neither the head nor the VM list names: a
// misspelt name would leave the zone that was meant in service. Without a VM
// list every zone is accepted.
func (s *Service) unknownZone(zones []api.Zone, name string) string {
	listed := s.config.Zones()
	if hasZone(zones, name) || len(listed) == 0 || slices.Contains(listed, name) {
		return ""
	}
	for _, zone := range zones {
		if !slices.Contains(listed, zone.Name) {
			listed = append(listed, zone.Name)
		}
	}
	slices.Sort(listed)
	return fmt.Sprintf("there is no zone %q; the zones are %s", name, strings.Join(listed, ", "))
}

// withZone returns the zones with one zone changed, and whether that differs.
func withZone(zones []api.Zone, zone api.Zone) ([]api.Zone, bool) {
	zones = slices.Clone(zones)
	for i := range zones {
		if zones[i].Name != zone.Name {
			continue
		}
		if zones[i].State == zone.State {
			return zones, false
		}
		zone.Region = zones[i].Region
		zones[i] = zone
		return zones, true
	}
	zones = append(zones, zone)
	sortZones(zones)
	return zones, true
}

// infeasible returns why guarantees cannot be met, zone by zone.
func (s *Service) infeasible(zones []api.Zone, catalogue api.Catalogue) []string {
	guaranteed := map[string]bool{}
	for _, organisation := range catalogue.Organisations {
		for _, shape := range organisation.Guarantees {
			guaranteed[shape.Zone] = true
		}
	}
	var reasons []string
	for _, zone := range zones {
		if !guaranteed[zone.Name] {
			continue
		}
		if err := s.config.CheckGuarantees(zone.Name, catalogue); err != nil {
			reasons = append(reasons, fmt.Sprintf("zone %s: %s", zone.Name, err))
		}
	}
	return reasons
}

// Limits of a history.
const (
	defaultHistory = 20
	maxHistory     = 200
)

// History returns the newest accepted heads, newest first. limit 0 takes 20.
func (s *Service) History(ctx context.Context, limit int) ([]api.ConfigurationHead, error) {
	if limit <= 0 {
		limit = defaultHistory
	}
	limit = min(limit, maxHistory)
	_, head, err := s.base(ctx)
	if err != nil {
		return nil, err
	}
	heads := []api.ConfigurationHead{}
	for r := head.Revision; r > 0 && len(heads) < limit; r-- {
		row, err := s.writer.ReadAt(ctx, r)
		if err != nil {
			return nil, err
		}
		past, err := decodeHead(row)
		if err != nil {
			return nil, err
		}
		if past.Revision == r {
			heads = append(heads, past)
		}
	}
	return heads, nil
}
