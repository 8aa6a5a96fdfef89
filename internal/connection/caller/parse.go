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

// bytesPerToken is the mean length of a token in a prompt.
const bytesPerToken = 4

// completion is what the host reads of an OpenAI-style request; the endpoint
// gets the body as it came.
type completion struct {
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

// text is the whole prompt as engines hash it: the messages' contents, each
// followed by a line feed.
func (c *completion) text() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var all strings.Builder
	for _, message := range c.Messages {
		all.WriteString(message.Content)
		all.WriteByte('\n')
	}
	return all.String()
}

// parser turns HTTP requests into checked requests.
type parser struct {
	index        *bundle.Index
	maxBodyBytes int64
	mint         func() key.Key
	now          func() time.Time
}

// parse checks the parts that all requests share and reads the body.
func (p *parser) parse(w http.ResponseWriter, r *http.Request) (*flow.Request, *fault) {
	request := &flow.Request{
		Method:      r.Method,
		CallerPath:  r.URL.RequestURI(),
		ContentType: r.Header.Get("Content-Type"),
		Team:        r.Header.Get(HeaderTeam),
		IsRelayed:   r.Header.Get(HeaderRelay) != "",
		Arrival:     p.now(),
	}
	if _, found := p.index.Team(request.Team); !found {
		return nil, faultOf(unknownTeam, "header "+HeaderTeam+" names no team: "+strconv.Quote(request.Team))
	}
	requestKey, fault := p.key(r)
	if fault != nil {
		return nil, fault
	}
	request.Key = requestKey
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, p.maxBodyBytes))
	if err != nil {
		return nil, bodyFault(err)
	}
	request.Body = body
	return request, p.offset(r, request)
}

func (p *parser) key(r *http.Request) (key.Key, *fault) {
	text := r.Header.Get(HeaderIdempotencyKey)
	if text == "" {
		return p.mint(), nil
	}
	parsed, err := key.Parse(text)
	if err != nil {
		return key.Key{}, faultOf(malformed, "header "+HeaderIdempotencyKey+" is not session/part")
	}
	return parsed, nil
}

func (p *parser) offset(r *http.Request, request *flow.Request) *fault {
	text := r.URL.Query().Get("offset")
	if text == "" || !strings.HasPrefix(r.URL.Path, PathRequests) {
		return nil
	}
	offset, err := strconv.ParseInt(text, 10, 64)
	if err != nil || offset < 0 {
		return faultOf(malformed, "offset is not a number of bytes: "+strconv.Quote(text))
	}
	request.Offset = offset
	return nil
}

// completion reads an OpenAI-style request.
func (p *parser) completion(w http.ResponseWriter, r *http.Request, path string) (*flow.Request, *fault) {
	request, fault := p.parse(w, r)
	if fault != nil {
		return nil, fault
	}
	var body completion
	if err := json.Unmarshal(request.Body, &body); err != nil {
		return nil, faultOf(malformed, "body is not a JSON completion request: "+err.Error())
	}
	service, found := p.index.Service(body.Model)
	if !found || service.Kind != bundle.KindEngine {
		return nil, faultOf(unknownRoute, "model names no service: "+strconv.Quote(body.Model))
	}
	route, fault := p.engineRoute(r, service)
	if fault != nil {
		return nil, fault
	}
	if body.MaxTokens < 0 {
		return nil, faultOf(malformed, "max_tokens is negative")
	}
	p.assign(request, route)
	request.EndpointPath = path
	request.Adapter = body.Adapter
	request.WantsJSON = string(body.Stream) != "true"
	request.MaxOutputTokens = body.MaxTokens
	prompt := body.text()
	request.PromptTokens = len(prompt)/bytesPerToken + 1
	request.Prefixes = prefixesOf(prompt)
	return request, nil
}

// engineRoute is the route that the header names or, without one, the first of
// the service.
func (p *parser) engineRoute(r *http.Request, service *bundle.Service) (*bundle.Route, *fault) {
	name := r.Header.Get(HeaderRoute)
	if name == "" {
		if route, found := p.index.FirstRoute(service.Name); found {
			return route, nil
		}
		return nil, faultOf(unknownRoute, "service has no route: "+service.Name)
	}
	route, found := p.index.Route(name)
	if !found || route.Service != service.Name {
		return nil, faultOf(unknownRoute, "header "+HeaderRoute+" names no route of the service: "+strconv.Quote(name))
	}
	return route, nil
}

// call reads a call of a plain service.
func (p *parser) call(w http.ResponseWriter, r *http.Request) (*flow.Request, *fault) {
	request, fault := p.parse(w, r)
	if fault != nil {
		return nil, fault
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), PathServices), "/")
	service, found := p.index.Service(name)
	if !found || service.Kind != bundle.KindPlain {
		return nil, faultOf(unknownRoute, "no such service: "+strconv.Quote(name))
	}
	path := "/" + rest
	route, found := p.index.PlainRoute(service.Name, r.Method, path)
	if !found {
		return nil, faultOf(unknownRoute, "no route for "+r.Method+" "+path)
	}
	p.assign(request, route)
	request.EndpointPath = withQuery(path, r.URL)
	return request, nil
}

func withQuery(path string, u *url.URL) string {
	if u.RawQuery == "" {
		return path
	}
	return path + "?" + u.RawQuery
}

func (p *parser) assign(request *flow.Request, route *bundle.Route) {
	request.Route = route
	request.Tier, _ = p.index.Tier(route.Tier)
	request.Service, _ = p.index.Service(route.Service)
}

// prefixesOf hashes the heads of a prompt as engines do.
func prefixesOf(prompt string) []scheduler.Prefix {
	prefixes := []scheduler.Prefix{}
	for _, prefix := range engine.Prefixes(prompt) {
		prefixes = append(prefixes, scheduler.Prefix{Hash: prefix.Hash, Tokens: prefix.Bytes / bytesPerToken})
	}
	return prefixes
}
