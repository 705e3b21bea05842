package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	enginev1 "github.com/marigoldwing/marigoldwing/api/engine/v1"
	api "github.com/marigoldwing/marigoldwing/internal/engine"
	"github.com/marigoldwing/marigoldwing/internal/enginemodel"
	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
)

// testTimeScale makes the simulated engines fast enough for tests.
const testTimeScale = 50

// startEngine starts a stand-in engine and returns it with a client and its
// base URL. change, if not nil, modifies the options.
func startEngine(t *testing.T, change func(*Options)) (*Engine, api.Engine, string) {
	t.Helper()
	opts := Options{Settings: enginemodel.DefaultSettings(), TimeScale: testTimeScale, ChecksFencing: true, Seed: 1}
	if change != nil {
		change(&opts)
	}
	e, err := New(opts)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, api.NewHTTP(server.URL), server.URL
}

// newRequest returns a request whose prompt carries the mark "k-" followed by
// id.
func newRequest(id string, tokens int32) *enginev1.GenerateRequest {
	return &enginev1.GenerateRequest{Id: id, RequestId: "r-" + id, Prompt: "what is due " + mark.Wrap("k-"+id), MaxTokens: tokens}
}

// readAll reads a stream to its end and returns its text and its last event.
func readAll(stream api.Stream) (string, *enginev1.GenerateEvent, error) {
	var text strings.Builder
	for {
		event, err := stream.Next()
		if err != nil {
			return text.String(), nil, err
		}
		text.WriteString(event.GetText())
		if event.GetDone() {
			return text.String(), event, nil
		}
	}
}

// A stream carries exactly the marked tokens of its request, and the record
// shows the completed sequence.
func TestStreamIsCompleteAndMarked(t *testing.T) {
	e, client, _ := startEngine(t, nil)
	stream, err := client.Generate(t.Context(), newRequest("a", 40))
	require.NoError(t, err)
	text, last, err := readAll(stream)
	require.NoError(t, err)
	require.Equal(t, mark.OutputText("k-a", 0, 40), text)
	require.Equal(t, "length", last.GetFinishReason())
	_, err = stream.Next()
	require.Equal(t, io.EOF, err)
	record := e.Snapshot()
	require.Len(t, record.Sequences, 1)
	require.Equal(t, OutcomeDone, record.Sequences[0].Outcome)
	require.Equal(t, "r-a", record.Sequences[0].RequestID)
}

// A sequence that is exported in mid-stream and continued by another engine
// yields the same bytes as an uninterrupted one.
func TestExportedSequenceContinuesByteForByte(t *testing.T) {
	_, from, fromURL := startEngine(t, func(o *Options) { o.TimeScale = 1; o.Settings.ExportTTL = time.Hour })
	to, toClient, _ := startEngine(t, func(o *Options) { o.Settings.Role = configv1.Role_ROLE_DECODE })
	req := newRequest("a", 200)
	stream, err := from.Generate(t.Context(), req)
	require.NoError(t, err)
	first, err := stream.Next()
	require.NoError(t, err)
	handle, err := from.ExportKV(t.Context(), "a")
	require.NoError(t, err)
	rest, last, err := readAll(stream)
	require.NoError(t, err)
	require.Equal(t, "moved", last.GetFinishReason())
	require.Equal(t, handle, last.GetKvHandle())

	firstPart := first.GetText() + rest
	req.ResumeFromToken = int32(len(firstPart) / len(mark.TokenText("", 0)))
	req.KvHandle, req.KvSource = handle, fromURL
	stream, err = toClient.Generate(t.Context(), req)
	require.NoError(t, err)
	secondPart, _, err := readAll(stream)
	require.NoError(t, err)
	require.Equal(t, mark.OutputText("k-a", 0, 200), firstPart+secondPart)
	require.Equal(t, OutcomeDone, to.Snapshot().Sequences[0].Outcome)
}

