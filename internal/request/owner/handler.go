package owner

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"mustarddoor/internal/process/identity"
)

// Handle handles KindLocate messages. It is a mesh.Handler.
func (r *Registry) Handle(_ context.Context, _ identity.Incarnation, body cbor.RawMessage) (any, error) {
	var request LocateRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	return r.Locate(request.Key, request.CloseUnseen), nil
}
