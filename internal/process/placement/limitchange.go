package placement

// LimitChange tells that a home changed the limit on an endpoint's requests in
// flight.
type LimitChange struct {
	Endpoint string
	// Limit is the new limit, Before the one before; zero at first.
	Limit, Before int
	// Cold is the limit of a cold endpoint, Max the greatest ever.
	Cold, Max int
}

// IsColdTurn reports whether the endpoint counts as cold from now on.
func (c LimitChange) IsColdTurn() bool {
	return c.Limit <= c.Cold && (c.Before == 0 || c.Before > c.Cold)
}

// observeLimit passes on what the ledger of a home on this host says.
func (s *endpointState) observeLimit(limit, before int) {
	if s.notify == nil {
		return
	}
	s.notify(LimitChange{
		Endpoint: s.spec.Name,
		Limit:    limit,
		Before:   before,
		Cold:     s.spec.ColdSlots,
		Max:      s.spec.MaxSlots,
	})
}
