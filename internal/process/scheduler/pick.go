package scheduler

// pick takes one of the two best at random if they are about equal, so that
// hosts with the same view do not all go to the same endpoint.
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

// twoBest returns the candidates with the least cost; second may be nil.
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

// waitOrReject is the decision when no endpoint with a slot would meet the deadline.
func waitOrReject(list []candidate, best *candidate) Decision {
	action := ActionDeadlineUnreachable
	for i := range list {
		if list[i].feasible {
			action = ActionWait
		}
	}
	return Decision{Action: action, Endpoint: int(best.position), Estimate: best.estimate}
}
