package slot

import (
	"slices"
	"strings"
	"time"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/request/tier"
)

// Ledger is a home's record of the holders and grants of one endpoint. It is
// not safe for concurrent use.
type Ledger struct {
	endpoint string
	fence    uint64
	limit    int
	// maxUnused is the maximum number of unused slots of all holders together.
	maxUnused    int
	endpointCold bool
	// blockedUntil is when grants of an earlier home have expired.
	blockedUntil time.Time
	// maxOrphanAge is the maximum time that requests of an expired holder may
	// run.
	maxOrphanAge time.Duration
	// inherited is the number of slots that holders of an earlier home may
	// still use.
	inherited int
	holders   []holderState
	// number is that of the last grant.
	number uint64
	// rotation is the round-robin offset for spreading unused slots.
	rotation int
	// pendingSample is the load report that has not been evaluated yet, or nil.
	pendingSample *loadSample
	// onLimitChange is called with new limits; it may be nil.
	onLimitChange func(limit, before int)
}

// OnLimitChange sets a function that is called with the present limit at once,
// and with each later one before any slot is granted under it. Its second
// argument is the previous limit, zero in the first call.
func (l *Ledger) OnLimitChange(notify func(limit, before int)) {
	l.onLimitChange = notify
	notify(l.limit, 0)
}

// NewLedger returns a ledger for an endpoint with the home's fencing token.
// Until blockedUntil it grants no new slots, because grants of an earlier home
// may still be valid. After that, inherited slots count as used until
// ObserveLoad shows otherwise, but no longer than maxOrphanAge, which also
// bounds the requests of expired holders.
func NewLedger(endpoint string, fence uint64, blockedUntil time.Time, inherited int, maxOrphanAge time.Duration) *Ledger {
	return &Ledger{
		endpoint: endpoint, fence: fence, blockedUntil: blockedUntil,
		inherited: inherited, maxOrphanAge: maxOrphanAge,
	}
}

// SetLimit sets the total number of slots, and how many of them may be unused
// by their holders.
func (l *Ledger) SetLimit(limit, maxUnused int) {
	if l.onLimitChange != nil && limit != l.limit {
		l.onLimitChange(limit, l.limit)
	}
	l.limit = limit
	l.maxUnused = maxUnused
}

// SetCold sets whether grants report the endpoint as cold.
func (l *Ledger) SetCold(cold bool) { l.endpointCold = cold }

// Fence returns the home's fencing token.
func (l *Ledger) Fence() uint64 { return l.fence }

// Limit returns the total number of slots.
func (l *Ledger) Limit() int { return l.limit }

// findHolder returns the state of a holder, or nil.
func (l *Ledger) findHolder(holder identity.Incarnation) *holderState {
	for i := range l.holders {
		if l.holders[i].report.Holder == holder {
			return &l.holders[i]
		}
	}
	return nil
}

// ApplyReport records a report and returns the previous one, which is zero for
// a new holder. It returns false, and changes nothing, if the report is
// outdated or for another home, if there are too many holders, or if the holder
// has expired in the ledger but did not report so itself.
func (l *Ledger) ApplyReport(now time.Time, report Report) (previous Report, accepted bool) {
	if report.Fence != l.fence {
		return Report{}, false
	}
	h := l.findHolder(report.Holder)
	if h == nil {
		h = l.addHolder(now, report)
	}
	if h == nil || report.Sequence <= h.report.Sequence {
		return Report{}, false
	}
	if h.expired && !report.Expired {
		return Report{}, false
	}
	previous = h.report
	h.report = report
	h.acknowledge(report.Grant)
	if h.expired {
		h.expired = false
		h.orphaned = 0
		h.grants = nil
		h.expiry = now.Add(GrantTTL)
	}
	l.resolvePendingSample(now)
	return previous, true
}

// addHolder adds a new holder. It expires earlier incarnations of the same
// host, which can no longer start requests. It returns nil if a later one is
// known or there are too many holders.
func (l *Ledger) addHolder(now time.Time, report Report) *holderState {
	for i := range l.holders {
		old := &l.holders[i]
		if old.report.Holder.Host != report.Holder.Host {
			continue
		}
		if old.report.Holder.Number > report.Holder.Number {
			return nil
		}
		old.expire(now)
	}
	if len(l.holders) >= MaxHolders {
		return nil
	}
	first := holderState{expiry: now.Add(GrantTTL)}
	first.report.Holder = report.Holder
	l.holders = append(l.holders, first)
	slices.SortFunc(l.holders, func(a, b holderState) int {
		return strings.Compare(a.report.Holder.String(), b.report.Holder.String())
	})
	return l.findHolder(report.Holder)
}

// Committed returns the maximum number of slots that may be in use, now or
// under grants already made.
func (l *Ledger) Committed() int {
	sum := l.inherited
	for i := range l.holders {
		sum += l.holders[i].maxSlots()
	}
	return sum
}

// Used returns the number of slots that the holders reported in use.
func (l *Ledger) Used() int {
	sum := l.inherited
	for i := range l.holders {
		sum += l.holders[i].report.Used.Sum()
	}
	return sum
}

// Waiting returns the demand of all holders.
func (l *Ledger) Waiting() tier.Counts {
	var sum tier.Counts
	for i := range l.holders {
		for t, n := range l.holders[i].report.Waiting {
			sum[t] += n
		}
	}
	return sum
}

