package gateway

import (
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/codec"
)

// wire encodes what hosts hand each other. An array is at most a topic's recent
// records, a map at most its keys.
var wire = codec.New(codec.Limits{MaxNestedLevels: 16, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16})

// fetchFrom reads what another host hands over at a path, of so many bytes at
// most.
func fetchFrom(ctx context.Context, client *http.Client, link netip.AddrPort, path string, most int64, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+link.String()+path, nil)
	if err != nil {
		return eris.Wrap(err, "request")
	}
	answer, err := client.Do(request)
	if err != nil {
		return eris.Wrap(err, "fetch")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return eris.Errorf("fetch: status %d", answer.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, most))
	if err != nil {
		return eris.Wrap(err, "read")
	}
	return eris.Wrap(wire.Unmarshal(data, into), "decode")
}

// sendTo hands a value over to another host.
func (g *Gateway) sendTo(w http.ResponseWriter, value any) {
	data, err := wire.Marshal(value)
	if err != nil {
		g.log.Entry().WithError(err).Error("value for another host not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A host that went away while reading asks another one.
	_, _ = w.Write(data)
}
