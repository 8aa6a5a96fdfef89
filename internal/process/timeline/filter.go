package timeline

import (
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/hlc"
)

// ErrInvalidFilter is returned for a query that is not a filter.
var ErrInvalidFilter = eris.New("not a time line filter")

// Names of the query parameters of a filter.
const (
	paramRequest  = "request"
	paramEndpoint = "endpoint"
	paramDomain   = "domain"
	paramVersion  = "version"
	paramHost     = "host"
	paramSince    = "since"
)

// Filter selects events. Empty fields select all.
type Filter struct {
	Request  string `cbor:"1,keyasint,omitempty"`
	Endpoint string `cbor:"2,keyasint,omitempty"`
	Domain   string `cbor:"3,keyasint,omitempty"`
	Version  string `cbor:"4,keyasint,omitempty"`
	// Host selects events that the host recorded or that are about it.
	Host string `cbor:"5,keyasint,omitempty"`
	// Since is the stamp of the first event wanted.
	Since hlc.Stamp `cbor:"6,keyasint,omitempty"`
}

// Matches reports whether the event passes the filter.
func (f Filter) Matches(event *Event) bool {
	return event.Stamp >= f.Since &&
		matches(f.Request, event.Request) &&
		matches(f.Endpoint, event.Endpoint) &&
		matches(f.Domain, event.Domain) &&
		matches(f.Version, event.Version) &&
		(matches(f.Host, event.Host.Host) || f.Host == event.Peer.Host)
}

func matches(want, got string) bool { return want == "" || want == got }

// Values gives the filter as query parameters.
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
// a time as of RFC 3339, or a duration that counts back from now. It fails
// with ErrFilter.
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
		return 0, eris.Wrapf(ErrInvalidFilter, "since %q", text)
	}
	return hlc.At(instant), nil
}
