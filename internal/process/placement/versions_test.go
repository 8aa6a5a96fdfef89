package placement

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// fakeVersions always chooses one version, falls back to another and can revoke
// the chosen one.
type fakeVersions struct {
	chosen, fallback string
	revoked          atomic.Bool
}

func (v *fakeVersions) Choose(string, string) string { return v.chosen }

func (v *fakeVersions) Fallback(string) string { return v.fallback }

func (v *fakeVersions) Allows(_, version string) bool {
	return !v.revoked.Load() || version != v.chosen
}

// twoVersionView returns a view with one endpoint of each of two versions.
func twoVersionView(versions *fakeVersions) View {
	second := testEndpoint("e2", "b", 1)
	second.Version = "v2"
	return View{
		Bundle:   testBundle(testEndpoint("e1", "a", 1), second),
		Versions: versions,
	}
}

func TestVersionOfPlacement(t *testing.T) {
	cases := []struct {
		name             string
		chosen, fallback string
		revoked          bool
		excluded         []string
		want             string
	}{
		{"chosen", "v2", "v1", false, nil, "v2"},
		{"old version chosen", "v1", "v2", false, nil, "v1"},
		{"any", "", "", false, []string{"e1"}, "v2"},
		{"chosen version has no endpoint in service", "v2", "v1", false, []string{"e2"}, "v1"},
		{"chosen version revoked", "v2", "v1", true, nil, "v1"},
		{"chosen version revoked, fallback not in service", "v2", "v1", true, []string{"e1"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				versions := &fakeVersions{chosen: c.chosen, fallback: c.fallback}
				versions.revoked.Store(c.revoked)
				p := startPlacer(t)
				view := twoVersionView(versions)
				view.ExcludedEndpoints = c.excluded
				p.Update(view)
				placed, refusal := p.Place(t.Context(), Request{Route: "summary"})
				if c.want == "" {
					assert.Equal(t, refusal.Reason, ReasonNoEndpoint)
					return
				}
				assert.Assert(t, refusal == nil)
				assert.Equal(t, placed.Version, c.want)
				placed.Done(Result{Outcome: OutcomeDone})
			})
		})
	}
}

// TestWaitingRequestFollowsVersion checks that a request uses the fallback
// version if the chosen one has no free slot, and that a waiting request never
// gets the chosen version after it was revoked.
func TestWaitingRequestFollowsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		versions := &fakeVersions{chosen: "v2", fallback: "v1"}
		p := startPlacer(t)
		p.Update(twoVersionView(versions))
		first, refusal := p.Place(t.Context(), Request{Route: "summary"})
		assert.Assert(t, refusal == nil)
		second, refusal := p.Place(t.Context(), Request{Route: "summary"})
		assert.Assert(t, refusal == nil)
		assert.Equal(t, first.Version, "v2")
		assert.Equal(t, second.Version, "v1")
		third := make(chan *Placement)
		go func() {
			placed, _ := p.Place(t.Context(), Request{Route: "summary"})
			third <- placed
		}()
		synctest.Wait()
		versions.revoked.Store(true)
		first.Done(Result{Outcome: OutcomeDone})
		synctest.Wait()
		select {
		case placed := <-third:
			t.Fatalf("placed on %s while the fallback version had no free slot", placed.Version)
		default:
		}
		second.Done(Result{Outcome: OutcomeDone})
		placed := <-third
		assert.Equal(t, placed.Version, "v1")
		placed.Done(Result{Outcome: OutcomeDone})
	})
}
