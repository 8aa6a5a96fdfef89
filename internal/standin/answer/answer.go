// Package answer defines the responses of the simulated engine. A response
// depends only on the key, the prompt and the length of its request, so that a
// test can compare it byte by byte, no matter where and in how many segments it
// was read.
package answer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// doneEvent is the last event of a complete stream.
const doneEvent = "data: [DONE]\n\n"

// finishStop is the finish reason of a complete response.
const finishStop = "stop"

// Request holds the parameters that determine a response.
type Request struct {
	// Key is the request key as the engine received it.
	Key string
	// Prompt is the text of the prompt. For a chat it is the contents of all
	// messages, each followed by a line feed.
	Prompt string
	// Tokens is the length of the response.
	Tokens int
	// Chat selects a chat completion instead of a text completion.
	Chat bool
}

// Usage reports the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Message is a chat message, or the part of it that one event carries.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is the only alternative in a response.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is the JSON of a complete response or of one event of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// PromptTokens returns the length of a prompt in tokens.
func PromptTokens(prompt string) int {
	const bytesPerToken = 4
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// Token returns the text of one token of the response.
func (r Request) Token(index int) string {
	sum := xxhash.Sum64String(r.Key + "\x00" + r.Prompt + "\x00" + strconv.Itoa(index))
	return "t" + strconv.FormatUint(sum%(1<<20), 36) + " "
}

// Text returns the text of the complete response.
func (r Request) Text() string {
	var text strings.Builder
	for index := range r.Tokens {
		text.WriteString(r.Token(index))
	}
	return text.String()
}

// Event returns the server-sent event for one token.
func (r Request) Event(index int) []byte {
	choice := Choice{}
	object := "text_completion"
	if r.Chat {
		object = "chat.completion.chunk"
		choice.Delta = &Message{Content: r.Token(index)}
	} else {
		choice.Text = r.Token(index)
	}
	return encodeEvent(Completion{ID: r.Key, Object: object, Choices: []Choice{choice}})
}

// End returns the event that ends a complete stream.
func (r Request) End() []byte { return []byte(doneEvent) }

// Stream returns the complete event stream.
func (r Request) Stream() []byte {
	var stream bytes.Buffer
	for index := range r.Tokens {
		stream.Write(r.Event(index))
	}
	stream.Write(r.End())
	return stream.Bytes()
}

// Body returns the complete response to a request without streaming.
func (r Request) Body() []byte {
	finish := finishStop
	choice := Choice{FinishReason: &finish}
	object := "text_completion"
	if r.Chat {
		object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: r.Text()}
	} else {
		choice.Text = r.Text()
	}
	prompt := PromptTokens(r.Prompt)
	return encode(Completion{
		ID:      r.Key,
		Object:  object,
		Choices: []Choice{choice},
		Usage:   &Usage{PromptTokens: prompt, CompletionTokens: r.Tokens, TotalTokens: prompt + r.Tokens},
	})
}

// encodeEvent returns a completion as a server-sent event.
func encodeEvent(completion Completion) []byte {
	return []byte("data: " + string(encode(completion)) + "\n\n")
}

// encode returns a completion as JSON.
func encode(completion Completion) []byte {
	text, err := json.Marshal(completion)
	if err != nil {
		panic(err)
	}
	return text
}
