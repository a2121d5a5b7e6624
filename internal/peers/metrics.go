package peers

import (
	"github.com/uber-go/tally/v4"

	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// metrics holds the metrics of a mesh. Bytes are those of the frames, without the
// overhead of WebSocket and TCP.
type metrics struct {
	frameFaults     tally.Counter
	linksOpened     tally.Counter
	liveMembers     tally.Gauge
	controlSent     tally.Counter
	controlReceived tally.Counter
	sentBytes       map[Kind]tally.Counter
	receivedBytes   map[Kind]tally.Counter
	sentFrames      map[Kind]tally.Counter
	receivedFrames  map[Kind]tally.Counter
	droppedFrames   map[Kind]tally.Counter
}

func newMetrics(root tally.Scope) *metrics {
	scope := telemetry.ScopeOrNoop(root).SubScope("peers")
	m := &metrics{
		frameFaults:     scope.Counter("frame_faults"),
		linksOpened:     scope.Counter("links_opened"),
		liveMembers:     scope.Gauge("live"),
		controlSent:     telemetry.ControlSent(root, "peers"),
		controlReceived: telemetry.ControlReceived(root, "peers"),
		sentBytes:       map[Kind]tally.Counter{},
		receivedBytes:   map[Kind]tally.Counter{},
		sentFrames:      map[Kind]tally.Counter{},
		receivedFrames:  map[Kind]tally.Counter{},
		droppedFrames:   map[Kind]tally.Counter{},
	}
	for _, kind := range []Kind{
		kindHello, kindHeartbeat, kindZoneConfirm, kindRequestResult, kindEmpty,
		KindConfigurationRequest, KindConfiguration, KindZoneConfirmRequest,
		KindRequestForward, KindRequestCancel, KindTaskUpdate, KindJobHint,
	} {
		tagged := scope.Tagged(map[string]string{"kind": string(kind)})
		m.sentBytes[kind] = tagged.Counter("sent_bytes")
		m.receivedBytes[kind] = tagged.Counter("received_bytes")
		m.sentFrames[kind] = tagged.Counter("sent_messages")
		m.receivedFrames[kind] = tagged.Counter("received_messages")
		m.droppedFrames[kind] = tagged.Counter("dropped_messages")
	}
	return m
}

// isControl reports whether messages of the kind count as control traffic; request
// bodies and results do not.
func isControl(kind Kind) bool { return kind != KindRequestForward && kind != kindRequestResult }

func (m *metrics) sent(kind Kind, size int) {
	m.sentFrames[kind].Inc(1)
	m.sentBytes[kind].Inc(int64(size))
	if isControl(kind) {
		m.controlSent.Inc(int64(size))
	}
}

func (m *metrics) received(kind Kind, size int) {
	m.receivedFrames[kind].Inc(1)
	m.receivedBytes[kind].Inc(int64(size))
	if isControl(kind) {
		m.controlReceived.Inc(int64(size))
	}
}

func (m *metrics) dropped(kind Kind) { m.droppedFrames[kind].Inc(1) }