// Grants allocates the slots. It returns a grant for each holder whose
// allocation changes and for each of those in answer.
func (l *Ledger) Grants(now time.Time, answer ...identity.Incarnation) []Grant {
	l.expireHolders(now)
	claims := l.claims(now)
	floor := l.priorityFloor()
	sheddable := l.sheddable(now, floor)
	var grants []Grant
	for i := range l.holders {
		h := &l.holders[i]
		if h.expired {
			continue
		}
		requested := slices.Contains(answer, h.report.Holder)
		if !requested && !h.needsGrant(claims[i].target, floor) {
			continue
		}
		grants = append(grants, l.grant(now, h, &claims[i], floor, sheddable))
	}
	return grants
}

// expireHolders marks the holders whose last grant has expired, and drops
// orphaned and inherited slots after maxOrphanAge.
func (l *Ledger) expireHolders(now time.Time) {
	for i := range l.holders {
		if now.After(l.holders[i].expiry) {
			l.holders[i].expire(now)
		}
		if l.holders[i].expired && now.After(l.holders[i].expiry.Add(l.maxOrphanAge)) {
			l.holders[i].orphaned = 0
		}
	}
	if now.After(l.blockedUntil.Add(l.maxOrphanAge)) {
		l.inherited = 0
	}
	l.removeDrainedHolders()
}

// claims computes the allocation.
func (l *Ledger) claims(now time.Time) []claim {
	claims := make([]claim, len(l.holders))
	unused := 0
	for i := range l.holders {
		h := &l.holders[i]
		claims[i] = claim{maxSlots: h.maxSlots(), used: h.report.Used.Sum()}
		if h.expired {
			claims[i].used = claims[i].maxSlots
			continue
		}
		claims[i].unused = h.maxUnused()
		claims[i].waiting = h.report.Waiting
		claims[i].oldest = h.report.OldestMillis
		unused += claims[i].unused
	}
	free, spare := l.limit-l.Committed(), l.maxUnused-unused
	if now.Before(l.blockedUntil) {
		free = 0
	}
	l.rotation++
	allocate(claims, free, spare, l.rotation)
	if excess := -min(free, spare); excess > 0 {
		reclaim(claims, excess)
	}
	return claims
}

// reclaim takes back unused slots until excess is gone.
func reclaim(claims []claim, excess int) {
	for i := range claims {
		reclaimed := min(excess, max(claims[i].target-claims[i].used, 0))
		claims[i].target -= reclaimed
		excess -= reclaimed
	}
}

// priorityFloor returns the lowest-priority tier that may start: the highest
// waiting one.
func (l *Ledger) priorityFloor() tier.Tier {
	waiting := l.Waiting()
	highest, _ := waiting.Highest()
	return highest
}

// sheddable returns a bit set of the tiers that may be shed. It is empty while
// holders of an earlier home may still start requests.
func (l *Ledger) sheddable(now time.Time, floor tier.Tier) uint8 {
	var bits uint8
	if now.Before(l.blockedUntil) || l.inherited > 0 {
		return bits
	}
	for t := floor; t < tier.Max; t++ {
		if l.isSheddable(t) {
			bits |= 1 << t
		}
	}
	return bits
}

func (l *Ledger) isSheddable(t tier.Tier) bool {
	for i := range l.holders {
		h := &l.holders[i]
		if h.expired || h.report.Used.Below(t) > 0 || h.mayStartBelow(t) {
			return false
		}
	}
	return true
}

// grant creates and records a grant.
func (l *Ledger) grant(now time.Time, h *holderState, c *claim, floor tier.Tier, sheddable uint8) Grant {
	unused, idle := c.unusedAllowance(), 0
	if waiting := l.Waiting(); waiting.Sum() == 0 {
		idle = unused
	}
	l.number++
	h.expiry = now.Add(GrantTTL)
	h.recordGrant(pendingGrant{number: l.number, slots: c.target, unused: unused, maxIdle: idle, floor: floor})
	used, prefill := l.usageByOthers(h)
	return Grant{
		Endpoint:           l.endpoint,
		Holder:             h.report.Holder,
		Fence:              l.fence,
		Number:             l.number,
		Sequence:           h.report.Sequence,
		Slots:              c.target,
		Unused:             unused,
		MaxIdle:            idle,
		Floor:              floor,
		Sheddable:          sheddable,
		Limit:              l.limit,
		Cold:               l.endpointCold,
		Headroom:           l.headroom(now),
		OtherUsed:          used,
		OtherPrefillTokens: prefill,
	}
}

// headroom returns the number of slots that could be granted on request, if
// necessary after recalling unused ones.
func (l *Ledger) headroom(now time.Time) int {
	if now.Before(l.blockedUntil) {
		return 0
	}
	free := l.limit - l.Committed()
	for i := range l.holders {
		h := &l.holders[i]
		if !h.expired {
			free += max(h.maxSlots()-h.report.Used.Sum(), 0)
		}
	}
	waiting := l.Waiting()
	return free - waiting.Sum()
}

// usageByOthers returns the slots in use and the pending prompt tokens of all
// holders but h.
func (l *Ledger) usageByOthers(h *holderState) (used, prefill int) {
	for i := range l.holders {
		other := &l.holders[i]
		if other == h {
			continue
		}
		if other.expired {
			used += other.orphaned
			continue
		}
		used += other.report.Used.Sum()
		prefill += other.report.PrefillTokens
	}
	return used + l.inherited, prefill
}
