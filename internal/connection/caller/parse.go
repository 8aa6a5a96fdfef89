package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mustarddoor/internal/connection/engine"
	"mustarddoor/internal/process/scheduler"
	"mustarddoor/internal/request/flow"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/version/bundle"
)

// meanBytesPerToken is the mean length of a token in a prompt.
const meanBytesPerToken = 4

// completionBody holds the fields of an OpenAI-style request that the host reads.
// The endpoint receives the body unchanged.
type completionBody struct {
	Model     string          `json:"model"`
	Messages  []chatMessage   `json:"messages"`
	Prompt    string          `json:"prompt"`
	Adapter   string          `json:"adapter"`
	MaxTokens int             `json:"max_tokens"`
	Stream    json.RawMessage `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prompt returns the whole prompt in the form that engines hash: the contents of
// the messages, each followed by a line feed.
func (c *completionBody) prompt() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var prompt strings.Builder
	for _, message := range c.Messages {
		prompt.WriteString(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// parser validates HTTP requests and converts them to flow requests.
type parser struct {
	index        *bundle.Index
	maxBodyBytes int64
	newKey       func() key.Key
	now          func() time.Time
}

// parseCommon validates the headers that all requests share and reads the body.
func (p *parser) parseCommon(w http.ResponseWriter, r *http.Request) (*flow.Request, *rejection) {
	request := &flow.Request{
		Method:      r.Method,
		CallerPath:  r.URL.RequestURI(),
		ContentType: r.Header.Get("Content-Type"),
		Team:        r.Header.Get(HeaderTeam),
		IsRelayed:   r.Header.Get(HeaderRelay) != "",
		Arrival:     p.now(),
	}
	if _, found := p.index.Team(request.Team); !found {
		return nil, newRejection(unknownTeam, "header "+HeaderTeam+" names no team: "+strconv.Quote(request.Team))
	}
	requestKey, rejection := p.parseKey(r)
	if rejection != nil {
		return nil, rejection
	}
	request.Key = requestKey
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, p.maxBodyBytes))
	if err != nil {
		return nil, bodyRejection(err)
	}
	request.Body = body
	return request, p.parseOffset(r, request)
}

func (p *parser) parseKey(r *http.Request) (key.Key, *rejection) {
	text := r.Header.Get(HeaderIdempotencyKey)
	if text == "" {
		return p.newKey(), nil
	}
	parsed, err := key.Parse(text)
	if err != nil {
		return key.Key{}, newRejection(malformed, "header "+HeaderIdempotencyKey+" is not session/part")
	}
	return parsed, nil
}

func (p *parser) parseOffset(r *http.Request, request *flow.Request) *rejection {
	text := r.URL.Query().Get("offset")
	if text == "" || !strings.HasPrefix(r.URL.Path, PathRequests) {
		return nil
	}
	offset, err := strconv.ParseInt(text, 10, 64)
	if err != nil || offset < 0 {
		return newRejection(malformed, "offset is not a number of bytes: "+strconv.Quote(text))
	}
	request.Offset = offset
	return nil
}

// parseCompletion parses an OpenAI-style request.
func (p *parser) parseCompletion(w http.ResponseWriter, r *http.Request, path string) (*flow.Request, *rejection) {
	request, rejection := p.parseCommon(w, r)
	if rejection != nil {
		return nil, rejection
	}
	var body completionBody
	if err := json.Unmarshal(request.Body, &body); err != nil {
		return nil, newRejection(malformed, "body is not a JSON completion request: "+err.Error())
	}
	service, found := p.index.Service(body.Model)
	if !found || service.Kind != bundle.KindEngine {
		return nil, newRejection(unknownRoute, "model names no service: "+strconv.Quote(body.Model))
	}
	route, rejection := p.engineRoute(r, service)
	if rejection != nil {
		return nil, rejection
	}
	if body.MaxTokens < 0 {
		return nil, newRejection(malformed, "max_tokens is negative")
	}
	p.setRoute(request, route)
	request.EndpointPath = path
	request.Adapter = body.Adapter
	request.WantsJSON = string(body.Stream) != "true"
	request.MaxOutputTokens = body.MaxTokens
	prompt := body.prompt()
	request.PromptTokens = len(prompt)/meanBytesPerToken + 1
	request.Prefixes = schedulerPrefixes(prompt)
	return request, nil
}

// engineRoute returns the route named by the header or, without one, the first
// route of the service.
func (p *parser) engineRoute(r *http.Request, service *bundle.Service) (*bundle.Route, *rejection) {
	name := r.Header.Get(HeaderRoute)
	if name == "" {
		if route, found := p.index.FirstRoute(service.Name); found {
			return route, nil
		}
		return nil, newRejection(unknownRoute, "service has no route: "+service.Name)
	}
	route, found := p.index.Route(name)
	if !found || route.Service != service.Name {
		return nil, newRejection(unknownRoute, "header "+HeaderRoute+" names no route of the service: "+strconv.Quote(name))
	}
	return route, nil
}

// parseCall parses a request to a plain service.
func (p *parser) parseCall(w http.ResponseWriter, r *http.Request) (*flow.Request, *rejection) {
	request, rejection := p.parseCommon(w, r)
	if rejection != nil {
		return nil, rejection
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), PathServices), "/")
	service, found := p.index.Service(name)
	if !found || service.Kind != bundle.KindPlain {
		return nil, newRejection(unknownRoute, "no such service: "+strconv.Quote(name))
	}
	path := "/" + rest
	route, found := p.index.PlainRoute(service.Name, r.Method, path)
	if !found {
		return nil, newRejection(unknownRoute, "no route for "+r.Method+" "+path)
	}
	p.setRoute(request, route)
	request.EndpointPath = withQuery(path, r.URL)
	return request, nil
}

func withQuery(path string, u *url.URL) string {
	if u.RawQuery == "" {
		return path
	}
	return path + "?" + u.RawQuery
}

func (p *parser) setRoute(request *flow.Request, route *bundle.Route) {
	request.Route = route
	request.Tier, _ = p.index.Tier(route.Tier)
	request.Service, _ = p.index.Service(route.Service)
}

// schedulerPrefixes returns the prefixes of a prompt, hashed as engines do.
func schedulerPrefixes(prompt string) []scheduler.Prefix {
	prefixes := []scheduler.Prefix{}
	for _, prefix := range engine.Prefixes(prompt) {
		prefixes = append(prefixes, scheduler.Prefix{Hash: prefix.Hash, Tokens: prefix.Bytes / meanBytesPerToken})
	}
	return prefixes
}
