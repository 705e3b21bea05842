package entry

import (
	"encoding/json"
	"fmt"
	"time"
)

// Response bodies of the OpenAI-compatible API.
type (
	completionAnswer struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Created int64              `json:"created"`
		Model   string             `json:"model"`
		Choices []completionChoice `json:"choices"`
		Usage   *usage             `json:"usage,omitempty"`
	}
	completionChoice struct {
		Index        int          `json:"index"`
		Text         *string      `json:"text,omitempty"`
		Message      *chatMessage `json:"message,omitempty"`
		Delta        *chatDelta   `json:"delta,omitempty"`
		FinishReason *string      `json:"finish_reason"`
	}
	chatDelta struct {
		Content string `json:"content,omitempty"`
	}
	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
	modelList struct {
		Object string      `json:"object"`
		Data   []modelItem `json:"data"`
	}
	modelItem struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
)

// renderer formats the response to one completion request.
type renderer struct {
	request *callerRequest
	model   string
	chat    bool
	created time.Time
}

// complete returns the body of a complete response and its content type.
func (r *renderer) complete(text []byte, tokens int) ([]byte, string) {
	reason := r.finishReason(tokens)
	choice := completionChoice{FinishReason: &reason}
	content := string(text)
	if r.chat {
		choice.Message = &chatMessage{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	answer := r.answer("chat.completion", "text_completion", choice)
	answer.Usage = &usage{
		PromptTokens:     r.request.promptTokens,
		CompletionTokens: tokens,
		TotalTokens:      r.request.promptTokens + tokens,
	}
	return mustJSON(answer), "application/json"
}

// event returns the JSON of one stream event.
func (r *renderer) event(text string, final bool) []byte {
	choice := completionChoice{}
	if r.chat {
		choice.Delta = &chatDelta{Content: text}
	} else {
		choice.Text = &text
	}
	if final {
		reason := "stop"
		choice.FinishReason = &reason
	}
	return mustJSON(r.answer("chat.completion.chunk", "text_completion", choice))
}

func (r *renderer) answer(chatObject, textObject string, choice completionChoice) *completionAnswer {
	object := textObject
	if r.chat {
		object = chatObject
	}
	return &completionAnswer{
		ID:      r.request.id,
		Object:  object,
		Created: r.created.Unix(),
		Model:   r.model,
		Choices: []completionChoice{choice},
	}
}

func (r *renderer) finishReason(tokens int) string {
	if tokens >= r.request.outputTokens {
		return "length"
	}
	return "stop"
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("entry: %T does not marshal: %v", v, err))
	}
	return data
}
