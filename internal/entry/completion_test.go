package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

// FuzzParseCompletion checks that any body is either parsed into a usable
// request or refused as bad input that was not executed.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":-1}`), false)
	f.Add([]byte(`{"model":1}`), true)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		parsed, ref := parseCompletion(body, chat)
		if ref != nil {
			require.Equal(t, peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, ref.reason)
			require.Equal(t, "true", ref.notRun())
			return
		}
		q := &callerRequest{service: &configv1.Service{DefaultOutputTokens: 7}}
		q.setCompletion(parsed)
		require.NotEmpty(t, q.body)
		require.Positive(t, q.promptTokens)
		require.Positive(t, q.outputTokens)
		require.LessOrEqual(t, q.outputTokens, maxOutputTokens)
		require.LessOrEqual(t, len(q.prefixHashes), maxPrefixBlocks)
	})
}

// TestPrefixHashesCoverLeadingBlocks checks that prompts with the same leading
// blocks share their hashes, and that an incomplete block has none.
func TestPrefixHashesCoverLeadingBlocks(t *testing.T) {
	block := string(make([]byte, prefixBlockBytes))
	short := prefixHashes(block + block + "x")
	long := prefixHashes(block + block + block)
	require.Len(t, short, 2)
	require.Equal(t, short, long[:2])
	require.Empty(t, prefixHashes("short"))
	require.NotEqual(t, short[0], prefixHashes("y" + block)[0])
}
