package dispatch

import (
	"time"

	"mustarddoor/internal/process/admission"
	"mustarddoor/internal/process/choose"
	"mustarddoor/internal/process/fleet"
)

// serviceQueue is what waits for a service's endpoints.
type serviceQueue struct {
	admission.Queue
	// slotTimes are the learned times that requests of a route occupy a slot.
	slotTimes   map[string]*slotTimeEstimate
	dequeueRate dequeueRate
}

// dequeueRate measures how fast waiting work is taken up.
type dequeueRate struct {
	// sampleStart is when the measuring began; zero while nothing waits.
	sampleStart time.Time
	dequeued    time.Duration
	// rate is work in a unit of time, over the slots that this host should
	// have; 0 before the first measure.
	rate float64
}

const (
	// dequeueSampleInterval is how long one measure takes, and flowWeight the weight of the
	// newest one: a burst lasts a few seconds.
	dequeueSampleInterval = 100 * time.Millisecond
	dequeueSampleWeight   = 0.15
	minDequeueRate        = 0.2
)

// update takes in what was taken up, given this host's part of the slots.
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

// slotTimeEstimate learns how long requests of a route take, beside what their tokens
// explain.
type slotTimeEstimate struct {
	// ratio is the time taken over the time expected.
	ratio float64
}

func (d *Dispatcher) queue(service string) *serviceQueue {
	queue := d.queues[service]
	if queue == nil {
		queue = &serviceQueue{slotTimes: map[string]*slotTimeEstimate{}, dequeueRate: dequeueRate{rate: 1}}
		d.queues[service] = queue
	}
	return queue
}

// defaultOutputTokenTime is the time that a slot is expected to be occupied for each token
// of the answer, before anything was learned.
const defaultOutputTokenTime = 4 * time.Millisecond

// defaultPromptTokenTime is the same for each token of the prompt.
const defaultPromptTokenTime = 20 * time.Microsecond

// defaultPlainSlotTime is the expected time of a request to a plain service.
const defaultPlainSlotTime = 40 * time.Millisecond

func defaultSlotTime(job *Job) time.Duration {
	if job.PromptTokens == 0 && job.OutputTokens == 0 {
		return defaultPlainSlotTime
	}
	return time.Duration(job.PromptTokens*float64(defaultPromptTokenTime)) + time.Duration(job.OutputTokens*float64(defaultOutputTokenTime))
}

// slotTime is the learned time that a job occupies a slot.
func (q *serviceQueue) slotTime(job *Job) time.Duration {
	initial := defaultSlotTime(job)
	if estimate := q.slotTimes[job.Route.Name]; estimate != nil {
		return time.Duration(float64(initial) * estimate.ratio)
	}
	return initial
}

// shortSlotTime is the learned time of a job without tokens; others are long.
func (q *serviceQueue) shortSlotTime(job *Job) (time.Duration, bool) {
	return q.slotTime(job), job.PromptTokens == 0 && job.OutputTokens == 0
}

// slotTimeWeight is the weight of the newest request in the learned hold time.
const slotTimeWeight = 0.05

func (q *serviceQueue) recordSlotTime(job *Job, took time.Duration) {
	estimate := q.slotTimes[job.Route.Name]
	if estimate == nil {
		estimate = &slotTimeEstimate{ratio: 1}
		q.slotTimes[job.Route.Name] = estimate
	}
	estimate.ratio += (min(float64(took)/float64(defaultSlotTime(job)), 5) - estimate.ratio) * slotTimeWeight
}

// spareBusyShare is the part of a service's slots below which there is room: nothing
// waits then, and a request takes no slot that another one will need soon.
const spareBusyShare = 0.6

// HasSpareCapacity reports whether a service has endpoints to spare.
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
