package allowance_test

import "time"

// disturb applies one disturbance.
func (m *model) disturb(kind string) {
	victims := 1 + m.random.IntN(len(m.hosts))
	switch kind {
	case "cut":
		for _, i := range m.random.Perm(len(m.hosts))[:victims] {
			m.side[i] = m.random.IntN(3)
		}
		m.healAt = m.now.Add(m.between(300*time.Millisecond, maxCut))
	case "freeze":
		for _, i := range m.random.Perm(len(m.hosts))[:victims] {
			m.hosts[i].frozenUntil = m.now.Add(m.between(300*time.Millisecond, 4*time.Second))
		}
	case "kill":
		m.kill(victims)
	case "kill all":
		m.kill(len(m.hosts))
	case "add":
		if len(m.hosts) < 12 {
			m.start(m.add(), false)
		}
	}
}

func (m *model) kill(count int) {
	down := m.between(300*time.Millisecond, 1500*time.Millisecond)
	for _, i := range m.random.Perm(len(m.hosts))[:count] {
		m.hosts[i].downUntil = m.now.Add(down + m.between(0, 300*time.Millisecond))
	}
}

// restartDue starts the hosts whose time down is over.
func (m *model) restartDue() {
	for _, h := range m.hosts {
		if !h.downUntil.IsZero() && !m.now.Before(h.downUntil) {
			h.downUntil, h.frozenUntil = time.Time{}, time.Time{}
			m.start(h, false)
		}
	}
}
