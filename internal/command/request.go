package command

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"mustarddoor/client"
	"mustarddoor/internal/connection/caller"
)

// requestCommand sends one request as a caller.
type requestCommand struct {
	Addresses []string `long:"address" value-name:"IP:PORT" required:"yes" description:"caller address of any host; may be given again"`
	Team      string   `long:"team" required:"yes" description:"the caller's team"`
	Service   string   `long:"service" required:"yes" description:"model or plain service"`
	Route     string   `long:"route" description:"route of the request; the service's first if not given"`
	Part      string   `long:"part" description:"caller's part of the request key; random if not given"`
	Key       string   `long:"key" description:"whole request key of an earlier try"`
	Prompt    string   `long:"prompt" description:"prompt, for a model"`
	MaxTokens int      `long:"max-tokens" description:"longest answer in tokens, for a model"`
	Path      string   `long:"path" description:"path, for a plain service"`
	Method    string   `long:"method" default:"POST" description:"method, for a plain service"`
	Body      string   `long:"body" description:"body, for a plain service"`
	Tries     int      `long:"tries" description:"how often to try in a row without progress; 0 for the default"`
	JSON      bool     `long:"json" description:"ask for one JSON object instead of a stream, for a model"`
	Raw       bool     `long:"raw" description:"print the answer's bytes as they come"`
	ShowKey   bool     `long:"show-key" description:"print the request key before the answer"`
	out       io.Writer
}

func newRequest(out io.Writer) subcommand {
	return subcommand{"request", "Send a request as a caller",
		"Sends one request and prints the response as it arrives. With --path it calls a plain service, otherwise a model.",
		&requestCommand{out: out}}
}

// chatRequest is the JSON body of a request to a model.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	request, err := c.buildRequest()
	if err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	fleetClient := client.New(client.Options{Hosts: c.Addresses, Team: c.Team, MaxTries: c.Tries})
	response, err := fleetClient.Do(context.Background(), request)
	if err != nil {
		return requestError(err)
	}
	defer response.Close()
	if c.ShowKey {
		if _, err := io.WriteString(c.out, response.Key()+"\n"); err != nil {
			return err
		}
	}
	if response.Status >= http.StatusBadRequest {
		return c.statusError(response)
	}
	return c.printResponse(response)
}

// statusError converts an error status of the endpoint to an error.
func (c *requestCommand) statusError(response *client.Response) error {
	body, err := io.ReadAll(response)
	if err != nil {
		return requestError(err)
	}
	return eris.Wrapf(ErrFailed, "status %d: %s", response.Status, body)
}

func (c *requestCommand) buildRequest() (client.Request, error) {
	if c.Path != "" {
		return client.Request{
			Method: c.Method,
			Path:   caller.PathServices + c.Service + c.Path,
			Route:  c.Route,
			Body:   []byte(c.Body),
			Part:   c.Part,
			Key:    c.Key,
		}, nil
	}
	body, err := json.Marshal(chatRequest{
		Model:     c.Service,
		Messages:  []chatMessage{{Role: "user", Content: c.Prompt}},
		MaxTokens: c.MaxTokens,
		Stream:    !c.JSON,
	})
	return client.Request{Path: caller.PathChat, Route: c.Route, Body: body, Part: c.Part, Key: c.Key}, err
}

// requestError converts an error of the client to the error that determines the
// exit code.
func requestError(err error) error {
	var refusal *client.Refusal
	switch {
	case errors.Is(err, client.ErrNoHost):
		return eris.Wrap(ErrUnreachable, err.Error())
	case !errors.As(err, &refusal):
		return eris.Wrap(ErrUnknown, err.Error())
	}
	text, marshalErr := json.Marshal(refusal)
	if marshalErr != nil {
		return marshalErr
	}
	switch refusal.Outcome {
	case client.NotRun:
		return eris.Wrap(ErrRefused, string(text))
	case client.Unknown:
		return eris.Wrap(ErrUnknown, string(text))
	default:
		return eris.Wrap(ErrFailed, string(text))
	}
}
