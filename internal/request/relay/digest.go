package relay

import (
	"github.com/cespare/xxhash/v2"

	"mustarddoor/internal/process/quarantine"
)

// digest identifies the request among all requests of all callers: two with the same
// method, host, path, caller and body have the same one.
func (s *serverRequest) digest() quarantine.Part {
	hash := xxhash.New()
	for _, field := range []string{s.request.Method, s.request.Host, s.request.URL.RequestURI(), s.caller.APIKey} {
		// Writes to a hash never fail. A zero byte separates the fields.
		_, _ = hash.WriteString(field)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(s.body)
	return quarantine.NewRequestPart(hash.Sum64())
}