// A prefill engine exports its KV cache to a decode engine. The decode engine
// rejects requests without a KV cache, and a handle works only once.
func TestPrefillOnlyExportsKVCache(t *testing.T) {
	_, prefill, url := startEngine(t, func(o *Options) {
		o.Settings.Role = configv1.Role_ROLE_PREFILL
		o.Settings.ExportTTL = time.Hour
	})
	_, decode, _ := startEngine(t, func(o *Options) { o.Settings.Role = configv1.Role_ROLE_DECODE })
	req := newRequest("a", 8)
	_, err := decode.Generate(t.Context(), req)
	require.ErrorIs(t, err, api.ErrRefused)
	req.PrefillOnly = true
	stream, err := prefill.Generate(t.Context(), req)
	require.NoError(t, err)
	_, last, err := readAll(stream)
	require.NoError(t, err)
	require.Equal(t, "stop", last.GetFinishReason())

	req.PrefillOnly, req.KvHandle, req.KvSource = false, last.GetKvHandle(), url
	stream, err = decode.Generate(t.Context(), req)
	require.NoError(t, err)
	text, _, err := readAll(stream)
	require.NoError(t, err)
	require.Equal(t, mark.OutputText("k-a", 0, 8), text)
	_, err = decode.Generate(t.Context(), req)
	require.ErrorIs(t, err, api.ErrRefused, "the first import released the KV cache")
}

// readUnchecked reads a stream without the client's checks of sequence IDs and
// token indexes.
func readUnchecked(body io.Reader) (string, error) {
	scan := bufio.NewScanner(body)
	var text strings.Builder
	for scan.Scan() {
		event := &enginev1.GenerateEvent{}
		if err := protojson.Unmarshal(scan.Bytes(), event); err != nil {
			return "", err
		}
		text.WriteString(event.GetText())
	}
	return text.String(), nil
}

// The client reports streams with the wrong sequence ID and truncated streams
// as interrupted, while a reader without checks accepts them.
func TestBrokenStreamsAreReported(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
	}{
		{"wrong sequence ID", Faults{WrongSequenceID: true}},
		{"truncated", Faults{TruncateAfterEvents: 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, client, _ := startEngine(t, nil)
			stream, err := client.Generate(t.Context(), newRequest("first", 5))
			require.NoError(t, err)
			_, _, err = readAll(stream)
			require.NoError(t, err)
			e.SetFaults(tt.faults)
			stream, err = client.Generate(t.Context(), newRequest("second", 20))
			require.NoError(t, err)
			_, _, err = readAll(stream)
			require.ErrorIs(t, err, api.ErrInterrupted)
		})
	}
	t.Run("a reader without checks accepts a wrong sequence ID", func(t *testing.T) {
		e, _, url := startEngine(t, nil)
		e.SetFaults(Faults{WrongSequenceID: true})
		body, err := protojson.Marshal(newRequest("a", 5))
		require.NoError(t, err)
		resp, err := http.Post(url+api.PathGenerate, "application/json", strings.NewReader(string(body)))
		require.NoError(t, err)
		defer resp.Body.Close()
		text, err := readUnchecked(resp.Body)
		require.NoError(t, err)
		require.NotEmpty(t, text)
	})
}

// Cancelling is idempotent and ends the stream normally; a crash interrupts the
// stream, and later calls are rejected.
func TestCancelAndCrash(t *testing.T) {
	e, client, _ := startEngine(t, func(o *Options) { o.TimeScale = 1 })
	stream, err := client.Generate(t.Context(), newRequest("a", 1000))
	require.NoError(t, err)
	require.NoError(t, client.Cancel(t.Context(), "a"))
	require.NoError(t, client.Cancel(t.Context(), "a"))
	_, last, err := readAll(stream)
	require.NoError(t, err)
	require.Equal(t, "cancelled", last.GetFinishReason())

	stream, err = client.Generate(t.Context(), newRequest("b", 1000))
	require.NoError(t, err)
	e.Crash()
	_, _, err = readAll(stream)
	require.ErrorIs(t, err, api.ErrInterrupted)
	_, err = client.Generate(t.Context(), newRequest("c", 1))
	require.ErrorIs(t, err, api.ErrRefused)
	outcomes := []Outcome{e.Snapshot().Sequences[0].Outcome, e.Snapshot().Sequences[1].Outcome}
	require.Equal(t, []Outcome{OutcomeCancelled, OutcomeFailed}, outcomes)
}

