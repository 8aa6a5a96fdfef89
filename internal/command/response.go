package command

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// Parts of a server-sent event stream.
const (
	eventPrefix = "event: "
	dataPrefix  = "data: "
	doneData    = "[DONE]"
	errorEvent  = "error"
)

// completionChunk is one event of a streamed completion.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// printResponse prints a response as it arrives: the bytes unchanged, or the
// text of a streamed completion. It returns ErrUnknown if the response is
// incomplete.
func (c *requestCommand) printResponse(body io.Reader) error {
	if c.Raw || c.JSON || c.Path != "" {
		_, err := io.Copy(c.out, body)
		if err != nil {
			return eris.Wrap(ErrUnknown, err.Error())
		}
		return nil
	}
	return printStream(c.out, bufio.NewReader(body))
}

func printStream(out io.Writer, body *bufio.Reader) error {
	event := ""
	for {
		line, err := body.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return eris.Wrap(ErrUnknown, "the response is incomplete")
		}
		if err != nil {
			return eris.Wrap(ErrUnknown, err.Error())
		}
		line = strings.TrimRight(line, "\r\n")
		if name, found := strings.CutPrefix(line, eventPrefix); found {
			event = name
		}
		data, found := strings.CutPrefix(line, dataPrefix)
		switch {
		case !found:
		case event == errorEvent:
			return eris.Wrap(ErrUnknown, data)
		case data == doneData:
			_, err := io.WriteString(out, "\n")
			return err
		default:
			if err := printChunk(out, data); err != nil {
				return err
			}
		}
	}
}

func printChunk(out io.Writer, data string) error {
	var chunk completionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return eris.Wrap(ErrFailed, err.Error())
	}
	for _, choice := range chunk.Choices {
		if _, err := io.WriteString(out, choice.Delta.Content); err != nil {
			return err
		}
	}
	return nil
}
