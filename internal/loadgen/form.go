package loadgen

import (
	"encoding/json"
	"fmt"
	"strings"

	loadv1 "github.com/marigoldwing/marigoldwing/api/load/v1"
	"github.com/marigoldwing/marigoldwing/internal/standin/mark"
	"github.com/marigoldwing/marigoldwing/internal/standin/service"
)

// bytesPerToken is the estimate by which prompts are made long enough.
const bytesPerToken = 4

// form is how a request is written.
type form struct {
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
	chatAnswer struct {
		Choices []chatChoice    `json:"choices"`
		Error   json.RawMessage `json:"error"`
	}
	chatChoice struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	}
)

// formFor writes the request of an outcome.
func formFor(out *Outcome) form {
	class := out.Arrival.Class
	if class.GetKind() == loadv1.ClassKind_CLASS_KIND_PLAIN {
		return plainForm(out)
	}
	body, err := json.Marshal(chatRequest{
		Model:     class.GetTarget(),
		Messages:  []chatMessage{{Role: "user", Content: prompt(out)}},
		MaxTokens: out.Arrival.OutputTokens,
		Stream:    class.GetStream(),
	})
	if err != nil {
		panic(fmt.Sprintf("load: a chat request does not marshal: %v", err))
	}
	return form{method: "POST", path: "/v1/chat/completions", body: string(body)}
}

// plainForm writes a call with its mark in the body, or in the query of a
// method that has none.
func plainForm(out *Outcome) form {
	class := out.Arrival.Class
	method, path, _ := strings.Cut(class.GetCall(), " ")
	f := form{method: method, path: "/services/" + class.GetTarget() + path}
	if method == "GET" || method == "DELETE" {
		f.path += "?mark=" + out.Key
		return f
	}
	f.body = prompt(out)
	return f
}

// prompt returns a text of the arrival's length: the part that its class
// shares, the mark, and filling.
func prompt(out *Outcome) string {
	class := out.Arrival.Class
	size := out.Arrival.PromptTokens * bytesPerToken
	shared := min(int(class.GetPrefixTokens())*bytesPerToken, size)
	var text strings.Builder
	text.WriteString(filling(class.GetName(), shared))
	text.WriteString(mark.Wrap(out.Key))
	text.WriteString(filling(out.Key, max(0, size-text.Len())))
	return text.String()
}

// filling repeats a word up to a number of bytes.
func filling(word string, size int) string {
	times := size/(len(word)+1) + 1
	return strings.Repeat(word+" ", times)[:size]
}

// judgeWhole tells whether a whole answer is the request's own.
func judgeWhole(data []byte, out *Outcome) {
	own := false
	if out.Arrival.Class.GetKind() == loadv1.ClassKind_CLASS_KIND_PLAIN {
		own = isOwnPlain(data, out)
	} else {
		answer := chatAnswer{}
		err := json.Unmarshal(data, &answer)
		own = err == nil && len(answer.Choices) == 1 && answer.Choices[0].Message.Content == wanted(out)
	}
	out.Verdict = Mismatched
	if own {
		out.Verdict = Answered
	}
}

// wanted returns the text that the stand-in gives for the request.
func wanted(out *Outcome) string {
	return mark.OutputText(out.Key, 0, out.Arrival.OutputTokens)
}

// isOwnPlain compares a stand-in service's echo with what was sent.
func isOwnPlain(data []byte, out *Outcome) bool {
	echo := service.Response{}
	if err := json.Unmarshal(data, &echo); err != nil {
		return false
	}
	sent := plainForm(out)
	path := strings.TrimPrefix(sent.path, "/services/"+out.Arrival.Class.GetTarget())
	return echo.Method == sent.method && echo.Path == path && echo.Body == sent.body
}
