package peers

import (
	"github.com/uber-go/tally/v4"

	"github.com/samphirepath/samphirepath/internal/telemetry"
)

// metrics counts frames. Sizes are those of the frames without the few bytes of
// framing that WebSocket and TCP add.
type metrics struct {
	faults          tally.Counter
	connects        tally.Counter
	live            tally.Gauge
	controlSent     tally.Counter
	controlReceived tally.Counter
	bytesSent       map[Kind]tally.Counter
	bytesReceived   map[Kind]tally.Counter
	sentFrames      map[Kind]tally.Counter
	receivedFrames  map[Kind]tally.Counter
	droppedFrames   map[Kind]tally.Counter
}

func newMetrics(root tally.Scope) *metrics {
	scope := telemetry.ScopeOrNoop(root).SubScope("peers")
	m := &metrics{
		faults:          scope.Counter("frame_faults"),
		connects:        scope.Counter("links_opened"),
		live:            scope.Gauge("live"),
		controlSent:     telemetry.ControlSent(root, "peers"),
		controlReceived: telemetry.ControlReceived(root, "peers"),
		bytesSent:       map[Kind]tally.Counter{},
		bytesReceived:   map[Kind]tally.Counter{},
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
		m.bytesSent[kind] = tagged.Counter("sent_bytes")
		m.bytesReceived[kind] = tagged.Counter("received_bytes")
		m.sentFrames[kind] = tagged.Counter("sent_messages")
		m.receivedFrames[kind] = tagged.Counter("received_messages")
		m.droppedFrames[kind] = tagged.Counter("dropped_messages")
	}
	return m
}

// control tells whether a kind counts as overhead of control; the bodies of
// requests and their results do not.
func control(kind Kind) bool { return kind != KindRequestForward && kind != kindRequestResult }

func (m *metrics) sent(kind Kind, size int) {
	m.sentFrames[kind].Inc(1)
	m.bytesSent[kind].Inc(int64(size))
	if control(kind) {
		m.controlSent.Inc(int64(size))
	}
}

func (m *metrics) received(kind Kind, size int) {
	m.receivedFrames[kind].Inc(1)
	m.bytesReceived[kind].Inc(int64(size))
	if control(kind) {
		m.controlReceived.Inc(int64(size))
	}
}

func (m *metrics) dropped(kind Kind) { m.droppedFrames[kind].Inc(1) }
