package endpoints

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spantack/routing"
)

func endpoint(server string, status routing.EndpointStatus) routing.Endpoint {
	return routing.Endpoint{Server: server, Kind: "box", Status: status}
}

// statuses formats the servers and statuses of endpoints for comparison.
func statuses(endpoints []routing.Endpoint) string {
	text := ""
	for _, e := range endpoints {
		text += e.Server + "=" + string(e.Status) + " "
	}
	return text
}

// listModel is a simple reference model of the endpoints that package routing must have received last.
type listModel struct {
	announced map[string]routing.EndpointStatus
	excluded  map[string]bool
	effective map[string]routing.EndpointStatus // by server: status last returned for package routing
}

func (m *listModel) apply(endpoints []routing.Endpoint) {
	for _, e := range endpoints {
		m.effective[e.Server] = e.Status
	}
}

// check compares the status that routing received last for each server with the list and the exclusions.
func (m *listModel) check(t *rapid.T) {
	for id, want := range m.announced {
		if want == routing.EndpointHealthy && m.excluded[id] {
			want = routing.EndpointDraining
		}
		if got := m.effective[id]; got != want {
			t.Fatalf("routing last received %s as %q, want %q", id, got, want)
		}
	}
}

// Guards against routing holding a status that does not follow from the list and the exclusions. Random sequences of
// announcements, exclusions and reinstatements are compared with the model. The sequences also replace the whole set of
// exclusions, as happens after a handover.
func TestEffectiveStatusesMatchListAndExclusions(t *testing.T) {
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		m := listModel{
			announced: map[string]routing.EndpointStatus{},
			excluded:  map[string]bool{},
			effective: map[string]routing.EndpointStatus{},
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0:
				status := rapid.SampledFrom([]routing.EndpointStatus{
					routing.EndpointHealthy, routing.EndpointDraining, routing.EndpointRemoved,
				}).Draw(t, "status")
				m.announced[id] = status
				m.apply(l.Update(false, []routing.Endpoint{endpoint(id, status)}))
			case 1:
				clear(m.effective)
				clear(m.announced)
				m.announced[id] = routing.EndpointHealthy
				m.apply(l.Update(true, []routing.Endpoint{endpoint(id, routing.EndpointHealthy)}))
			case 2:
				isListed := m.announced[id] == routing.EndpointHealthy ||
					m.announced[id] == routing.EndpointDraining
				isKnown := m.excluded[id] || isListed
				changed, err := l.Exclude(id)
				if (err == nil) != isKnown {
					t.Fatalf("exclude %s: %v, announced %v", id, err, m.announced)
				}
				m.excluded[id] = isKnown
				m.apply(changed)
			case 3:
				changed, _ := l.Reinstate(id)
				delete(m.excluded, id)
				m.apply(changed)
			case 4:
				next := rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(t, "exclusions")
				changed, err := l.ReplaceExclusions(next)
				if err != nil {
					t.Fatal(err)
				}
				m.excluded = setOf(next)
				m.apply(changed)
			}
			m.check(t)
		}
		maps.DeleteFunc(m.excluded, func(_ string, isExcluded bool) bool { return !isExcluded })
		if got := l.Exclusions(); !slices.Equal(got, slices.Sorted(maps.Keys(m.excluded))) {
			t.Fatalf("exclusions are %v, want %v", got, m.excluded)
		}
	})
}
