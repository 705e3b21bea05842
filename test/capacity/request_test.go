package capacity

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
)

const (
	callers           = 16
	requestsPerCaller = 60
	// fastRate makes the processing time of the engine negligible.
	fastRate = 1e9
)

// BenchmarkRequest reports the CPU time that a streamed request takes at the
// entry and at the agent, by its number of output tokens.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{4, 64, 256} {
		b.Run(fmt.Sprintf("tokens=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureRequests(b, size)
			}
		})
	}
}

// measureRequests starts an entry, an agent and an engine, and reports their
// CPU time per request.
func measureRequests(b *testing.B, tokens int) {
	settings := enginemodel.DefaultSettings()
	settings.PrefillRate = fastRate
	settings.DecodeStep, settings.DecodeStepPerSequence = 100*time.Microsecond, 0
	agentPeer, entryPeer := freeAddress(b), freeAddress(b)
	d := deployment(0, 0)
	d.BackendServers = []*configv1.BackendServer{{
		Name: engineName(0), Service: "model-0", FailureDomain: domainName(0), Agent: agentPeer, Address: startEngine(b, settings),
		Role: configv1.Role_ROLE_MIXED, PrefillTokensPerSecond: fastRate, DecodeTokensPerSecond: fastRate, MaxBatch: 64,
	}}
	_, platformURL := newPlatform(b, d)
	peers := []string{entryPeer, agentPeer}
	agentDaemon := start(b, "marigold-agent", "agent-0", domainName(0), agentPeer, platformURL, peers, "-exclusive-address", freeAddress(b))
	entryDaemon := start(b, "marigold-entry", "entry-0", domainName(0), entryPeer, platformURL, peers)
	body := fmt.Sprintf(`{"model":"model-0","messages":[{"role":"user","content":"hi"}],"max_tokens":%d,"stream":true}`, tokens)
	send := func() error { return streamRequest(entryDaemon.url, body) }
	require.Eventually(b, func() bool { return send() == nil }, 20*time.Second, 50*time.Millisecond)
	entryBefore, agentBefore := entryDaemon.readCost(b), agentDaemon.readCost(b)
	sendAll(b, send)
	entryAfter, agentAfter := entryDaemon.readCost(b), agentDaemon.readCost(b)
	perRequest := func(before, after cost) float64 {
		return (after.cpuSeconds - before.cpuSeconds) / (callers * requestsPerCaller) * 1e6
	}
	b.ReportMetric(perRequest(entryBefore, entryAfter), "entry-cpu-µs/req")
	b.ReportMetric(perRequest(agentBefore, agentAfter), "agent-cpu-µs/req")
}

// sendAll sends requestsPerCaller requests from each of the concurrent callers.
func sendAll(b *testing.B, send func() error) {
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			for range requestsPerCaller {
				if err := send(); err != nil {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(b, group.Wait())
}

// streamRequest sends a request and reads its response. It returns an error
// unless the response is complete.
func streamRequest(base, body string) error {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("X-Client", "load")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		return fmt.Errorf("status %s, incomplete response of %d bytes", resp.Status, len(data))
	}
	return nil
}
