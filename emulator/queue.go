package emulator

// eventKind is the kind of an event. Each comment says what the fields of the event refer to: "target, generation:
// request" means that they are the index and the generation of a request.
type eventKind uint8

const (
	eventArrival        eventKind = iota // a client arrives; target: site
	eventNextChunk                       // target: video session
	eventFloodRequest                    // no target
	eventAtRouter                        // target, generation: request; value: waitedForCore or 0
	eventRouterTimer                     // target, generation: router; value: token
	eventAtServer                        // target, generation: attempt
	eventAtSource                        // target, generation: attempt
	eventFillFailed                      // target, generation: attempt; value: cache status
	eventAttemptOutcome                  // target, generation: attempt
	eventAttemptTimeout                  // target, generation: attempt
	eventLinkDue                         // a transfer may have ended; target: link
	eventFetchAtOrigin                   // target, generation: fetch
	eventAnswer                          // the response reaches the client; target, generation: request
	eventClientTimeout                   // target, generation: request
	eventClientRetry                     // target: operation
	eventEndpointUpdate                  // target, generation: router; value: length of the list of changes
	eventFault                           // target: fault; value: step of the fault
	eventServerRestart                   // target: server
	eventFrontendUpdate                  // target: router; value: 1 if the frontend uses it from now on, else 0
	eventConfigChange                    // target, generation: router; value: change
	eventGossip                          // target: router; value: datagram
	eventPurge                           // target, generation: router; value: purge
)

// event is a scheduled event. Events with the same time happen in the order in which they were pushed.
type event struct {
	time       int64
	sequence   uint64
	value      int64
	target     int32
	generation uint32
	kind       eventKind
}

func (e *event) before(o *event) bool {
	return e.time < o.time || e.time == o.time && e.sequence < o.sequence
}

// eventQueue is a heap with four children per node. It has fewer levels than a binary heap, and the children of a node
// are adjacent in memory.
type eventQueue struct {
	heap     []event
	sequence uint64
}

const childrenPerNode = 4

// push adds an event and sets its sequence number.
func (q *eventQueue) push(e event) {
	q.sequence++
	e.sequence = q.sequence
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / childrenPerNode
		if !e.before(&q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// pop removes the first event. The queue must not be empty.
func (q *eventQueue) pop() event {
	first := q.heap[0]
	n := len(q.heap) - 1
	last := q.heap[n]
	q.heap = q.heap[:n]
	if n == 0 {
		return first
	}
	i := 0
	for {
		child := childrenPerNode*i + 1
		if child >= n {
			break
		}
		best := child
		for j := child + 1; j < min(child+childrenPerNode, n); j++ {
			if q.heap[j].before(&q.heap[best]) {
				best = j
			}
		}
		if !q.heap[best].before(&last) {
			break
		}
		q.heap[i] = q.heap[best]
		i = best
	}
	q.heap[i] = last
	return first
}
