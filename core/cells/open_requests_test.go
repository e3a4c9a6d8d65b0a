package cells

import (
	"fmt"
	"testing"

	"spantack/routing"
)

// One cell opens as many requests as it is allowed. The other cell must still get its share of the limit. Requests that
// end must no longer count as open.
func TestOpenRequestsLeaveOtherCellsShare(t *testing.T) {
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
	heavy := openMany(1, 30)
	normal := openMany(99, 9)
	if len(heavy) > 12 || len(normal) < 8 {
		t.Errorf("open requests with a limit of 20: heavy %d, normal %d", len(heavy), len(normal))
	}
	for _, id := range heavy {
		admission.step(now, routing.Event{Kind: routing.EventAborted, RequestID: id})
	}
	if got, want := len(admission.openRequests), len(normal)+1; got != want {
		t.Errorf("%d open requests after the others were aborted, want %d", got, want)
	}
}
