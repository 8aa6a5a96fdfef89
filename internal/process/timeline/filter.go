package timeline

import (
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/hlc"
)

// ErrInvalidFilter is returned when query parameters are not a valid filter.
var ErrInvalidFilter = eris.New("invalid timeline filter")

// Names of the query parameters of a filter.
const (
	paramRequest  = "request"
	paramEndpoint = "endpoint"
	paramDomain   = "domain"
	paramVersion  = "version"
	paramHost     = "host"
	paramSince    = "since"
)

// Filter selects events. An empty field matches all events.
type Filter struct {
	Request  string `cbor:"1,keyasint,omitempty"`
	Endpoint string `cbor:"2,keyasint,omitempty"`
	Domain   string `cbor:"3,keyasint,omitempty"`
	Version  string `cbor:"4,keyasint,omitempty"`
	// Host matches events that the host recorded and events whose Peer it is.
	Host string `cbor:"5,keyasint,omitempty"`
	// Since is the lowest stamp that matches.
	Since hlc.Stamp `cbor:"6,keyasint,omitempty"`
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(event *Event) bool {
	return event.Stamp >= f.Since &&
		matches(f.Request, event.Request) &&
		matches(f.Endpoint, event.Endpoint) &&
		matches(f.Domain, event.Domain) &&
		matches(f.Version, event.Version) &&
		(matches(f.Host, event.Host.Host) || f.Host == event.Peer.Host)
}

func matches(want, got string) bool { return want == "" || want == got }

// Values returns the filter as query parameters.
func (f Filter) Values() url.Values {
	params := url.Values{}
	setParam := func(name, value string) {
		if value != "" {
			params.Set(name, value)
		}
	}
	setParam(paramRequest, f.Request)
	setParam(paramEndpoint, f.Endpoint)
	setParam(paramDomain, f.Domain)
	setParam(paramVersion, f.Version)
	setParam(paramHost, f.Host)
	if f.Since > 0 {
		setParam(paramSince, strconv.FormatUint(uint64(f.Since), 10))
	}
	return params
}

// ParseFilter is the inverse of Filter.Values. The parameter since may also be
// an RFC 3339 time, or a duration that is subtracted from now. It returns
// ErrInvalidFilter if a value cannot be parsed.
func ParseFilter(params url.Values, now time.Time) (Filter, error) {
	since, err := parseSince(params.Get(paramSince), now)
	if err != nil {
		return Filter{}, err
	}
	return Filter{
		Request:  params.Get(paramRequest),
		Endpoint: params.Get(paramEndpoint),
		Domain:   params.Get(paramDomain),
		Version:  params.Get(paramVersion),
		Host:     params.Get(paramHost),
		Since:    since,
	}, nil
}

func parseSince(text string, now time.Time) (hlc.Stamp, error) {
	if text == "" {
		return 0, nil
	}
	if stamp, err := strconv.ParseUint(text, 10, 64); err == nil {
		return hlc.Stamp(stamp), nil
	}
	if ago, err := time.ParseDuration(text); err == nil {
		return hlc.At(now.Add(-ago)), nil
	}
	instant, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, eris.Wrapf(ErrInvalidFilter, "since %q is neither a stamp, a duration nor an RFC 3339 time", text)
	}
	return hlc.At(instant), nil
}
