package standin

import (
	"fmt"
	"os"

	"mustarddoor/internal/standin/answer"
)

// answerCommand prints the response that a simulated engine generates, for
// tests to compare with.
type answerCommand struct {
	Key    string `long:"key" required:"yes" description:"request key"`
	Prompt string `long:"prompt" required:"yes" description:"content of the only message"`
	Tokens int    `long:"tokens" required:"yes" description:"length of the answer"`
	Stream bool   `long:"stream" description:"print the event stream instead of the text"`
}

// Execute implements flags.Commander.
func (c *answerCommand) Execute([]string) error {
	request := answer.Request{Key: c.Key, Prompt: c.Prompt + "\n", Tokens: c.Tokens, Chat: true}
	if c.Stream {
		_, err := os.Stdout.Write(request.Stream())
		return err
	}
	_, err := fmt.Println(request.Text())
	return err
}
