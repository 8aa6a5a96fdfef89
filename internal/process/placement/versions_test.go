package placement

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// fakeVersions chooses one version, has another one as the steady one and may
// take the chosen one back.
type fakeVersions struct {
	chosen, steady string
	takenBack      atomic.Bool
}

func (v *fakeVersions) Choose(string, string) string { return v.chosen }

func (v *fakeVersions) Fallback(string) string { return v.steady }

func (v *fakeVersions) Allows(_, version string) bool {
	return !v.takenBack.Load() || version != v.chosen
}

// movingView has one endpoint of each version.
func movingView(versions *fakeVersions) View {
	fresh := testEndpoint("e2", "b", 1)
	fresh.Version = "v2"
	return View{
		Bundle:   testBundle(testEndpoint("e1", "a", 1), fresh),
		Versions: versions,
	}
}

func TestVersionOfPlacement(t *testing.T) {
	cases := []struct {
		name           string
		chosen, steady string
		takenBack      bool
		out            []string
		want           string
	}{
		{"chosen", "v2", "v1", false, nil, "v2"},
		{"old one chosen", "v1", "v2", false, nil, "v1"},
		{"any", "", "", false, []string{"e1"}, "v2"},
		{"chosen one has no endpoint in service", "v2", "v1", false, []string{"e2"}, "v1"},
		{"taken back", "v2", "v1", true, nil, "v1"},
		{"taken back, no other in service", "v2", "v1", true, []string{"e1"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				versions := &fakeVersions{chosen: c.chosen, steady: c.steady}
				versions.takenBack.Store(c.takenBack)
				p := startPlacer(t)
				view := movingView(versions)
				view.EndpointsOut = c.out
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

// TestWaitingRequestFollowsVersion checks that a request for which the new
// version has no slot gets one of the old version, and that requests which
// wait for both get none of the new version once it is taken back.
func TestWaitingRequestFollowsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		versions := &fakeVersions{chosen: "v2", steady: "v1"}
		p := startPlacer(t)
		p.Update(movingView(versions))
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
		versions.takenBack.Store(true)
		first.Done(Result{Outcome: OutcomeDone})
		synctest.Wait()
		select {
		case placed := <-third:
			t.Fatalf("placed on %s", placed.Version)
		default:
		}
		second.Done(Result{Outcome: OutcomeDone})
		placed := <-third
		assert.Equal(t, placed.Version, "v1")
		placed.Done(Result{Outcome: OutcomeDone})
	})
}
