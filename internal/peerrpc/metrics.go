package peerrpc

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"
)

// Metrics are the metrics of the messages exchanged with peers.
type Metrics struct {
	controlBytes *prometheus.CounterVec
	malformed    prometheus.Counter
	strayFrames  prometheus.Counter
}

// NewMetrics returns metrics that are registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		controlBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigold_control_bytes_total",
			Help: "Bytes of control messages, by peer, message and direction.",
		}, []string{"peer", "message", "direction"}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marigold_peer_malformed_total",
			Help: "Messages that could not be decoded and closed their connection.",
		}),
		strayFrames: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marigold_peer_stray_frames_total",
			Help: "Frames dropped because no attempt of this process waits for them.",
		}),
	}
	reg.MustRegister(m.controlBytes, m.malformed, m.strayFrames)
	return m
}

// count adds the size of a message to the counters if it is a control message.
func (m *Metrics) count(peer, method, direction string, bytes int) {
	if !isControl(method) {
		return
	}
	m.controlBytes.WithLabelValues(peer, method, direction).Add(float64(bytes))
}

// isControl reports whether a method is a control message, as opposed to one
// that carries a request, its response or its cancellation.
func isControl(method string) bool {
	return method != methodSubmit && method != methodFrame && method != methodWithdraw
}

// meter measures the messages of one connection. The codec knows the sizes of
// messages but not their methods. The meter combines both: the connection calls
// onSend right before it writes a message and onReceive right after it has read
// one, each from one goroutine at a time.
type meter struct {
	metrics *Metrics
	peer    string
	// sending is the method of the message that is about to be written.
	sending string
	// readBytes is the size in bytes of the message that was read last.
	readBytes int
}

// codec returns a codec for the connection that reports message sizes to the
// meter.
func (m *meter) codec() codec {
	return codec{
		onWrite: func(bytes int) { m.metrics.count(m.peer, m.sending, "sent", bytes) },
		onRead:  func(bytes int) { m.readBytes = bytes },
	}
}

// options returns the connection options that report methods to the meter.
func (m *meter) options() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{jsonrpc2.OnSend(m.onSend), jsonrpc2.OnRecv(m.onReceive)}
}

// onSend records the method of the message that is about to be written.
func (m *meter) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	m.sending = methodOf(req)
}

// onReceive counts a received message. For replies, the connection also passes the
// request, whose method must not be counted again.
func (m *meter) onReceive(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if resp != nil {
		req = nil
	}
	m.metrics.count(m.peer, methodOf(req), "received", m.readBytes)
}

// methodOf returns the method of a request, or "reply" for a response.
func methodOf(req *jsonrpc2.Request) string {
	if req == nil {
		return "reply"
	}
	return req.Method
}