// A refused connection and an invalid base URL are both reported as
// ErrUnreachable.
func TestUnreachable(t *testing.T) {
	server := httptest.NewServer(nil)
	url := server.URL
	server.Close()
	for _, base := range []string{url, "::not a url"} {
		_, err := api.NewHTTP(base).State(t.Context())
		require.ErrorIs(t, err, api.ErrUnreachable, base)
	}
}

// Orders are fenced if the engine checks fencing tokens, have no effect if the
// engine crashes meanwhile, and are not sent if the pre-send check fails.
func TestOrders(t *testing.T) {
	decode := &enginev1.Order{Fencing: 7, Role: configv1.Role_ROLE_DECODE}
	old := &enginev1.Order{Fencing: 6, Role: configv1.Role_ROLE_PREFILL}

	t.Run("a lower fencing token is rejected", func(t *testing.T) {
		_, client, _ := startEngine(t, nil)
		reply, err := client.Order(t.Context(), decode)
		require.NoError(t, err)
		require.True(t, reply.GetAccepted())
		reply, err = client.Order(t.Context(), old)
		require.NoError(t, err)
		require.False(t, reply.GetAccepted())
		require.Equal(t, configv1.Role_ROLE_DECODE, reply.GetState().GetRole())
	})
	t.Run("an engine without fencing accepts a lower token", func(t *testing.T) {
		_, client, _ := startEngine(t, func(o *Options) { o.ChecksFencing = false })
		_, err := client.Order(t.Context(), decode)
		require.NoError(t, err)
		reply, err := client.Order(t.Context(), old)
		require.NoError(t, err)
		require.True(t, reply.GetAccepted())
		require.Equal(t, configv1.Role_ROLE_PREFILL, reply.GetState().GetRole())
	})
	t.Run("a crash during the order leaves the old role", func(t *testing.T) {
		e, client, _ := startEngine(t, func(o *Options) { o.Settings.RoleChangeTime = time.Hour })
		e.SetFaults(Faults{CrashDuringOrderMs: 10})
		_, err := client.Order(t.Context(), decode)
		require.ErrorIs(t, err, api.ErrInterrupted)
		e.Restart()
		require.Equal(t, configv1.Role_ROLE_MIXED, e.state().GetRole())
		require.Equal(t, uint64(2), e.state().GetIncarnation())
	})
	t.Run("a failed pre-send check sends nothing", func(t *testing.T) {
		e, client, _ := startEngine(t, nil)
		expired := errors.New("order expired")
		ctx := api.WithSendCheck(t.Context(), func() error { return expired })
		_, err := client.Order(ctx, decode)
		require.ErrorIs(t, err, expired)
		require.ErrorIs(t, err, api.ErrUnreachable)
		require.Empty(t, e.Snapshot().Orders)
	})
}

// Cache events carry one prefix hash per whole block of the prompt, and a
// repeated prompt is found in the cache.
func TestCacheEventsCarryPrefixHashes(t *testing.T) {
	e, client, _ := startEngine(t, func(o *Options) { o.Settings.CacheEventLag = 0; o.Settings.CacheEventLoss = 0 })
	req := newRequest("a", 1)
	req.Prompt = strings.Repeat("rule ", 500)
	stream, err := client.Generate(t.Context(), req)
	require.NoError(t, err)
	_, _, err = readAll(stream)
	require.NoError(t, err)
	events, err := client.CacheEvents(t.Context(), 0)
	require.NoError(t, err)
	require.Len(t, events.GetEvents(), len(req.Prompt)/prefixBlockBytes)
	require.Equal(t, prefixHashes(req.Prompt)[0], events.GetEvents()[0].GetPrefixHash())

	req.Id = "b"
	stream, err = client.Generate(t.Context(), req)
	require.NoError(t, err)
	_, last, err := readAll(stream)
	require.NoError(t, err)
	require.Equal(t, int32(2*PrefixBlockTokens), last.GetCachedTokens(), fmt.Sprint(e.Snapshot()))
}
