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

// statuses is the servers and statuses of endpoints, as text to compare.
func statuses(endpoints []routing.Endpoint) string {
	text := ""
	for _, e := range endpoints {
		text += e.Server + "=" + string(e.Status) + " "
	}
	return text
}

// listModel is what package routing must have been told last, kept the plain way.
type listModel struct {
	list      map[string]routing.EndpointStatus // as announced
	excluded  map[string]bool
	effective map[string]routing.EndpointStatus // as told to routing
}

func (m *listModel) tell(endpoints []routing.Endpoint) {
	for _, e := range endpoints {
		m.effective[e.Server] = e.Status
	}
}

// check holds what routing was told last against the list and the exclusions.
func (m *listModel) check(t *rapid.T) {
	for id, want := range m.list {
		if want == routing.EndpointHealthy && m.excluded[id] {
			want = routing.EndpointDraining
		}
		if got := m.effective[id]; got != want {
			t.Fatalf("of %s routing was told %q last, %q holds", id, got, want)
		}
	}
}

// What routing was told last of each server is always the list less the exclusions, and a successor that takes the
// exclusions over is told the same.
func TestEffectiveListIsTheListLessTheExclusions(t *testing.T) {
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		m := listModel{
			list:      map[string]routing.EndpointStatus{},
			excluded:  map[string]bool{},
			effective: map[string]routing.EndpointStatus{},
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				status := rapid.SampledFrom([]routing.EndpointStatus{
					routing.EndpointHealthy, routing.EndpointDraining, routing.EndpointRemoved,
				}).Draw(t, "status")
				m.list[id] = status
				m.tell(l.Update(false, []routing.Endpoint{endpoint(id, status)}))
			case 1:
				clear(m.effective)
				clear(m.list)
				m.list[id] = routing.EndpointHealthy
				m.tell(l.Update(true, []routing.Endpoint{endpoint(id, routing.EndpointHealthy)}))
			case 2:
				isListed := m.list[id] == routing.EndpointHealthy || m.list[id] == routing.EndpointDraining
				isKnown := m.excluded[id] || isListed
				changed, err := l.Exclude(id)
				if (err == nil) != isKnown {
					t.Fatalf("exclude %s: %v, list %v", id, err, m.list)
				}
				m.excluded[id] = isKnown
				m.tell(changed)
			case 3:
				changed, _ := l.Reinstate(id)
				delete(m.excluded, id)
				m.tell(changed)
			case 4:
				next := rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(t, "outs")
				changed, err := l.ReplaceExclusions(next)
				if err != nil {
					t.Fatal(err)
				}
				m.excluded = setOf(next)
				m.tell(changed)
			}
			m.check(t)
		}
		maps.DeleteFunc(m.excluded, func(_ string, isExcluded bool) bool { return !isExcluded })
		if got := l.Exclusions(); !slices.Equal(got, slices.Sorted(maps.Keys(m.excluded))) {
			t.Fatalf("exclusions %v, want %v", got, m.excluded)
		}
	})
}
