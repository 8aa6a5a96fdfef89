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

// requestVerb sends one request as a caller does.
type requestVerb struct {
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

func newRequest(out io.Writer) verb {
	return verb{"request", "Send a request as a caller",
		"Sends one request and prints the answer as it comes. With --path it calls a plain service, else a model.",
		&requestVerb{out: out}}
}

// chatBody is the JSON of a model request.
type chatBody struct {
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
func (v *requestVerb) Execute([]string) error {
	request, err := v.request()
	if err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	fleet := client.New(client.Options{Hosts: v.Addresses, Team: v.Team, MaxTries: v.Tries})
	answer, err := fleet.Do(context.Background(), request)
	if err != nil {
		return requestError(err)
	}
	defer answer.Close()
	if v.ShowKey {
		if _, err := io.WriteString(v.out, answer.Key()+"\n"); err != nil {
			return err
		}
	}
	if answer.Status >= http.StatusBadRequest {
		return v.errorAnswer(answer)
	}
	return v.printAnswer(answer)
}

// errorAnswer turns an endpoint's error status into an error.
func (v *requestVerb) errorAnswer(answer *client.Response) error {
	body, err := io.ReadAll(answer)
	if err != nil {
		return requestError(err)
	}
	return eris.Wrapf(ErrFailed, "status %d: %s", answer.Status, body)
}

func (v *requestVerb) request() (client.Request, error) {
	if v.Path != "" {
		return client.Request{
			Method: v.Method,
			Path:   caller.PathServices + v.Service + v.Path,
			Route:  v.Route,
			Body:   []byte(v.Body),
			Part:   v.Part,
			Key:    v.Key,
		}, nil
	}
	body, err := json.Marshal(chatBody{
		Model:     v.Service,
		Messages:  []chatMessage{{Role: "user", Content: v.Prompt}},
		MaxTokens: v.MaxTokens,
		Stream:    !v.JSON,
	})
	return client.Request{Path: caller.PathChat, Route: v.Route, Body: body, Part: v.Part, Key: v.Key}, err
}

// requestError turns a refusal or a lost request into the error that decides
// the exit code.
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
