package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/process/quarantine"
)

// quarantiningHost is a simulated host that exchanges evidence of crashes.
type quarantiningHost struct {
	*simulatedHost
	tracker *quarantine.Tracker
}

func addTrackers(n *network) []*quarantiningHost {
	var hosts []*quarantiningHost
	for _, h := range n.hosts {
		q := &quarantiningHost{simulatedHost: h, tracker: quarantine.NewTracker(func(quarantine.Part) bool { return true })}
		status := h.status
		h.status = func(isFull bool) Status {
			s := status(isFull)
			if now := time.Now(); isFull || q.tracker.HasNews(now) {
				s.Quarantine = q.tracker.Evidence(now, isFull)
			}
			return s
		}
		h.onMessage = func(m Message, _ bool) {
			if m.Status.Quarantine != nil {
				q.tracker.Merge(m.Status.Quarantine, time.Now())
			}
		}
		hosts = append(hosts, q)
	}
	return hosts
}

// In fleets of 6 to 295 hosts that lose messages, requests with a crashing part
// that come at random hosts, carrying or idle ones, end few endpoints: soon after
// the third crash no host sends another, though some hosts are cut off meanwhile
// and return.
func TestQuarantineSpreads(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ domains, carrying, idle int }{{3, 2, 0}, {3, 2, 26}, {5, 3, 56}} {
		t.Run(fmt.Sprint(test.domains*(test.carrying+test.idle), " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, test.domains, test.carrying, test.idle)
				hosts := addTrackers(n)
				n.loseEachHundredth()
				time.Sleep(5 * time.Second)
				random := rand.New(rand.NewPCG(7, uint64(len(hosts))))
				const bad quarantine.Part = 0xbad
				cut := hosts[len(hosts)-1].simulatedHost
				var crashes []time.Time
				for step := range 100 {
					if step == 2 {
						n.setDown(true, cut)
					}
					if step == 30 {
						n.setDown(false, cut)
					}
					time.Sleep(100 * time.Millisecond)
					h := hosts[random.IntN(len(hosts))]
					if h.simulatedHost == cut && step < 60 || !h.tracker.AllowSend([]quarantine.Part{0x60, bad}, time.Now()) {
						continue
					}
					crashes = append(crashes, time.Now())
					h.tracker.RecordCrash(uint64(step), []quarantine.Part{0x60, bad}, time.Now())
					h.SendNow()
				}
				late := 0
				for i, at := range crashes {
					if i >= 5 && at.After(crashes[4].Add(3*time.Second)) {
						late++
					}
				}
				assert.Assert(t, len(crashes) >= 3)
				assert.Assert(t, late <= 3, "%d crashes, %d of them late", len(crashes), late)
				for _, h := range hosts {
					assert.DeepEqual(t, h.tracker.Quarantined(), []quarantine.Part{bad})
				}
				t.Logf("%d crashes", len(crashes))
			})
		})
	}
}
