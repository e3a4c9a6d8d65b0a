package cells

import (
	"fmt"
	"testing"

	"spantack/routing"
)

// Places for open requests: a cell that holds all it can leaves the other its share, and gives back what ends.
func TestOpenRequestsAreReservedByCell(t *testing.T) {
	s := twoCells()
	s.Budget.MaxOpenRequests = 20
	m := newTestAdmission(t, s, cacheNames(8)...)
	now := 2 * sec
	open := func(group int64, n int) (calls []string) {
		for i := range n {
			call := fmt.Sprint("g", group, "-", i, "-", now)
			for _, act := range m.Step(now, []routing.Event{{Kind: routing.EventRequest, RequestID: call, Class: "page", PurgeGroup: group, Object: call, Timeout: 3 * sec}}) {
				if act.Kind == routing.ActionSend {
					calls = append(calls, call)
				}
			}
		}
		return calls
	}
	m.Step(now, []routing.Event{{Kind: routing.EventRequest, RequestID: "first", Class: "page", PurgeGroup: 99, Object: "x", Timeout: 3 * sec}})
	now += sec
	loud := open(1, 30)
	calm := open(99, 9)
	if len(loud) > 12 || len(calm) < 8 {
		t.Errorf("loud %d, calm %d of 20 places", len(loud), len(calm))
	}
	for _, call := range loud {
		m.Step(now, []routing.Event{{Kind: routing.EventAborted, RequestID: call}})
	}
	if len(m.openRequests) != len(calm)+1 {
		t.Errorf("%d open after the clients left, %d asked", len(m.openRequests), len(calm)+1)
	}
}
