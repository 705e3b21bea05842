package peerrpc

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"
)

// Metrics counts what the process exchanges with its peers.
type Metrics struct {
	controlBytes *prometheus.CounterVec
	malformed    prometheus.Counter
	strayFrames  prometheus.Counter
}

// NewMetrics registers the counters with reg.
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

// count adds a message to the counters if it is a control message.
func (m *Metrics) count(peer, method, direction string, bytes int) {
	if !isControl(method) {
		return
	}
	m.controlBytes.WithLabelValues(peer, method, direction).Add(float64(bytes))
}

// isControl tells control messages from those that carry requests.
func isControl(method string) bool {
	return method != methodSubmit && method != methodFrame && method != methodWithdraw
}

// meter counts the messages of one connection. The connection calls onSend
// right before it writes a message, and onReceive right after it has read
// one, each in one goroutine at a time.
type meter struct {
	metrics *Metrics
	peer    string
	sending string
	read    int
}

// codec returns the connection's codec, which reports sizes to the meter.
func (m *meter) codec() codec {
	return codec{
		wrote: func(bytes int) { m.metrics.count(m.peer, m.sending, "sent", bytes) },
		read:  func(bytes int) { m.read = bytes },
	}
}

// options returns the connection options that tell the meter each method.
func (m *meter) options() []jsonrpc2.ConnOpt {
	return []jsonrpc2.ConnOpt{jsonrpc2.OnSend(m.onSend), jsonrpc2.OnRecv(m.onReceive)}
}

func (m *meter) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	m.sending = methodOf(req)
}

func (m *meter) onReceive(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if resp != nil {
		req = nil
	}
	m.metrics.count(m.peer, methodOf(req), "received", m.read)
}

// methodOf returns the method of a request, or "reply" for a response.
func methodOf(req *jsonrpc2.Request) string {
	if req == nil {
		return "reply"
	}
	return req.Method
}
