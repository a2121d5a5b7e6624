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

// Prefix of the rows of the configuration.
const rowPrefix = "configuration/"

// Config holds the dependencies of a service.
type Config struct {
	Store table.Store
	// Network reaches the other daemons; nil works without them.
	Network peers.Network
	// HighestRevision is the highest revision heard of, shared with the network.
	HighestRevision *revision.HighWaterMark
	// PollEvery is the interval of reads of the head; default 500 ms.
	PollEvery time.Duration
	// RequestTimeout bounds one read of the store or one call to a peer; default 1 s.
	RequestTimeout time.Duration
	// CheckGuarantees tells why the guarantees of the catalogue cannot all be met in a
	// zone; nil checks nothing.
	CheckGuarantees func(zone string, catalogue api.Catalogue) error
	// Zones gives the zones of the VM list; nil or an empty answer knows none.
	Zones  func() []string
	Logger *zap.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
}

// Service follows the configuration and changes it. It implements View.
type Service struct {
	config Config
	logger *zap.Logger
	writer *revision.Writer
	held   revision.Latest[api.Configuration]
	reads  *sharedRead
	// answered is the time of the last answer of the store.
	answered atomic.Pointer[time.Time]
	began    time.Time
	polls    tally.Counter
	failures tally.Counter
	inForce  tally.Gauge
	adopted  tally.Counter
}

var _ View = (*Service)(nil)

// New returns a service and registers its handlers with the network.
func New(config Config) *Service {
	setDefaults(&config)
	scope := config.Scope.SubScope("configuration")
	s := &Service{
		config:   config,
		logger:   config.Logger,
		writer:   revision.NewWriter(config.Store, rowPrefix),
		began:    time.Now(),
		polls:    scope.Counter("head_reads"),
		failures: scope.Counter("head_read_failures"),
		inForce:  scope.Gauge("revision"),
		adopted:  scope.Counter("revisions_taken"),
	}
	s.reads = &sharedRead{read: s.readHead}
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
	configuration, _ := s.held.Get()
	return configuration
}

// Changed returns a channel that is closed when the next revision is taken.
func (s *Service) Changed() <-chan struct{} { return s.held.Changed() }

// StoreAge returns the time since the last answer of the table service, or
// since the start of this process when there was none.
func (s *Service) StoreAge() time.Duration {
	if at := s.answered.Load(); at != nil {
		return time.Since(*at)
	}
	return time.Since(s.began)
}

// Run polls the store and follows the peers until ctx ends.
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
		_, err := s.reads.newer(ctx, time.Now())
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failing {
			failing = err != nil
			s.logStore(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) logStore(err error) {
	if err != nil {
		s.logger.Warn("Configuration cannot be read from the table service.", zap.Error(err))
		return
	}
	s.logger.Info("Configuration is read from the table service again.")
}

// readHead reads the head row and takes its revision if it is newer.
func (s *Service) readHead(ctx context.Context) (api.ConfigurationHead, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.RequestTimeout)
	defer cancel()
	s.polls.Inc(1)
	row, err := s.writer.Read(ctx)
	if err != nil {
		s.failures.Inc(1)
		return api.ConfigurationHead{}, err
	}
	s.noteAnswer()
	head, err := decodeHead(row)
	if err != nil {
		return api.ConfigurationHead{}, err
	}
	// The mark moves after the load: peers ask for a revision as soon as they
	// hear of it, and this daemon should hold it by then.
	defer s.config.HighestRevision.Raise(head.Revision)
	if _, held := s.held.Get(); head.Revision > held {
		// The zone states of the head are valid even when the body cannot be
		// read now; the next poll tries again.
		if err := s.load(ctx, head); err != nil {
			s.logger.Warn("Catalogue cannot be read.", zap.Int64("revision", head.Revision), zap.Error(err))
		}
	}
	return head, nil
}

func (s *Service) noteAnswer() {
	now := time.Now()
	s.answered.Store(&now)
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

// load takes the configuration of a head, reading the body only when the
// catalogue has changed.
func (s *Service) load(ctx context.Context, head api.ConfigurationHead) error {
	held := s.Current()
	catalogue := held.Catalogue
	if held.Head.Revision == 0 || held.Head.CatalogueRevision != head.CatalogueRevision {
		var err error
		if catalogue, err = s.readBody(ctx, head.CatalogueRevision); err != nil {
			return err
		}
	}
	s.take(api.Configuration{Head: head, Catalogue: catalogue}, "table service")
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

// take adopts a configuration if its revision is higher than the one held, and
// then lets the network announce it.
func (s *Service) take(configuration api.Configuration, source string) {
	defer s.config.HighestRevision.Raise(configuration.Head.Revision)
	if !s.held.Update(configuration.Head.Revision, configuration) {
		return
	}
	s.adopted.Inc(1)
	s.inForce.Update(float64(configuration.Head.Revision))
	s.logger.Info("Configuration taken.",
		zap.Int64("revision", configuration.Head.Revision), zap.String("source", source))
}

// errNoConfirmation is returned when nobody could confirm the state of a zone.
var errNoConfirmation = errors.New("neither the table service nor a peer confirmed the state of the zone")
