package relay

import "sync"

const (
	// maxResponseMemoryBytes is the total memory for parts of responses that cannot be
	// relayed yet, beyond freeResponseBytes of each.
	maxResponseMemoryBytes = 16 << 20
	freeResponseBytes      = 64 << 10
)

// memoryBudget bounds a total of memory.
type memoryBudget struct {
	mu        sync.Mutex
	available int
}

func (b *memoryBudget) reserve(size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < size {
		return false
	}
	b.available -= size
	return true
}

func (b *memoryBudget) release(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += size
}

// responseMemory is what one response takes from the budget of all.
type responseMemory struct {
	budget   *memoryBudget
	reserved int
}

// grow reserves memory for a size that a response has reached, and reports whether that
// much is available.
func (m *responseMemory) grow(size int) bool {
	more := size - freeResponseBytes - m.reserved
	if more <= 0 {
		return true
	}
	if !m.budget.reserve(more) {
		return false
	}
	m.reserved += more
	return true
}

// release returns what was reserved. Further calls have no effect.
func (m *responseMemory) release() {
	m.budget.release(m.reserved)
	m.reserved = 0
}
