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
	maxIdleRelays    = 64
	relayIdleTimeout = 60 * time.Second
)

// pathRequest is where a host answers with a request that it owns.
const pathRequest = "/v1/requests/"

// errCallerGone is returned when the caller no longer takes the answer.
var errCallerGone = eris.New("caller has gone")

// relay streams the answer from the owner to the caller, from the offset on,
// and meanwhile probes the owner, because a frozen process keeps its
// connections open. It returns the next offset and how the relay ended.
func (t *retry) relay(ctx context.Context) (int64, resume.Result) {
	host, known := t.config.Hosts.Find(t.key.Session.Owner)
	if !known {
		return t.offset, resume.Unresponsive
	}
	t.relayed.Inc(1)
	relayed, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go t.probe(relayed, stop)
	ending := t.copyFromOwner(relayed, host.Address)
	if ending == resume.Disconnected && errors.Is(context.Cause(relayed), errSilent) {
		ending = resume.Unresponsive
	}
	return t.offset, ending
}

// errSilent ends a relay whose owner answers no probes.
var errSilent = eris.New("owner answers no probes")

// probe asks the owner again and again and stops the relay if it is silent.
func (t *retry) probe(ctx context.Context, stop context.CancelCauseFunc) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	failed := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := t.locate(ctx, false); err == nil {
			failed = 0
			continue
		}
		failed++
		if failed >= maxFailedProbes {
			stop(errSilent)
			return
		}
	}
}

func (t *retry) copyFromOwner(ctx context.Context, address string) resume.Result {
	resp, err := t.getFromOwner(ctx, address)
	if err != nil {
		return resume.Disconnected
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderState) == "" {
		return resume.NotFound
	}
	if t.out != nil && resp.StatusCode >= http.StatusMultipleChoices {
		return resume.Disconnected
	}
	t.w.Header().Set(HeaderState, resp.Header.Get(HeaderState))
	t.begin(owner.Head{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")})
	return t.endingOf(t.copy(resp.Body))
}

func (t *retry) getFromOwner(ctx context.Context, address string) (*http.Response, error) {
	path := "http://" + address + pathRequest + url.PathEscape(t.key.String()) +
		"?offset=" + strconv.FormatInt(t.offset, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRelay, t.config.Self.Host)
	return t.relays.Do(req)
}

// copy writes all of a reader to the caller.
func (t *retry) copy(from io.Reader) error {
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if t.out.write(buffer[:count]) != nil {
				return errCallerGone
			}
			t.offset += int64(count)
		}
		if err != nil {
			return ignoreEOF(err)
		}
	}
}

// endingOf tells how a copy ended. The owner breaks the connection off when it
// cannot give the whole answer.
func (t *retry) endingOf(err error) resume.Result {
	if err == nil || errors.Is(err, errCallerGone) {
		return resume.Complete
	}
	return resume.Disconnected
}
