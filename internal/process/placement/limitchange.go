package placement

// LimitChange reports that the home of an endpoint changed the limit on its
// requests in flight.
type LimitChange struct {
	Endpoint string
	// Limit is the new limit. Previous is the one before it; zero on the first
	// report.
	Limit, Previous int
	// Cold is the limit while the endpoint is cold. Max is the upper bound of
	// the limit.
	Cold, Max int
}

// IsTransitionToCold reports whether the endpoint has just become cold.
func (c LimitChange) IsTransitionToCold() bool {
	return c.Limit <= c.Cold && (c.Previous == 0 || c.Previous > c.Cold)
}

// notifyLimitChange forwards a limit change from the ledger of a home on this
// host.
func (s *endpointState) notifyLimitChange(limit, previous int) {
	if s.onLimitChange == nil {
		return
	}
	s.onLimitChange(LimitChange{
		Endpoint: s.spec.Name,
		Limit:    limit,
		Previous: previous,
		Cold:     s.spec.ColdSlots,
		Max:      s.spec.MaxSlots,
	})
}
