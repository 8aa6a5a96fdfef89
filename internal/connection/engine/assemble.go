package engine

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrAssemble is returned for an event stream that cannot be converted to a
// single JSON response.
var ErrAssemble = eris.New("event stream cannot be assembled")

// Field values of OpenAI-style responses.
const (
	objectChunk   = "chat.completion.chunk"
	objectChat    = "chat.completion"
	roleAssistant = "assistant"
	finishStop    = "stop"
)

// chunk is one event of a response stream. Events with any other field are
// refused, because the assembled response would lose it.
type chunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is the JSON of a complete response.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created,omitempty"`
	Model   string             `json:"model,omitempty"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Assemble converts a complete event stream to the JSON of a response without
// streaming. It fails with ErrAssemble if the stream is incomplete or contains
// anything but text.
func Assemble(stream []byte) ([]byte, error) {
	assembled := &completion{}
	for event := range strings.SplitSeq(string(stream), "\n\n") {
		data, found := strings.CutPrefix(event, "data: ")
		switch {
		case event == "":
			continue
		case !found:
			return nil, eris.Wrapf(ErrAssemble, "event %q", event)
		case data == "[DONE]":
			return json.Marshal(assembled)
		}
		if err := assembled.add(data); err != nil {
			return nil, err
		}
	}
	return nil, eris.Wrap(ErrAssemble, "stream ends without [DONE]")
}

func (c *completion) add(data string) error {
	var next chunk
	decoder := json.NewDecoder(bytes.NewReader([]byte(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		return eris.Wrap(ErrAssemble, err.Error())
	}
	c.ID, c.Created, c.Model = next.ID, next.Created, next.Model
	c.Object = next.Object
	if next.Object == objectChunk {
		c.Object = objectChat
	}
	if len(next.Usage) > 0 {
		c.Usage = next.Usage
	}
	for _, choice := range next.Choices {
		c.choiceAt(choice.Index).add(choice)
	}
	return nil
}

// choiceAt returns the choice with the given index and adds it if it is missing.
func (c *completion) choiceAt(index int) *completionChoice {
	for i := range c.Choices {
		if c.Choices[i].Index == index {
			return &c.Choices[i]
		}
	}
	c.Choices = append(c.Choices, completionChoice{Index: index, FinishReason: finishStop})
	return &c.Choices[len(c.Choices)-1]
}

func (c *completionChoice) add(next chunkChoice) {
	c.Text += next.Text
	if next.FinishReason != nil {
		c.FinishReason = *next.FinishReason
	}
	if next.Delta == nil {
		return
	}
	if c.Message == nil {
		c.Message = &message{Role: roleAssistant}
	}
	c.Message.Content += next.Delta.Content
}
