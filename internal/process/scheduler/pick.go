package scheduler

// pick selects the candidate with the least cost. If the two best are tied, it
// selects one at random, so that hosts with the same view do not all choose the
// same endpoint.
func pick(list []candidate, r *Request) Decision {
	best, second := twoBest(list)
	if best.cost >= deadlineMissPenalty {
		return waitOrReject(list, best)
	}
	chosen := best
	if second != nil && second.cost <= best.cost*(1+tieMargin) && r.Random>>63 == 1 {
		chosen = second
	}
	return Decision{Action: chosen.action, Endpoint: int(chosen.position), Estimate: chosen.estimate}
}

// twoBest returns the two candidates with the least cost; second is nil if there
// is only one.
func twoBest(list []candidate) (best, second *candidate) {
	for i := range list {
		c := &list[i]
		switch {
		case best == nil || c.cost < best.cost:
			best, second = c, best
		case second == nil || c.cost < second.cost:
			second = c
		}
	}
	return best, second
}

// waitOrReject returns the decision for the case that no candidate has a slot
// and meets the deadline.
func waitOrReject(list []candidate, best *candidate) Decision {
	action := ActionDeadlineUnreachable
	for i := range list {
		if list[i].feasible {
			action = ActionWait
		}
	}
	return Decision{Action: action, Endpoint: int(best.position), Estimate: best.estimate}
}
