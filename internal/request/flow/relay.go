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

// Bounds of the connections between hosts that relay answers.
const (
	maxIdleRelayConns = 64
	relayIdleTimeout  = 60 * time.Second
)

// requestPath is where a host answers with a request that it owns.
const requestPath = "/v1/requests/"

// errCallerGone is returned when the caller no longer takes the answer.
var errCallerGone = eris.New("caller has gone")

// relay streams the answer from the owner to the caller, from the offset on,
// and meanwhile probes the owner, because a frozen process keeps its
// connections open. It returns the next offset and how the relay ended.
func (f *forwardedRequest) relay(ctx context.Context) (int64, resume.Ending) {
	host, known := f.config.Hosts.Find(f.key.Session.Owner)
	if !known {
		return f.offset, resume.Silent
	}
	f.relayCount.Inc(1)
	relayCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go f.probe(relayCtx, stop)
	ending := f.copyFromOwner(relayCtx, host.Address)
	if ending == resume.Broken && errors.Is(context.Cause(relayCtx), errOwnerUnresponsive) {
		ending = resume.Silent
	}
	return f.offset, ending
}

// errOwnerUnresponsive ends a relay whose owner answers no probes.
var errOwnerUnresponsive = eris.New("owner answers no probes")

// probe asks the owner again and again and stops the relay if it is silent.
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

func (f *forwardedRequest) copyFromOwner(ctx context.Context, address string) resume.Ending {
	resp, err := f.getFromOwner(ctx, address)
	if err != nil {
		return resume.Broken
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderState) == "" {
		return resume.NoSuchKey
	}
	if f.out != nil && resp.StatusCode >= http.StatusMultipleChoices {
		return resume.Broken
	}
	f.w.Header().Set(HeaderState, resp.Header.Get(HeaderState))
	f.begin(owner.Head{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")})
	return f.copyEnding(f.copyFrom(resp.Body))
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

// copyFrom writes all of a reader to the caller.
func (f *forwardedRequest) copyFrom(source io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			if f.out.write(buffer[:count]) != nil {
				return errCallerGone
			}
			f.offset += int64(count)
		}
		if err != nil {
			return ignoreEOF(err)
		}
	}
}

// copyEnding tells how a copy ended. The owner breaks the connection off when it
// cannot give the whole answer.
func (f *forwardedRequest) copyEnding(err error) resume.Ending {
	if err == nil || errors.Is(err, errCallerGone) {
		return resume.Whole
	}
	return resume.Broken
}
