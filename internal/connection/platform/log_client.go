package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/pause"
)

// Bounds of reads and appends.
const (
	// MaxPageRecords bounds the records of one read.
	MaxPageRecords    = 256
	maxAppendAttempts = 3
	retryDelay        = 100 * time.Millisecond
	firstOffset       = 1
)

// LogClient is a client of the log service. It is safe for concurrent use.
type LogClient struct {
	client client

	mu sync.Mutex
	// tails holds the highest known next offset of each stream.
	tails map[string]uint64
}

var _ Log = (*LogClient)(nil)

// NewLogClient returns a client of the log service at an IP:port.
func NewLogClient(address string) *LogClient {
	return &LogClient{client: newClient(address), tails: map[string]uint64{}}
}

// Append implements Log.
func (c *LogClient) Append(ctx context.Context, batch Batch) (uint64, error) {
	if len(batch.Records) == 0 {
		return 0, eris.Wrap(ErrRefused, "empty batch")
	}
	if batch.Since != 0 {
		offset, found, err := c.findRecord(ctx, batch, batch.Since)
		if err != nil || found {
			return offset, uncertain(batch, batch.Since, err)
		}
		return c.appendSince(ctx, batch, batch.Since)
	}
	since, err := c.tail(ctx, batch.Stream)
	if err != nil {
		return 0, err
	}
	return c.appendSince(ctx, batch, since)
}

// appendSince appends records that have no offset below since in the stream.
func (c *LogClient) appendSince(ctx context.Context, batch Batch, since uint64) (uint64, error) {
	mayBeAppended := false
	var cause error
	for range maxAppendAttempts {
		offset, err := c.appendOnce(ctx, batch)
		if err == nil {
			return offset, nil
		}
		cause = err
		if !errors.Is(err, ErrUncertain) {
			break
		}
		mayBeAppended = true
		offset, found, err := c.findRecord(ctx, batch, since)
		if err != nil || found {
			return offset, uncertain(batch, since, err)
		}
		if !pause.For(ctx, retryDelay) {
			break
		}
	}
	if mayBeAppended || batch.Since != 0 {
		return 0, uncertain(batch, since, cause)
	}
	return 0, cause
}

// uncertain wraps cause in an UncertainError. It returns nil if cause is nil.
func uncertain(batch Batch, since uint64, cause error) error {
	if cause == nil {
		return nil
	}
	return &UncertainError{Stream: batch.Stream, Since: since, Cause: cause}
}

// appendOnce sends the batch once.
func (c *LogClient) appendOnce(ctx context.Context, batch Batch) (uint64, error) {
	path := fmt.Sprintf(PathAppend, url.PathEscape(batch.Stream))
	reply, err := c.client.post(ctx, path, AppendRequest{Records: batch.Records})
	if err != nil {
		return 0, err
	}
	if reply.status == http.StatusTooManyRequests {
		return 0, eris.Wrap(ErrUnavailable, "append rate exceeded")
	}
	if reply.status != http.StatusOK {
		return 0, eris.Wrapf(ErrRefused, "append to %s: status %d", batch.Stream, reply.status)
	}
	var response AppendResponse
	if err := json.Unmarshal(reply.body, &response); err != nil || response.FirstOffset == 0 {
		return 0, eris.Wrapf(ErrUncertain, "append to %s: unreadable reply", batch.Stream)
	}
	c.advanceTail(batch.Stream, response.FirstOffset+uint64(len(batch.Records)))
	return response.FirstOffset, nil
}

// findRecord searches for the batch's first record between an offset and the
// tail. Appends are atomic, so the other records follow it. It fails if the
// tail cannot be read, or with ErrUnavailable if records in between were
// trimmed.
func (c *LogClient) findRecord(ctx context.Context, batch Batch, from uint64) (uint64, bool, error) {
	id := batch.Records[0].ID
	for {
		page, err := c.Read(ctx, Range{Stream: batch.Stream, From: from, MaxRecords: MaxPageRecords})
		if err != nil {
			return 0, false, err
		}
		if page.Trimmed {
			return 0, false, eris.Wrapf(ErrUnavailable, "records from offset %d on were trimmed", from)
		}
		for _, record := range page.Records {
			if record.ID == id {
				return record.Offset, true, nil
			}
			from = record.Offset + 1
		}
		if len(page.Records) == 0 || from >= page.NextOffset {
			return 0, false, nil
		}
	}
}

// Read implements Log.
func (c *LogClient) Read(ctx context.Context, requested Range) (Page, error) {
	path := fmt.Sprintf(PathRead, url.PathEscape(requested.Stream))
	query := url.Values{
		"from":    {strconv.FormatUint(requested.From, 10)},
		"max":     {strconv.Itoa(requested.MaxRecords)},
		"wait_ms": {strconv.FormatInt(requested.Wait.Milliseconds(), 10)},
	}
	reply, err := c.client.get(ctx, path, query, requested.Wait+callTimeout)
	if err != nil {
		return Page{}, err
	}
	if reply.status != http.StatusOK && reply.status != http.StatusGone {
		return Page{}, eris.Wrapf(ErrRefused, "read of %s: status %d", requested.Stream, reply.status)
	}
	var response ReadResponse
	if err := json.Unmarshal(reply.body, &response); err != nil {
		return Page{}, eris.Wrapf(ErrUnavailable, "read of %s: %v", requested.Stream, err)
	}
	page := Page{
		Records:     response.Records,
		FirstOffset: response.FirstOffset,
		NextOffset:  response.NextOffset,
		Trimmed:     reply.status == http.StatusGone,
	}
	if err := checkPage(requested, page); err != nil {
		return Page{}, err
	}
	c.advanceTail(requested.Stream, page.NextOffset)
	return page, nil
}

// checkPage rejects a page whose records are not consecutive from the requested
// offset.
func checkPage(requested Range, page Page) error {
	if page.Trimmed && len(page.Records) > 0 {
		return eris.Wrapf(ErrUnavailable, "read of %s: trimmed page has records", requested.Stream)
	}
	want := requested.From
	for _, record := range page.Records {
		if record.Offset != want {
			return eris.Wrapf(ErrUnavailable, "read of %s: offset %d instead of %d", requested.Stream, record.Offset, want)
		}
		want++
	}
	return nil
}

// tail returns an offset that is not above that of any record appended later.
func (c *LogClient) tail(ctx context.Context, stream string) (uint64, error) {
	c.mu.Lock()
	known := c.tails[stream]
	c.mu.Unlock()
	if known != 0 {
		return known, nil
	}
	page, err := c.Read(ctx, Range{Stream: stream, From: firstOffset, MaxRecords: 1})
	if err != nil {
		return 0, err
	}
	return max(page.NextOffset, firstOffset), nil
}

func (c *LogClient) advanceTail(stream string, next uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tails[stream] = max(c.tails[stream], next)
}
