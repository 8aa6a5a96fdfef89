package quarantine

import "time"

const (
	// maxSuccesses is the number of parts remembered in each generation.
	maxSuccesses = 4096
	// generationLifetime is how long a generation is filled.
	generationLifetime = 5 * time.Minute
)

// successMemory remembers when parts last succeeded. It holds two generations of
// bounded size, so that the oldest entries are forgotten.
type successMemory struct {
	newer, older map[Part]time.Time
	startedAt    time.Time
}

// record records a success. An earlier one than the last is ignored.
func (m *successMemory) record(part Part, at time.Time) {
	if m.newer == nil || len(m.newer) >= maxSuccesses || at.Sub(m.startedAt) > generationLifetime {
		m.older, m.newer, m.startedAt = m.newer, map[Part]time.Time{}, at
	}
	if at.After(m.last(part)) {
		m.newer[part] = at
	}
}

// last returns when the part last succeeded, or the zero time.
func (m *successMemory) last(part Part) time.Time {
	if at, found := m.newer[part]; found {
		return at
	}
	return m.older[part]
}
