package requestids

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an id that is forgotten too early or remembered too long, and against a window that grows: compared with
// a plain list of all ids that were added.
func TestWindowRemembersRecentIDs(t *testing.T) {
	const retention, capacity = 100, 5
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(retention, capacity)
		var now int64
		lastAdded := map[string]int64{}
		var firstAdded []string // distinct ids in the order in which they were first added
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(0, 40).Draw(t, "wait")
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
			at, isAdded := lastAdded[id]
			if got, want := w.Contains(now, id), isAdded && now-at <= retention; got != want {
				t.Fatalf("id %s at %d, added %v at %d: known %v", id, now, isAdded, at, got)
			}
			if rapid.Bool().Draw(t, "add") {
				if !isAdded {
					firstAdded = append(firstAdded, id)
				}
				lastAdded[id] = now
				w.Add(now, id)
			}
			if len(firstAdded) > capacity {
				delete(lastAdded, firstAdded[0])
				firstAdded = firstAdded[1:]
			}
			if len(w.addedAt) > capacity {
				t.Fatalf("%d ids, want at most %d", len(w.addedAt), capacity)
			}
		}
	})
}
