package cells

import (
	"fmt"
	"testing"

	"spantack/routing"
)

// Open requests: a cell that holds all it can leaves the other cell its share, and gives back what ends.
func TestOpenRequestsAreReservedByCell(t *testing.T) {
	spec := twoCells()
	spec.Budget.MaxOpenRequests = 20
	admission := newTestAdmission(t, spec, cacheNames(8)...)
	now := 2 * sec
	open := func(id string, group int64, object string) (isAdmitted bool) {
		for _, action := range admission.step(now, routing.Event{
			Kind:       routing.EventRequest,
			RequestID:  id,
			Class:      "page",
			PurgeGroup: group,
			Object:     object,
			Timeout:    3 * sec,
		}) {
			isAdmitted = isAdmitted || action.Kind == routing.ActionSend
		}
		return isAdmitted
	}
	openMany := func(group int64, n int) (admitted []string) {
		for i := range n {
			id := fmt.Sprint("g", group, "-", i, "-", now)
			if open(id, group, id) {
				admitted = append(admitted, id)
			}
		}
		return admitted
	}
	open("first", 99, "x")
	now += sec
	loud := openMany(1, 30)
	calm := openMany(99, 9)
	if len(loud) > 12 || len(calm) < 8 {
		t.Errorf("loud %d, calm %d of 20 places", len(loud), len(calm))
	}
	for _, id := range loud {
		admission.step(now, routing.Event{Kind: routing.EventAborted, RequestID: id})
	}
	if got, want := len(admission.openRequests), len(calm)+1; got != want {
		t.Errorf("%d open after the clients left, %d requested", got, want)
	}
}
