package entry

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
)

const (
	// bytesPerToken is the estimated number of prompt bytes per token.
	bytesPerToken = 4
	// prefixBlockBytes is the number of prompt bytes by which each prefix hash
	// extends the previous one.
	prefixBlockBytes = 1024
	// maxPrefixBlocks bounds the number of prefix hashes of a request.
	maxPrefixBlocks = 64
	// maxOutputTokens is the largest output that a caller may request.
	maxOutputTokens = 1 << 17
	// defaultOutputTokens applies to services that set no default.
	defaultOutputTokens = 256
)

// chatMessage is one message of a chat request or response.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionBody contains the fields of OpenAI-compatible request bodies that
// are evaluated.
type completionBody struct {
	Model               string        `json:"model"`
	Prompt              string        `json:"prompt"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

// parseCompletion parses and validates a completion body.
func parseCompletion(body []byte, chat bool) (*completionBody, *refusal) {
	parsed := &completionBody{}
	if err := json.Unmarshal(body, parsed); err != nil {
		return nil, refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, "the body is not a valid JSON request: %v", err)
	}
	if parsed.Model == "" {
		return nil, refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, "model is missing")
	}
	if chat && len(parsed.Messages) == 0 {
		return nil, refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, "messages is missing or empty")
	}
	if !chat && parsed.Prompt == "" {
		return nil, refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, "prompt is missing or empty")
	}
	if limit := parsed.maxTokens(); limit != nil && (*limit < 1 || *limit > maxOutputTokens) {
		return nil, refuse(peerv1.RefusalReason_REFUSAL_REASON_BAD_REQUEST, "max_tokens must be 1 to %d, got %d", maxOutputTokens, *limit)
	}
	return parsed, nil
}

func (b *completionBody) maxTokens() *int {
	if b.MaxCompletionTokens != nil {
		return b.MaxCompletionTokens
	}
	return b.MaxTokens
}

// prompt returns the text that the engine is to continue.
func (b *completionBody) prompt() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// setCompletion sets the fields of a request to a model service.
func (q *callerRequest) setCompletion(b *completionBody) {
	prompt := b.prompt()
	q.stream = b.Stream
	q.idempotent = true
	q.body = []byte(prompt)
	q.contentType = "text/plain"
	q.promptTokens = (len(prompt) + bytesPerToken - 1) / bytesPerToken
	q.prefixHashes = prefixHashes(prompt)
	q.outputTokens = outputTokens(b.maxTokens(), int(q.service.GetDefaultOutputTokens()))
}

func outputTokens(requested *int, serviceDefault int) int {
	if requested != nil {
		return *requested
	}
	if serviceDefault > 0 {
		return serviceDefault
	}
	return defaultOutputTokens
}

// prefixHashes returns the hashes of the prompt's first block, of its first two
// blocks, and so on. An incomplete last block is left out.
func prefixHashes(prompt string) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.WriteString(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
