package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/peers"
	"github.com/samphirepath/samphirepath/internal/telemetry"
	"github.com/samphirepath/samphirepath/revision"
	"github.com/samphirepath/samphirepath/table"
)

// rowPrefix starts the keys of all rows of the configuration.
const rowPrefix = "configuration/"

// Config holds the dependencies and settings of a Service.
type Config struct {
	Store table.Store
	// Network reaches the other daemons. nil means that this daemon works without
	// peers.
	Network peers.Network
	// HighestRevision is the highest revision that any daemon is known to have. It
	// is shared with the network.
	HighestRevision *revision.HighWaterMark
	// PollEvery is the interval between reads of the head; default 500 ms.
	PollEvery time.Duration
	// RequestTimeout bounds one read of the store or one call to a peer; default 1 s.
	RequestTimeout time.Duration
	// CheckGuarantees returns an error that says why the guarantees of the catalogue
	// cannot all be met in a zone. nil disables the check.
	CheckGuarantees func(zone string, catalogue api.Catalogue) error
	// Zones returns the zones of the VM list. nil or an empty result means that they
	// are not known.
	Zones  func() []string
	Logger *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
}

// Service follows the configuration and changes it. It implements View.
type Service struct {
	config  Config
	logger  *zap.Logger
	writer  *revision.Writer
	current revision.Latest[api.Configuration]
	reads   *readCoalescer
	// lastAnswer is the time of the last answer from the store, nil before the first.
	lastAnswer       atomic.Pointer[time.Time]
	startedAt        time.Time
	headReads        tally.Counter
	headReadFailures tally.Counter
	revisionGauge    tally.Gauge
	adoptions        tally.Counter
}

var _ View = (*Service)(nil)

// New returns a service and registers its message handlers with the network.
func New(config Config) *Service {
	setDefaults(&config)
	scope := config.Scope.SubScope("configuration")
	s := &Service{
		config:           config,
		logger:           config.Logger,
		writer:           revision.NewWriter(config.Store, rowPrefix),
		startedAt:        time.Now(),
		headReads:        scope.Counter("head_reads"),
		headReadFailures: scope.Counter("head_read_failures"),
		revisionGauge:    scope.Gauge("revision"),
		adoptions:        scope.Counter("revisions_taken"),
	}
	s.reads = &readCoalescer{read: s.readHead}
	if config.Network != nil {
		config.Network.Handle(peers.KindConfigurationRequest, s.serveConfiguration)
		config.Network.Handle(peers.KindZoneConfirmRequest, s.serveConfirmation)
	}
	return s
}

func setDefaults(c *Config) {
	if c.PollEvery <= 0 {
		c.PollEvery = 500 * time.Millisecond
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = time.Second
	}
	if c.HighestRevision == nil {
		c.HighestRevision = &revision.HighWaterMark{}
	}
	if c.CheckGuarantees == nil {
		c.CheckGuarantees = func(string, api.Catalogue) error { return nil }
	}
	if c.Zones == nil {
		c.Zones = func() []string { return nil }
	}
	c.Logger = telemetry.LoggerOrNop(c.Logger)
	c.Scope = telemetry.ScopeOrNoop(c.Scope)
	c.Tracer = telemetry.TracerOrNoop(c.Tracer)
}

// Current returns the newest configuration; treat it as read-only.
func (s *Service) Current() api.Configuration {
	configuration, _ := s.current.Get()
	return configuration
}

// Changed returns a channel that is closed when the next revision is adopted.
func (s *Service) Changed() <-chan struct{} { return s.current.Changed() }

// StoreAge returns the time since the last answer from the table service, or since
// the creation of the service if there has been none.
func (s *Service) StoreAge() time.Duration {
	if at := s.lastAnswer.Load(); at != nil {
		return time.Since(*at)
	}
	return time.Since(s.startedAt)
}

// Run polls the store and fetches newer revisions from peers until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.poll(ctx); return nil })
	if s.config.Network != nil {
		group.Go(func() error { s.followPeers(ctx); return nil })
	}
	return eris.Wrap(group.Wait(), "follow the configuration")
}

