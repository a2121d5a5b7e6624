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

// ChangeStatus says whether a change took effect and, if it did not, why.
type ChangeStatus int

const (
	// Accepted means that the change is in force.
	Accepted ChangeStatus = iota + 1
	// Conflict means that the revision in force is not the one that the change expects.
	Conflict
	// Refused means that the change is invalid or that its guarantees cannot be met.
	Refused
	// NotApplied means that the change did not and cannot take effect.
	NotApplied
	// Unknown means that the change may have taken effect.
	Unknown
)

// Outcome describes the effect of a change. Head is the head in force after an accepted
// change, and the newest known head after a conflict.
type Outcome struct {
	Status  ChangeStatus
	Head    api.ConfigurationHead
	Reasons []string // every reason, when the change is refused
	Err     error    // cause, when the change is not applied or its outcome is unknown
}

// maxConflictAttempts bounds the attempts of a change without an expected revision
// that keeps conflicting with concurrent changes.
const maxConflictAttempts = 16

// maxCatalogueBytes bounds an encoded catalogue, so that a configuration fits into
// one frame between daemons.
const maxCatalogueBytes = 2 << 20

// writeTimeout bounds a write, including the reads that resolve its outcome after
// its answer was lost.
const writeTimeout = 10 * time.Second

// storedHead is the value of a head row: the head and the identifier of its write.
type storedHead struct {
	api.ConfigurationHead
	WriteID string `json:"write"`
}

// Apply replaces the catalogue if the expected revision is in force. Before the
// first configuration the expected revision is 0.
func (s *Service) Apply(ctx context.Context, change api.CatalogueApply) Outcome {
	if reasons := Validate(change.Catalogue); len(reasons) > 0 {
		return Outcome{Status: Refused, Reasons: reasons}
	}
	base, head, err := s.readBase(ctx)
	if err != nil {
		return Outcome{Status: NotApplied, Err: err}
	}
	if head.Revision != change.ExpectedRevision {
		return Outcome{Status: Conflict, Head: head}
	}
	head.Zones = s.addMissingZones(head.Zones, change.Catalogue)
	if reasons := s.unmetGuarantees(head.Zones, change.Catalogue); len(reasons) > 0 {
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
// revision it retries after a conflict. If the head already gives the zone the
// requested state, no revision is written.
func (s *Service) ChangeZone(ctx context.Context, zone string, change api.ZoneChange) Outcome {
	if !validName(zone) {
		return Outcome{Status: Refused, Reasons: []string{fmt.Sprintf("%q is not the name of a zone", zone)}}
	}
	if !change.State.Valid() {
		return Outcome{Status: Refused, Reasons: []string{fmt.Sprintf("state %q is neither in nor out", change.State)}}
	}
	var outcome Outcome
	for range maxConflictAttempts {
		outcome = s.changeZoneOnce(ctx, zone, change)
		if outcome.Status != Conflict || change.ExpectedRevision != 0 {
			break
		}
	}
	return outcome
}

func (s *Service) changeZoneOnce(ctx context.Context, zone string, change api.ZoneChange) Outcome {
	base, head, err := s.readBase(ctx)
	if err != nil {
		return Outcome{Status: NotApplied, Err: err}
	}
	if change.ExpectedRevision != 0 && head.Revision != change.ExpectedRevision {
		return Outcome{Status: Conflict, Head: head}
	}
	if reason := s.checkZoneKnown(head.Zones, zone); reason != "" {
		return Outcome{Status: Refused, Reasons: []string{reason}}
	}
	now := time.Now().UnixMilli()
	zones, changed := setZone(head.Zones, api.Zone{
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
	// The first revision gets an empty body, so that every head refers to a body row.
	empty := api.Catalogue{
		Organisations: []api.Organisation{}, Teams: []api.Team{}, Classes: []api.Class{}, Entries: []api.Entry{},
	}
	body, err := json.Marshal(empty)
	if err != nil {
		return Outcome{Status: NotApplied, Err: eris.Wrap(err, "encode the catalogue")}
	}
	return s.write(ctx, base, head, empty, body)
}

// readBase reads the current head, on which a change is based.
func (s *Service) readBase(ctx context.Context) (revision.Head, api.ConfigurationHead, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
	defer cancel()
	base, err := s.writer.Read(ctx)
	if err != nil {
		return base, api.ConfigurationHead{}, err
	}
	s.recordStoreAnswer()
	head, err := decodeHead(base)
	return base, head, err
}

// write commits the head as the next revision. A body that is not nil is written
// as the new catalogue.
func (s *Service) write(ctx context.Context, base revision.Head, head api.ConfigurationHead, catalogue api.Catalogue, body []byte) Outcome {
	// The outcome of the change is resolved even if the operator disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	result := s.writer.Write(ctx, base, func(metadata revision.Metadata) (revision.Rows, error) {
		head.Revision = metadata.Revision
		if body != nil {
			head.CatalogueRevision = metadata.Revision
		}
		value, err := json.Marshal(storedHead{ConfigurationHead: head, WriteID: metadata.WriteID})
		return revision.Rows{Head: value, Body: body}, eris.Wrap(err, "encode the head")
	})
	switch result.Status {
	case revision.Accepted:
		s.logger.Info("Configuration change accepted.", zap.Int64("revision", head.Revision), zap.String("by", head.ChangedBy))
		s.adoptWritten(ctx, head, catalogue, body != nil)
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

// adoptWritten puts an accepted revision in force on this daemon without waiting
// for the next poll. The network then announces it to the peers.
func (s *Service) adoptWritten(ctx context.Context, head api.ConfigurationHead, catalogue api.Catalogue, withBody bool) {
	defer s.config.HighestRevision.Raise(head.Revision)
	if withBody {
		s.adopt(api.Configuration{Head: head, Catalogue: catalogue}, "local change")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
	defer cancel()
	if err := s.adoptHead(ctx, head); err != nil {
		s.logger.Warn("Reading the catalogue after a change failed; the next poll retries.", zap.Int64("revision", head.Revision), zap.Error(err))
	}
}

// addMissingZones adds the zones that only the guarantees or the VM list name.
func (s *Service) addMissingZones(zones []api.Zone, catalogue api.Catalogue) []api.Zone {
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

// checkZoneKnown returns the reason for refusing a zone that neither the head nor
// the VM list names, or "". A misspelt name would leave the intended zone in
// service. While the VM list is not available, every zone is accepted.
func (s *Service) checkZoneKnown(zones []api.Zone, name string) string {
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

// setZone returns a copy of the zones with one zone replaced or added, and reports
// whether its state has changed.
func setZone(zones []api.Zone, zone api.Zone) ([]api.Zone, bool) {
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

// unmetGuarantees returns one reason for each zone whose guarantees cannot be met.
func (s *Service) unmetGuarantees(zones []api.Zone, catalogue api.Catalogue) []string {
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

// Bounds of the number of heads that History returns.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 200
)

// History returns up to limit accepted heads, newest first. A limit of 0 or less
// means 20; the maximum is 200.
func (s *Service) History(ctx context.Context, limit int) ([]api.ConfigurationHead, error) {
	if limit <= 0 {
		limit = defaultHistoryLimit
	}
	limit = min(limit, maxHistoryLimit)
	_, head, err := s.readBase(ctx)
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
