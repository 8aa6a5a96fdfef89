package gateway

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/codec"
	"mustarddoor/internal/connection/transfer"
)

// wire encodes data exchanged between hosts. The limits allow an array as long
// as a topic's recent records and a map as large as its keys.
var wire = codec.New(codec.Limits{MaxNestedLevels: 16, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16})

// fetchFromHost reads up to maxBytes from a path of another host and decodes
// them into target.
func (g *Gateway) fetchFromHost(ctx context.Context, client *http.Client, address netip.AddrPort, path string, maxBytes int64, target any) error {
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
	data, err := transfer.ReadBody(ctx, response, maxBytes, g.fetchedBytes)
	if err != nil {
		return eris.Wrap(err, "read")
	}
	return eris.Wrap(wire.Unmarshal(data, target), "decode")
}

// writeReply encodes a value as the reply to another host.
func (g *Gateway) writeReply(w http.ResponseWriter, value any) {
	g.writeReplyIf(w, value, func(int) bool { return true })
}

// writeReplyIf is writeReply for a reply that may be sent only if mayWrite allows its
// size in bytes. Otherwise the status is 410.
func (g *Gateway) writeReplyIf(w http.ResponseWriter, value any, mayWrite func(size int) bool) {
	data, err := wire.Marshal(value)
	if err != nil {
		g.log.Entry().WithError(err).Error("cannot encode reply to another host")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !mayWrite(len(data)) {
		w.WriteHeader(http.StatusGone)
		return
	}
	// A write error means that the other host has disconnected; it then reads
	// elsewhere.
	_, _ = w.Write(data)
}
