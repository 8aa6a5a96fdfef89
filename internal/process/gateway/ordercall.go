package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/autoscale"
	"mustarddoor/internal/process/duty"
)

const (
	// minOrderRetryDelay and maxOrderRetryDelay bound the time between attempts to send an
	// order. It doubles with each attempt.
	minOrderRetryDelay = time.Second
	maxOrderRetryDelay = 8 * time.Second
	// maxOrderLateness is how long after it was sent an order without a response may be
	// carried out. An order that has a response is sent once more after that time, if
	// such an older one may have followed it.
	maxOrderLateness = 10 * time.Second
)

// unknownCount stands for the number in an order of an earlier holder.
const unknownCount = -1

// domainOrder is the newest order of a service in a failure domain, and what is known
// of its outcome.
type domainOrder struct {
	count   int
	pattern autoscale.Pattern
	// orderedAt is when the number was decided on, or read back.
	orderedAt time.Time
	// isDue is set until the platform has responded to the order.
	isDue bool
	// attempts is the number of attempts since the last response, retryAt when the next
	// one may follow.
	attempts int
	retryAt  time.Time
	// unanswered holds the numbers of orders without a response, and when the last one was
	// sent. They may still be carried out.
	unanswered map[int]time.Time
	// repeatAt is when to send the order once more; the zero time if that is not needed.
	repeatAt time.Time
}

// adoptOrder returns an order that an earlier holder recorded. It may not have been sent.
// The record may be from an older copy of the store: endpoints that are present are not
// given up for it. isFenced is set if the platform refuses the earlier holder's calls from
// the next one on.
func adoptOrder(recorded, present int, isFenced bool, now time.Time) *domainOrder {
	order := &domainOrder{count: max(recorded, present), orderedAt: now, isDue: true, unanswered: map[int]time.Time{}}
	if !isFenced {
		order.unanswered[unknownCount] = now
	}
	return order
}

// set replaces the number, or has the same one sent again.
func (o *domainOrder) set(order autoscale.Order, now time.Time) {
	o.count, o.pattern, o.orderedAt = order.Count, order.Pattern, now
	o.isDue, o.attempts, o.retryAt = true, 0, time.Time{}
}

// mayBeSent reports whether the order has to be sent now.
func (o *domainOrder) mayBeSent(now time.Time) bool {
	if !o.repeatAt.IsZero() && !now.Before(o.repeatAt) {
		o.isDue, o.repeatAt = true, time.Time{}
	}
	return o.isDue && !now.Before(o.retryAt)
}

// record records the outcome of sending a number.
func (o *domainOrder) record(count int, err error, now time.Time) {
	if err == nil {
		o.isDue, o.attempts = o.count != count, 0
		for other, sentAt := range o.unanswered {
			if now.Sub(sentAt) >= maxOrderLateness {
				delete(o.unanswered, other)
			} else if other != count {
				o.repeatAt = now.Add(maxOrderLateness)
			}
		}
		return
	}
	if !eris.Is(err, duty.ErrRefused) && !eris.Is(err, duty.ErrFenced) {
		o.unanswered[count] = now
	}
	delay := min(minOrderRetryDelay<<min(o.attempts, 10), maxOrderRetryDelay)
	o.attempts++
	o.retryAt = now.Add(delay)
}
