package placement

// LimitChange tells that a home changed the limit on an endpoint's requests in
// flight.
type LimitChange struct {
	Endpoint string
	// Limit is the new limit, Previous the one before; zero at first.
	Limit, Previous int
	// Cold is the limit of a cold endpoint, Max the greatest ever.
	Cold, Max int
}

// IsTransitionToCold reports whether the endpoint counts as cold from now on.
func (c LimitChange) IsTransitionToCold() bool {
	return c.Limit <= c.Cold && (c.Previous == 0 || c.Previous > c.Cold)
}

// notifyLimitChange passes on what the ledger of a home on this host says.
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
