package canary

import "time"

const (
	// loadTestDuration is the length of the load test as a share of the ordered duration.
	// Together with the trial it stays below the smallest share of the requests that
	// operators allow a bad version.
	loadTestDuration = 0.25
	// The load test ends loadTestResultTime of the ordered duration, and at most
	// maxLoadTestResultTime, before StageShift, until when its results arrive.
	loadTestResultTime    = 0.15
	maxLoadTestResultTime = 2 * time.Second
	// loadTestTolerance is how much slower, in buckets of the histogram, responses of the
	// load test may be: unlike the others, its requests have few endpoints to choose from.
	loadTestTolerance = 1
)

// LoadTestEndpoints is the share of the new version's endpoints that get requests during
// its load test.
const LoadTestEndpoints = 0.25

// loadTestShare is the share of the requests that they get: each then has as many as an
// endpoint of the old version.
const loadTestShare = LoadTestEndpoints / (1 + LoadTestEndpoints)

// loadTest is the part of the trial in which some endpoints of the new version are under
// load.
type loadTest struct {
	// startedAt is the zero time before the test.
	startedAt time.Time
	isRunning bool
	// before is the evidence of all hosts before the test.
	before Evidence
	// requests counts this host's requests since the start of the test, trials those of
	// them that went to the new version.
	requests, trials int
}

// allowsTrial reports whether the next request may go to the new version.
func (t *loadTest) allowsTrial() bool {
	return float64(t.trials) < loadTestShare*float64(t.requests+1)
}

// IsLoadTest reports whether requests to the new version are to go to LoadTestEndpoints of
// its endpoints.
func (m *Move) IsLoadTest() bool { return m.stage == StageTrial && m.loadTest.isRunning }

// looksBad reports whether the new version is to be rolled back. Its results since the load
// test began count by themselves too: it may fail only under load, which those before would
// hide.
func (m *Move) looksBad(all Evidence, c certainty) bool {
	switch {
	case m.isOldGone:
		return false
	case m.loadTest.startedAt.IsZero():
		return isBad(all, c)
	}
	before := m.loadTest.before.New
	since := all.New.since(before).faster(loadTestTolerance)
	return isBad(Evidence{New: since, Old: all.Old}, c) || isBad(Evidence{New: before.add(since), Old: all.Old}, c)
}

// updateLoadTest starts and ends the load test. It is skipped for a version that has too
// few results by then, or that looks bad.
func (m *Move) updateLoadTest(all Evidence, now time.Time) {
	length := time.Duration(loadTestDuration * float64(m.Duration))
	resultTime := min(time.Duration(loadTestResultTime*float64(m.Duration)), maxLoadTestResultTime)
	endAt := m.Duration - completionMargin(m.Duration) - shiftDuration - resultTime
	elapsed := now.Sub(m.startedAt)
	isDue := elapsed >= endAt-length && elapsed < endAt
	switch {
	case m.loadTest.isRunning:
		m.loadTest.isRunning = isDue
	case isDue && m.stage == StageTrial && m.loadTest.startedAt.IsZero():
		if all.New.total() >= minTrialResults && !m.looksBad(all, whenDue) {
			m.loadTest = loadTest{startedAt: now, isRunning: true, before: all}
		}
	}
}

// since returns the results that have come after an earlier state of them.
func (c Results) since(earlier Results) Results {
	later := Results{
		Succeeded: max(c.Succeeded-earlier.Succeeded, 0), Failed: max(c.Failed-earlier.Failed, 0),
		LogSlowdownSum: c.LogSlowdownSum - earlier.LogSlowdownSum, LogSlowdownSquareSum: c.LogSlowdownSquareSum - earlier.LogSlowdownSquareSum,
	}
	for i := range later.Slowdowns {
		later.Slowdowns[i] = max(c.Slowdowns[i]-earlier.Slowdowns[i], 0)
	}
	return later
}

// faster returns the results with all slowdowns lower by a number of buckets of the
// histogram.
func (c Results) faster(buckets int) Results {
	shift, n := float64(buckets)*bucketWidth, float64(c.Succeeded)
	c.LogSlowdownSquareSum += n*shift*shift - 2*shift*c.LogSlowdownSum
	c.LogSlowdownSum -= n * shift
	c.Slowdowns = c.Slowdowns.faster(buckets)
	return c
}
