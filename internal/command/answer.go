package command

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// Lines of a server-sent event stream.
const (
	eventPrefix = "event: "
	dataPrefix  = "data: "
	streamDone  = "[DONE]"
	streamError = "error"
)

// tokenEvent is one event of a model's answer.
type tokenEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// printAnswer prints an answer as it comes: bytes as they are, or the text of a
// model's event stream. It fails with ErrUnknown if the answer is cut.
func (v *requestVerb) printAnswer(body io.Reader) error {
	if v.Raw || v.JSON || v.Path != "" {
		_, err := io.Copy(v.out, body)
		if err != nil {
			return eris.Wrap(ErrUnknown, err.Error())
		}
		return nil
	}
	return printStream(v.out, bufio.NewReader(body))
}

func printStream(out io.Writer, body *bufio.Reader) error {
	event := ""
	for {
		line, err := body.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return eris.Wrap(ErrUnknown, "the answer was cut")
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
		case event == streamError:
			return eris.Wrap(ErrUnknown, data)
		case data == streamDone:
			_, err := io.WriteString(out, "\n")
			return err
		default:
			if err := printToken(out, data); err != nil {
				return err
			}
		}
	}
}

func printToken(out io.Writer, data string) error {
	var event tokenEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return eris.Wrap(ErrFailed, err.Error())
	}
	for _, choice := range event.Choices {
		if _, err := io.WriteString(out, choice.Delta.Content); err != nil {
			return err
		}
	}
	return nil
}
