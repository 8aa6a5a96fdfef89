package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

// adminTimeout limits the duration of one call to an admin address.
const adminTimeout = 15 * time.Second

// adminOptions are the options of the subcommands that call an admin address.
type adminOptions struct {
	Admin string `long:"admin" value-name:"IP:PORT" required:"yes" description:"admin address of any host"`
}

// get sends a GET to the admin address and decodes the JSON response.
func (a adminOptions) get(path string, query url.Values, response any) error {
	return a.call(http.MethodGet, path, query, nil, response)
}

// post sends a request as JSON to the admin address and decodes the JSON
// response.
func (a adminOptions) post(path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return a.call(http.MethodPost, path, nil, body, response)
}

// postBytes sends a body to the admin address and decodes the JSON response.
func (a adminOptions) postBytes(path string, body []byte, response any) error {
	return a.call(http.MethodPost, path, nil, body, response)
}

func (a adminOptions) call(method, path string, query url.Values, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: a.Admin, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return eris.Wrapf(ErrRefused, "%d: %s", resp.StatusCode, bytes.TrimSpace(content))
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(content, response); err != nil {
		return eris.Wrap(ErrFailed, err.Error())
	}
	return nil
}
