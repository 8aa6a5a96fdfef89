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
var wire = codec.New(codec.Limits{NestedLevels: 16, ArrayElements: 1 << 16, MapPairs: 1 << 16})

// fetchFromHost reads what another host hands over at a path, of so many bytes at
// most.
func fetchFromHost(ctx context.Context, client *http.Client, address netip.AddrPort, path string, maxBytes int64, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return eris.Wrap(err, "request")
	}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrap(err, "fetch")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("fetch: status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return eris.Wrap(err, "read")
	}
	return eris.Wrap(wire.Unmarshal(data, target), "decode")
}

// writeToHost hands a value over to another host.
func (g *Gateway) writeToHost(w http.ResponseWriter, value any) {
	data, err := wire.Marshal(value)
	if err != nil {
		g.log.Entry().WithError(err).Error("value for another host not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A host that went away while reading asks another one.
	_, _ = w.Write(data)
}
