package loadgen

import (
	"encoding/json"
	"fmt"
	"strings"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
	"github.com/marigoldwing/marigoldwing/internal/standin/service"
)

// bytesPerToken is the estimate used to generate prompts of a given number of
// tokens.
const bytesPerToken = 4

// httpRequest is the method, path and body of a request.
type httpRequest struct {
	method string
	path   string
	body   string
}

// Bodies of the OpenAI-compatible API.
type (
	chatRequest struct {
		Model     string        `json:"model"`
		Messages  []chatMessage `json:"messages"`
		MaxTokens int           `json:"max_tokens"`
		Stream    bool          `json:"stream"`
	}
	chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	chatResponse struct {
		Choices []chatChoice    `json:"choices"`
		Error   json.RawMessage `json:"error"`
	}
	chatChoice struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	}
)

// newHTTPRequest builds the request of an outcome.
func newHTTPRequest(out *Outcome) httpRequest {
	class := out.Arrival.Class
	if class.GetKind() == loadv1.ClassKind_CLASS_KIND_PLAIN {
		return newPlainRequest(out)
	}
	body, err := json.Marshal(chatRequest{
		Model:     class.GetTarget(),
		Messages:  []chatMessage{{Role: "user", Content: prompt(out)}},
		MaxTokens: out.Arrival.OutputTokens,
		Stream:    class.GetStream(),
	})
	if err != nil {
		panic(fmt.Sprintf("loadgen: cannot marshal a chat request: %v", err))
	}
	return httpRequest{method: "POST", path: "/v1/chat/completions", body: string(body)}
}

// newPlainRequest builds a call to a plain service. The mark is in the body or,
// for methods without a body, in the query.
func newPlainRequest(out *Outcome) httpRequest {
	class := out.Arrival.Class
	method, path, _ := strings.Cut(class.GetCall(), " ")
	request := httpRequest{method: method, path: "/services/" + class.GetTarget() + path}
	if method == "GET" || method == "DELETE" {
		request.path += "?mark=" + out.Key
		return request
	}
	request.body = prompt(out)
	return request
}

// prompt returns a text of the arrival's length. It consists of the prefix that
// the class shares, the mark, and padding.
func prompt(out *Outcome) string {
	class := out.Arrival.Class
	size := out.Arrival.PromptTokens * bytesPerToken
	prefix := min(int(class.GetPrefixTokens())*bytesPerToken, size)
	var text strings.Builder
	text.WriteString(padding(class.GetName(), prefix))
	text.WriteString(mark.Wrap(out.Key))
	text.WriteString(padding(out.Key, max(0, size-text.Len())))
	return text.String()
}

// padding repeats a word up to size bytes.
func padding(word string, size int) string {
	times := size/(len(word)+1) + 1
	return strings.Repeat(word+" ", times)[:size]
}

// verifyResponse sets the verdict of a request that received a complete
// response, depending on whether the response belongs to the request.
func verifyResponse(data []byte, out *Outcome) {
	matches := false
	if out.Arrival.Class.GetKind() == loadv1.ClassKind_CLASS_KIND_PLAIN {
		matches = matchesEcho(data, out)
	} else {
		response := chatResponse{}
		err := json.Unmarshal(data, &response)
		matches = err == nil && len(response.Choices) == 1 && response.Choices[0].Message.Content == expectedOutput(out)
	}
	out.Verdict = Mismatched
	if matches {
		out.Verdict = Answered
	}
}

// expectedOutput returns the output that a stand-in engine generates for the
// request.
func expectedOutput(out *Outcome) string {
	return mark.OutputText(out.Key, 0, out.Arrival.OutputTokens)
}

// matchesEcho reports whether the echo of a stand-in service equals the call
// that was sent.
func matchesEcho(data []byte, out *Outcome) bool {
	echo := service.Response{}
	if err := json.Unmarshal(data, &echo); err != nil {
		return false
	}
	sent := newPlainRequest(out)
	path := strings.TrimPrefix(sent.path, "/services/"+out.Arrival.Class.GetTarget())
	return echo.Method == sent.method && echo.Path == path && echo.Body == sent.body
}
