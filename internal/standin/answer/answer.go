// Package answer defines what the stand-in engine answers: a text that follows
// from the request's key, prompt and length alone, so that a test can compare
// an answer byte for byte, wherever and in however many pieces it was read.
package answer

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// doneEvent ends every complete event stream.
const doneEvent = "data: [DONE]\n\n"

// finishStop is the finish reason of a complete answer.
const finishStop = "stop"

// Request is what determines an answer.
type Request struct {
	// Key is the request key as the engine received it.
	Key string
	// Prompt is the prompt's text; for a chat, the contents of the messages,
	// each followed by a line feed.
	Prompt string
	// Tokens is the length of the answer.
	Tokens int
	// Chat tells chat completions from plain completions.
	Chat bool
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Message is the message of a chat answer, whole or one event's part of it.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is the one alternative that the engine answers.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is an answer's JSON, whole or one event of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// PromptTokens is the length of a prompt in tokens.
func PromptTokens(prompt string) int {
	const bytesPerToken = 4
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// Token is the text of the answer's token at index.
func (r Request) Token(index int) string {
	sum := xxhash.Sum64String(r.Key + "\x00" + r.Prompt + "\x00" + strconv.Itoa(index))
	return "t" + strconv.FormatUint(sum%(1<<20), 36) + " "
}

// Text is the text of the whole answer.
func (r Request) Text() string {
	var text strings.Builder
	for index := range r.Tokens {
		text.WriteString(r.Token(index))
	}
	return text.String()
}

// Event is the server-sent event of the token at index.
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

// End is the end of a complete event stream.
func (r Request) End() []byte { return []byte(doneEvent) }

// Stream is the whole event stream.
func (r Request) Stream() []byte {
	var stream bytes.Buffer
	for index := range r.Tokens {
		stream.Write(r.Event(index))
	}
	stream.Write(r.End())
	return stream.Bytes()
}

// Body is the whole answer to a request that does not stream.
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

// encodeEvent encodes one server-sent encodeEvent.
func encodeEvent(completion Completion) []byte {
	return []byte("data: " + string(encode(completion)) + "\n\n")
}

// encode gives a completion as JSON.
func encode(completion Completion) []byte {
	text, err := json.Marshal(completion)
	if err != nil {
		panic(err)
	}
	return text
}
