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
	// holds are the learned times that requests of a route occupy a slot.
	holds map[string]*holdTime
	flow  flow
}

// flow measures how fast waiting work is taken up.
type flow struct {
	// since is when the measuring began; zero while nothing waits.
	since time.Time
	taken time.Duration
	// rate is work in a unit of time, over the slots that this host should
	// have; 0 before the first measure.
	rate float64
}

const (
	// flowTime is how long one measure takes, and flowWeight the weight of the
	// newest one: a burst lasts a few seconds.
	flowTime   = 100 * time.Millisecond
	flowWeight = 0.15
	flowLeast  = 0.2
)

// measure takes in what was taken up, given this host's part of the slots.
func (f *flow) measure(waiting bool, slots float64, now time.Time) {
	if !waiting {
		f.since, f.taken = time.Time{}, 0
		f.rate += (1 - f.rate) * flowWeight
		return
	}
	elapsed := now.Sub(f.since)
	if f.since.IsZero() {
		f.since, f.taken = now, 0
		return
	}
	if elapsed < flowTime || slots <= 0 {
		return
	}
	sample := float64(f.taken) / float64(elapsed) / slots
	f.rate += (min(max(sample, flowLeast), 1) - f.rate) * flowWeight
	f.since, f.taken = now, 0
}

// holdTime learns how long requests of a route take, beside what their tokens
// explain.
type holdTime struct {
	// ratio is the time taken over the time expected.
	ratio float64
}

func (d *Dispatcher) queue(service string) *serviceQueue {
	queue := d.queues[service]
	if queue == nil {
		queue = &serviceQueue{holds: map[string]*holdTime{}, flow: flow{rate: 1}}
		d.queues[service] = queue
	}
	return queue
}

// tokenTime is the time that a slot is expected to be occupied for each token
// of the answer, before anything was learned.
const tokenTime = 4 * time.Millisecond

// promptTime is the same for each token of the prompt.
const promptTime = 20 * time.Microsecond

// plainTime is the expected time of a request to a plain service.
const plainTime = 40 * time.Millisecond

func expectedHold(job *Job) time.Duration {
	if job.Prompt == 0 && job.Output == 0 {
		return plainTime
	}
	return time.Duration(job.Prompt*float64(promptTime)) + time.Duration(job.Output*float64(tokenTime))
}

// hold is the learned time that a job occupies a slot.
func (q *serviceQueue) hold(job *Job) time.Duration {
	expected := expectedHold(job)
	if learned := q.holds[job.Route.Name]; learned != nil {
		return time.Duration(float64(expected) * learned.ratio)
	}
	return expected
}

// shortWork is the learned time of a job without tokens; others are long.
func (q *serviceQueue) shortWork(job *Job) (time.Duration, bool) {
	return q.hold(job), job.Prompt == 0 && job.Output == 0
}

// holdWeight is the weight of the newest request in the learned hold time.
const holdWeight = 0.05

func (q *serviceQueue) learn(job *Job, took time.Duration) {
	learned := q.holds[job.Route.Name]
	if learned == nil {
		learned = &holdTime{ratio: 1}
		q.holds[job.Route.Name] = learned
	}
	learned.ratio += (min(float64(took)/float64(expectedHold(job)), 5) - learned.ratio) * holdWeight
}

// roomPart is the part of a service's slots below which there is room: nothing
// waits then, and a request takes no slot that another one will need soon.
const roomPart = 0.6

// HasRoom reports whether a service has endpoints to spare.
func (d *Dispatcher) HasRoom(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	busy, slots := 0, 0
	d.eachUsable(service, time.Now(), func(_ *fleet.Endpoint, c choose.Candidate) {
		busy += c.Busy
		slots += c.Slots
	})
	return d.queue(service).Len() == 0 && float64(busy) < roomPart*float64(slots)
}
