package dispatch

import (
	"time"

	"mustarddoor/internal/process/admission"
	"mustarddoor/internal/process/choose"
	"mustarddoor/internal/process/fairshare"
	"mustarddoor/internal/process/fleet"
)

// waitQueue holds the requests that wait for a slot of a service, and the
// estimates that admission control needs.
type waitQueue struct {
	admission.Queue
	// slotTimes holds, by route, the learned time that a request occupies a
	// slot.
	slotTimes   map[string]*slotTimeEstimate
	dequeueRate dequeueRate
	demand      demandMeter
	// teams holds the teams' slot time, if fair shares are on.
	teams fairshare.Tracker
}

// dequeueRate measures how fast queued work is dispatched.
type dequeueRate struct {
	// sampleStart is the start of the current sample; zero while the queue is
	// empty.
	sampleStart time.Time
	dequeued    time.Duration
	// rate is the slot time dispatched per unit of time, relative to this
	// host's share of the slots. It starts at 1.
	rate float64
}

const (
	// dequeueSampleInterval is the length of a sample and dequeueSampleWeight
	// the weight of the newest one. The rate has to adapt within a burst, which
	// lasts a few seconds.
	dequeueSampleInterval = 100 * time.Millisecond
	dequeueSampleWeight   = 0.15
	minDequeueRate        = 0.2
)

// update closes the current sample when it is due, given this host's share of
// the slots. While the queue is empty, the rate returns towards 1.
func (r *dequeueRate) update(hasWaiters bool, slots float64, now time.Time) {
	if !hasWaiters {
		r.sampleStart, r.dequeued = time.Time{}, 0
		r.rate += (1 - r.rate) * dequeueSampleWeight
		return
	}
	elapsed := now.Sub(r.sampleStart)
	if r.sampleStart.IsZero() {
		r.sampleStart, r.dequeued = now, 0
		return
	}
	if elapsed < dequeueSampleInterval || slots <= 0 {
		return
	}
	sample := float64(r.dequeued) / float64(elapsed) / slots
	r.rate += (min(max(sample, minDequeueRate), 1) - r.rate) * dequeueSampleWeight
	r.sampleStart, r.dequeued = now, 0
}

// slotTimeEstimate corrects the token-based estimate of a route's slot time by
// what its requests really took.
type slotTimeEstimate struct {
	// ratio is the moving average of actual over estimated slot time, mean that
	// of the actual one.
	ratio float64
	mean  time.Duration
}

func (d *Dispatcher) queue(service string) *waitQueue {
	queue := d.queues[service]
	if queue == nil {
		queue = &waitQueue{slotTimes: map[string]*slotTimeEstimate{}, dequeueRate: dequeueRate{rate: 1}}
		d.queues[service] = queue
	}
	return queue
}

// defaultOutputTokenTime is the slot time per output token before any request
// was measured.
const defaultOutputTokenTime = 4 * time.Millisecond

// defaultPromptTokenTime is the slot time per prompt token before any request
// was measured.
const defaultPromptTokenTime = 20 * time.Microsecond

// defaultPlainSlotTime is the slot time of a request without tokens before any
// request was measured.
const defaultPlainSlotTime = 40 * time.Millisecond

func defaultSlotTime(job *Job) time.Duration {
	if job.PromptTokens == 0 && job.OutputTokens == 0 {
		return defaultPlainSlotTime
	}
	return time.Duration(job.PromptTokens*float64(defaultPromptTokenTime)) + time.Duration(job.OutputTokens*float64(defaultOutputTokenTime))
}

// slotTime returns the expected time that a job occupies a slot.
func (q *waitQueue) slotTime(job *Job) time.Duration {
	initial := defaultSlotTime(job)
	if estimate := q.slotTimes[job.Route.Name]; estimate != nil {
		return time.Duration(float64(initial) * estimate.ratio)
	}
	return initial
}

// shortSlotTime returns a job's slot time and whether the job counts as short:
// only jobs without tokens do.
func (q *waitQueue) shortSlotTime(job *Job) (time.Duration, bool) {
	return q.slotTime(job), job.PromptTokens == 0 && job.OutputTokens == 0
}

// slotTimeWeight is the weight of the newest request in the learned slot time.
const slotTimeWeight = 0.05

func (q *waitQueue) recordSlotTime(job *Job, took time.Duration) {
	estimate := q.slotTimes[job.Route.Name]
	if estimate == nil {
		estimate = &slotTimeEstimate{ratio: 1, mean: took}
		q.slotTimes[job.Route.Name] = estimate
	}
	estimate.ratio += (min(float64(took)/float64(defaultSlotTime(job)), 5) - estimate.ratio) * slotTimeWeight
	estimate.mean += time.Duration(float64(took-estimate.mean) * slotTimeWeight)
}

// meanSlotTime returns the mean time that requests of a job's route occupy a
// slot, or the job's own before any was measured.
func (q *waitQueue) meanSlotTime(job *Job) time.Duration {
	if estimate := q.slotTimes[job.Route.Name]; estimate != nil {
		return estimate.mean
	}
	return defaultSlotTime(job)
}

// spareBusyShare is the share of busy slots below which a service has spare
// capacity: nothing queues then, and a request takes no slot that another one
// will need soon.
const spareBusyShare = 0.6

// HasSpareCapacity reports whether a service has no queued requests on this
// host and enough free slots.
func (d *Dispatcher) HasSpareCapacity(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	busy, slots := 0, 0
	d.forEachUsable(service, time.Now(), func(_ *fleet.Endpoint, c choose.Candidate) {
		busy += c.Busy
		slots += c.Slots
	})
	return d.queue(service).Len() == 0 && float64(busy) < spareBusyShare*float64(slots)
}
