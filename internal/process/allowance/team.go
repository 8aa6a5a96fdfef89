package allowance

import "time"

// Team is a team's limit over all hosts.
//
// The load that it answers: one team sends many times its usual through all
// hosts, some of which cannot hear the others. Hosts that hear each other share
// one bucket, whose level each host follows from the others' spending; a part
// of the rate is set aside for each host that is not heard, as large as what
// that host allows itself when it hears nobody.
type Team struct {
	bucket Bucket
	// rate and burst are the team's limits.
	rate, burst float64
	// hosts is the number of hosts that may spend, heard of those that are
	// heard, this one included.
	hosts, heard int
	spent        float64
	seen         map[string]spending
}

// spending is what another host has said of its spending.
type spending struct {
	incarnation int64
	total       float64
}

// startShare is the part of the burst that a starting host takes as unspent:
// what was spent before its start is not known.
const startShare = 0.0

// NewTeam returns a team's limit at a host that knows of no other host's
// spending yet.
func NewTeam(rate, burst float64, now time.Time) *Team {
	return &Team{
		bucket: NewBucket(rate, burst, burst*startShare, now),
		rate:   rate, burst: burst, hosts: 1, heard: 1,
		seen: map[string]spending{},
	}
}

// Resize takes new limits.
func (t *Team) Resize(rate, burst float64, now time.Time) {
	if rate == t.rate && burst == t.burst {
		return
	}
	t.rate, t.burst = rate, burst
	t.share(now)
}

// SetHosts tells how many hosts may spend and how many of them are heard, this
// one included.
func (t *Team) SetHosts(hosts, heard int, now time.Time) {
	hosts = max(hosts, 1)
	heard = min(max(heard, 1), hosts)
	if hosts == t.hosts && heard == t.heard {
		return
	}
	t.hosts, t.heard = hosts, heard
	t.share(now)
}

func (t *Team) share(now time.Time) {
	part := float64(t.heard) / float64(t.hosts)
	t.bucket.Resize(t.rate*part, t.burst*part, now)
}

// Take charges an amount if the limit allows it.
func (t *Team) Take(amount float64, now time.Time) bool {
	if t.rate <= 0 {
		return true
	}
	if !t.bucket.Take(amount, now) {
		return false
	}
	t.spent += amount
	return true
}

// Return gives back what was charged for a request that did not run.
func (t *Team) Return(amount float64, now time.Time) {
	if t.rate <= 0 {
		return
	}
	t.spent -= amount
	t.bucket.Draw(-amount, now)
}

// Spent is all that this host has charged since its start.
func (t *Team) Spent() float64 { return t.spent }

// Heard takes in what another host has charged since its start.
func (t *Team) Heard(host string, incarnation int64, total float64, now time.Time) {
	last, known := t.seen[host]
	t.seen[host] = spending{incarnation: incarnation, total: total}
	switch {
	case !known:
		// Its spending before this host's start is in no bucket of this host.
		return
	case last.incarnation != incarnation:
		t.bucket.Draw(total, now)
	default:
		t.bucket.Draw(total-last.total, now)
	}
}

// Wait is how long the bucket takes to cover an amount.
func (t *Team) Wait(amount float64, now time.Time) time.Duration {
	missing := min(amount, t.bucket.Burst) - t.bucket.Level(now)
	if missing <= 0 || t.bucket.Rate <= 0 {
		return 0
	}
	return time.Duration(missing / t.bucket.Rate * float64(time.Second))
}
