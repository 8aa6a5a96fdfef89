package flow

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/request/owner"
	"mustarddoor/internal/request/resume"
)

// Limits of the connections over which responses are relayed between hosts.
const (
	maxIdleRelayConns = 64
	relayIdleTimeout  = 60 * time.Second
)

// requestPath is the path at which a host serves the responses of its requests.
const requestPath = "/v1/requests/"

// errCallerDisconnected is returned if the response can no longer be written to
// the caller.
var errCallerDisconnected = eris.New("caller has disconnected")

// relay streams the response from the owner to the caller, starting at the
// offset. It probes the owner meanwhile, because a suspended process keeps its
// connections open. It returns the next offset and the result of the relay.
func (f *forwardedRequest) relay(ctx context.Context) (int64, resume.Result) {
	host, known := f.config.Hosts.Find(f.key.Session.Owner)
	if !known {
		return f.offset, resume.Unresponsive
	}
	f.relayCount.Inc(1)
	relayCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go f.probe(relayCtx, stop)
	result := f.copyFromOwner(relayCtx, host.Address)
	if result == resume.Disconnected && errors.Is(context.Cause(relayCtx), errOwnerUnresponsive) {
		result = resume.Unresponsive
	}
	return f.offset, result
}

// errOwnerUnresponsive cancels a relay whose owner does not respond to probes.
var errOwnerUnresponsive = eris.New("owner does not respond to probes")

// probe polls the owner at intervals and cancels the relay if too many probes
// in a row fail.
func (f *forwardedRequest) probe(ctx context.Context, stop context.CancelCauseFunc) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	failed := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := f.locate(ctx, false); err == nil {
			failed = 0
			continue
		}
		failed++
		if failed >= maxFailedProbes {
			stop(errOwnerUnresponsive)
			return
		}
	}
}

func (f *forwardedRequest) copyFromOwner(ctx context.Context, address string) resume.Result {
	resp, err := f.getFromOwner(ctx, address)
	if err != nil {
		return resume.Disconnected
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderState) == "" {
		return resume.NotFound
	}
	if f.out != nil && resp.StatusCode >= http.StatusMultipleChoices {
		return resume.Disconnected
	}
	f.w.Header().Set(HeaderState, resp.Header.Get(HeaderState))
	f.begin(owner.Head{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")})
	return f.copyResult(f.copyFrom(resp.Body))
}

func (f *forwardedRequest) getFromOwner(ctx context.Context, address string) (*http.Response, error) {
	requestURL := "http://" + address + requestPath + url.PathEscape(f.key.String()) +
		"?offset=" + strconv.FormatInt(f.offset, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRelay, f.config.Self.Host)
	return f.relayClient.Do(req)
}

// copyFrom copies everything from the source to the caller and advances the
// offset.
func (f *forwardedRequest) copyFrom(source io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			if f.out.write(buffer[:count]) != nil {
				return errCallerDisconnected
			}
			f.offset += int64(count)
		}
		if err != nil {
			return ignoreEOF(err)
		}
	}
}

// copyResult maps the error of a copy to a result. A truncated response ends in
// an error, because its sender aborts the connection.
func (f *forwardedRequest) copyResult(err error) resume.Result {
	if err == nil || errors.Is(err, errCallerDisconnected) {
		return resume.Complete
	}
	return resume.Disconnected
}