func (s *Service) poll(ctx context.Context) {
	ticker := time.NewTicker(s.config.PollEvery)
	defer ticker.Stop()
	failing := false
	for {
		_, err := s.reads.readSince(ctx, time.Now())
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failing {
			failing = err != nil
			s.logStoreState(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) logStoreState(err error) {
	if err != nil {
		s.logger.Warn("Reading the configuration from the table service fails.", zap.Error(err))
		return
	}
	s.logger.Info("Reading the configuration from the table service succeeds again.")
}

// readHead reads the head row and adopts its revision if it is newer.
func (s *Service) readHead(ctx context.Context) (api.ConfigurationHead, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
	defer cancel()
	s.headReads.Inc(1)
	row, err := s.writer.Read(ctx)
	if err != nil {
		s.headReadFailures.Inc(1)
		return api.ConfigurationHead{}, err
	}
	s.recordStoreAnswer()
	head, err := decodeHead(row)
	if err != nil {
		return api.ConfigurationHead{}, err
	}
	// HighestRevision is raised, and thus announced, only after the catalogue has been
	// read: peers ask for a revision as soon as it is announced, and this daemon must
	// be able to serve it by then.
	defer s.config.HighestRevision.Raise(head.Revision)
	if _, current := s.current.Get(); head.Revision > current {
		// The head is returned even if the body cannot be read now, because its
		// zone states are valid. The next poll retries.
		if err := s.adoptHead(ctx, head); err != nil {
			s.logger.Warn("Reading the catalogue failed; the next poll retries.", zap.Int64("revision", head.Revision), zap.Error(err))
		}
	}
	return head, nil
}

func (s *Service) recordStoreAnswer() {
	now := time.Now()
	s.lastAnswer.Store(&now)
}

func decodeHead(row revision.Head) (api.ConfigurationHead, error) {
	var head api.ConfigurationHead
	if row.Version == 0 {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, eris.Wrap(err, "decode the configuration head")
	}
	return head, nil
}

// adoptHead adopts the configuration of a head. It reads the body row only if the
// catalogue has changed.
func (s *Service) adoptHead(ctx context.Context, head api.ConfigurationHead) error {
	current := s.Current()
	catalogue := current.Catalogue
	if current.Head.Revision == 0 || current.Head.CatalogueRevision != head.CatalogueRevision {
		var err error
		if catalogue, err = s.readBody(ctx, head.CatalogueRevision); err != nil {
			return err
		}
	}
	s.adopt(api.Configuration{Head: head, Catalogue: catalogue}, "table service")
	return nil
}

func (s *Service) readBody(ctx context.Context, bodyRevision int64) (api.Catalogue, error) {
	var catalogue api.Catalogue
	row, found, err := s.config.Store.Get(ctx, s.writer.BodyKey(bodyRevision))
	if err != nil {
		return catalogue, eris.Wrap(err, "read the catalogue")
	}
	if !found {
		return catalogue, eris.Errorf("catalogue of revision %d is missing", bodyRevision)
	}
	return catalogue, eris.Wrap(json.Unmarshal(row.Value, &catalogue), "decode the catalogue")
}

// adopt puts a configuration in force if its revision is higher than the current
// one. Raising HighestRevision afterwards makes the network announce it.
func (s *Service) adopt(configuration api.Configuration, source string) {
	defer s.config.HighestRevision.Raise(configuration.Head.Revision)
	if !s.current.Update(configuration.Head.Revision, configuration) {
		return
	}
	s.adoptions.Inc(1)
	s.revisionGauge.Update(float64(configuration.Head.Revision))
	s.logger.Info("Configuration adopted.",
		zap.Int64("revision", configuration.Head.Revision), zap.String("source", source))
}

// errNoConfirmation holds the message for a zone whose state neither the table service
// nor a peer confirmed. Most errors only contain its text and do not wrap it.
var errNoConfirmation = errors.New("neither the table service nor a peer confirmed the state of the zone")
