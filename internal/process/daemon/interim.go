package daemon

import (
	"context"
	"sync/atomic"

	"mustarddoor/internal/process/placement"
	"mustarddoor/internal/version/bundle"
)

// rotatingPlacer places requests on the endpoints of their service in turn.
type rotatingPlacer struct {
	index func() *bundle.Index
	next  atomic.Uint64
}

// Place implements flow.Placer.
func (p *rotatingPlacer) Place(_ context.Context, request placement.Request) (*placement.Placement, *placement.Refusal) {
	index := p.index()
	route, _ := index.Route(request.Route)
	candidates := []bundle.Endpoint{}
	for _, endpoint := range index.Bundle().Endpoints {
		if endpoint.Service == route.Service {
			candidates = append(candidates, endpoint)
		}
	}
	chosen := candidates[p.next.Add(1)%uint64(len(candidates))]
	return &placement.Placement{
		Endpoint: chosen.Name,
		Address:  chosen.Address,
		Version:  chosen.Version,
		Domain:   chosen.Domain,
		Tier:     route.Tier,
	}, nil
}
