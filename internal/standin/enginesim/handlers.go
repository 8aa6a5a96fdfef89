package enginesim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/standin/answer"
	"mustarddoor/internal/standin/server"
)

// eventStream is the content type of a streamed response.
const eventStream = "text/event-stream"

// completionRequest holds the fields of an OpenAI-style completion request that
// the engine uses.
type completionRequest struct {
	Messages  []answer.Message `json:"messages"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// answerRequest returns the parameters that determine the response. The length
// of the response is limited to maxResponseTokens.
func (r completionRequest) answerRequest(key string, chat bool) answer.Request {
	prompt := r.Prompt
	if chat {
		var text strings.Builder
		for _, message := range r.Messages {
			text.WriteString(message.Content + "\n")
		}
		prompt = text.String()
	}
	tokens := r.MaxTokens
	if tokens <= 0 {
		tokens = defaultResponseTokens
	}
	return answer.Request{Key: key, Prompt: prompt, Tokens: min(tokens, maxResponseTokens), Chat: chat}
}

// complete runs a completion request. A request whose key was seen before runs
// again.
func (e *Engine) complete(c echo.Context) error {
	var body completionRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if !e.snapshot().Ready || int(e.batch.waiting.Load()) >= e.options.MaxWaiting {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "not ready")
	}
	path := c.Path()
	request := body.answerRequest(c.Request().Header.Get(engine.HeaderKey), path == engine.PathChat)
	output, err := e.start(request, path)
	if err != nil {
		return err
	}
	if body.Stream {
		return copyStream(c, output, 0)
	}
	if !output.wait(c.Request().Context()) {
		return echo.NewHTTPError(http.StatusInternalServerError, "request failed")
	}
	return c.JSONBlob(http.StatusOK, request.Body())
}

// start counts the execution and starts the generation in the background. The
// generation continues if the caller disconnects.
func (e *Engine) start(request answer.Request, path string) (*stream, error) {
	_, served, ok := e.counter.Add(request.Key)
	if !ok {
		return nil, echo.NewHTTPError(http.StatusServiceUnavailable, "too many request keys")
	}
	ctx, cancel := context.WithCancel(context.Background())
	output := newStream(cancel)
	if !e.streams.put(request.Key, output) {
		cancel()
		return nil, echo.NewHTTPError(http.StatusServiceUnavailable, "too many streams")
	}
	go func() {
		defer cancel()
		e.generate(ctx, request, path, served, output)
	}()
	return output, nil
}

// resume responds with a stream from a byte offset on.
func (e *Engine) resume(c echo.Context) error {
	found, err := e.findStream(c)
	if err != nil {
		return err
	}
	offset, err := strconv.Atoi(c.QueryParam("offset"))
	if err != nil || offset < 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "offset is not a number of bytes")
	}
	return copyStream(c, found, offset)
}

// cancel stops the generation of a request.
func (e *Engine) cancel(c echo.Context) error {
	found, err := e.findStream(c)
	if err != nil {
		return err
	}
	found.cancel()
	return c.NoContent(http.StatusNoContent)
}

// findStream returns the stream for the request key in the path.
func (e *Engine) findStream(c echo.Context) (*stream, error) {
	key, err := server.PathParam(c, "key")
	if err != nil {
		return nil, err
	}
	found := e.streams.get(key)
	if found == nil {
		return nil, echo.NewHTTPError(http.StatusNotFound, "no such request")
	}
	return found, nil
}

// copyStream writes a stream from a byte offset on and follows it until it
// ends. If the stream ends without content, the response has status 500.
func copyStream(c echo.Context, source *stream, offset int) error {
	started := false
	for {
		chunk, ended, changed := source.readFrom(offset)
		if !started && (len(chunk) > 0 || ended) {
			if len(chunk) == 0 && offset == 0 {
				return echo.NewHTTPError(http.StatusInternalServerError, "request failed")
			}
			c.Response().Header().Set(echo.HeaderContentType, eventStream)
			c.Response().WriteHeader(http.StatusOK)
			started = true
		}
		if len(chunk) > 0 {
			if _, err := c.Response().Write(chunk); err != nil {
				return err
			}
			c.Response().Flush()
			offset += len(chunk)
			continue
		}
		if ended {
			return nil
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// postOrder executes an order and responds with the engine state.
func (e *Engine) postOrder(c echo.Context) error {
	var order engine.Order
	if err := json.NewDecoder(c.Request().Body).Decode(&order); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	status := http.StatusOK
	err := e.execute(order)
	switch {
	case errors.Is(err, errStaleFence):
		status = http.StatusConflict
	case errors.Is(err, errUnknownOrder):
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	case errors.Is(err, errWeightsUnavailable):
		return echo.NewHTTPError(http.StatusBadGateway, err.Error())
	}
	return c.JSON(status, e.snapshot())
}

// getEvents responds with the visible cache events.
func (e *Engine) getEvents(c echo.Context) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "parameter from is not a sequence number")
	}
	events, next := e.cache.eventsFrom(from, time.Now())
	return c.JSON(http.StatusOK, engine.CacheEvents{
		Incarnation:  e.snapshot().Incarnation,
		Events:       events,
		NextSequence: next,
	})
}

// exportBlocks responds with a cached prefix, in a format that only the
// simulator understands.
func (e *Engine) exportBlocks(c echo.Context) error {
	prefix := c.QueryParam("prefix")
	if !e.cache.contains(prefix) {
		return echo.NewHTTPError(http.StatusNotFound, "prefix is not cached")
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, []byte("kv "+prefix))
}

// importBlocks caches a prefix that another simulated engine exported.
func (e *Engine) importBlocks(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	var prefix string
	if _, err := fmt.Sscanf(string(body), "kv %s", &prefix); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "body is not an exported prefix")
	}
	e.cache.insert(prefix, blockTokens)
	return c.NoContent(http.StatusNoContent)
}
