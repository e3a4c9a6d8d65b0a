package emulator

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against events out of order: the queue returns events by time, and events with the same time in the order in
// which they were pushed.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q eventQueue
		last := event{time: -1}
		for _, delay := range rapid.SliceOf(rapid.Int64Range(-1, 50)).Draw(t, "steps") { // -1: pop; otherwise push
			if delay >= 0 {
				q.push(event{time: delay + max(last.time, 0)})
			} else if len(q.heap) > 0 {
				e := q.pop()
				if e.before(&last) {
					t.Fatalf("popped %+v after %+v", e, last)
				}
				last = e
			}
		}
	})
}
