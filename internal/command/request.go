package command

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/caller"
	"mustarddoor/internal/request/outcome"
)

// requestVerb sends one request as a caller does.
type requestVerb struct {
	Address   string `long:"address" value-name:"IP:PORT" required:"yes" description:"caller address of any host"`
	Team      string `long:"team" required:"yes" description:"the caller's team"`
	Service   string `long:"service" required:"yes" description:"model or plain service"`
	Route     string `long:"route" description:"route of the request; the service's first if not given"`
	Key       string `long:"key" description:"request key; the host makes one if not given"`
	Prompt    string `long:"prompt" description:"prompt, for a model"`
	MaxTokens int    `long:"max-tokens" description:"longest answer in tokens, for a model"`
	Path      string `long:"path" description:"path, for a plain service"`
	Method    string `long:"method" default:"POST" description:"method, for a plain service"`
	Body      string `long:"body" description:"body, for a plain service"`
	Raw       bool   `long:"raw" description:"print the answer's bytes as they come"`
	ShowKey   bool   `long:"show-key" description:"print the request key before the answer"`
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
	req, err := v.request()
	if err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return refusalError(resp)
	}
	if v.ShowKey {
		if _, err := io.WriteString(v.out, resp.Header.Get(caller.HeaderKey)+"\n"); err != nil {
			return err
		}
	}
	return v.printAnswer(resp.Body)
}

func (v *requestVerb) request() (*http.Request, error) {
	method, path, body := http.MethodPost, caller.PathChat, []byte(nil)
	if v.Path != "" {
		method, path, body = v.Method, caller.PathServices+v.Service+v.Path, []byte(v.Body)
	} else {
		encoded, err := json.Marshal(chatBody{
			Model:     v.Service,
			Messages:  []chatMessage{{Role: "user", Content: v.Prompt}},
			MaxTokens: v.MaxTokens,
			Stream:    true,
		})
		if err != nil {
			return nil, err
		}
		body = encoded
	}
	req, err := http.NewRequest(method, "http://"+v.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(caller.HeaderTeam, v.Team)
	setIfGiven(req.Header, caller.HeaderRoute, v.Route)
	setIfGiven(req.Header, caller.HeaderIdempotencyKey, v.Key)
	return req, nil
}

func setIfGiven(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// refusalError turns a refusal into the error that decides the exit code.
func refusalError(resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	refusal, err := outcome.ParseRefusal(body)
	if err != nil {
		return eris.Wrapf(ErrFailed, "%s: %s", resp.Status, body)
	}
	text := string(bytes.TrimSpace(body))
	switch refusal.Outcome {
	case outcome.NotRun:
		return eris.Wrap(ErrRefused, text)
	case outcome.Unknown:
		return eris.Wrap(ErrUnknown, text)
	default:
		return eris.Wrap(ErrFailed, text)
	}
}
