package emulator

// The engine: events in the order of their times, those of one time in the order in which they were made.

type eventKind uint8

const (
	eventArrival        eventKind = iota // id: depot
	eventNextChunk                       // id: session
	eventFloodRequest                    // nothing
	eventAtRouter                        // id, gen: request
	eventRouterTimer                     // id, gen: router; x: token
	eventAtServer                        // id, gen: try
	eventAtSource                        // id, gen: try
	eventFillFailed                      // id, gen: try; x: note
	eventAttemptOutcome                  // id, gen: try
	eventAttemptTimeout                  // id, gen: try
	eventLinkDue                         // id: link
	eventFetchAtOrigin                   // id, gen: fetch
	eventAnswer                          // id, gen: request
	eventClientGivesUp                   // id, gen: request
	eventClientRetry                     // id: wish
	eventEndpointUpdate                  // id: router, gen; x: change
	eventFault                           // id: fault; x: step
	eventServerRestart                   // id: server
	eventFrontendUpdate                  // id: router; x: 1 seen up, 0 seen down
	eventConfigChange                    // id, gen: router; x: change
	eventGossip                          // id: router; x: word
	eventPurge                           // id, gen: router; x: purge
)

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

// eventQueue is a heap with four children a node: fewer levels, and the children lie side by side.
type eventQueue struct {
	heap     []event
	sequence uint64
}

func (q *eventQueue) push(e event) {
	q.sequence++
	e.sequence = q.sequence
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		p := (i - 1) / 4
		if !e.before(&q.heap[p]) {
			break
		}
		q.heap[i] = q.heap[p]
		i = p
	}
	q.heap[i] = e
}

func (q *eventQueue) pop() event {
	top := q.heap[0]
	n := len(q.heap) - 1
	last := q.heap[n]
	q.heap = q.heap[:n]
	if n == 0 {
		return top
	}
	i := 0
	for {
		c := 4*i + 1
		if c >= n {
			break
		}
		best := c
		for j := c + 1; j < min(c+4, n); j++ {
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
	return top
}

// link shares its capacity evenly among transfers, none faster than pace. Progress is kept as the KB that each transfer
// has had since the link's start, so that one number stands for all.
type link struct {
	capacity, maxRate float64 // KB a microsecond
	knee              float64 // transfers past which capacity falls; 0: never
	progressKB        float64
	updatedAt         int64
	active            int
	transfers         []transfer
	dueAt             int64 // when an event of this link will come; 0: none
}

// transfer ends when the link has given each KB up to end.
type transfer struct {
	endKB      float64
	owner      int32
	generation uint32
	segment    segment
}

func (l *link) rate() float64 {
	if l.active == 0 {
		return 0
	}
	c := l.capacity
	if l.knee > 0 && float64(l.active) > l.knee {
		c /= 1 + 0.5*(float64(l.active)-l.knee)/l.knee
	}
	return min(l.maxRate, c/float64(l.active))
}

func (l *link) advance(now int64) {
	l.progressKB += float64(now-l.updatedAt) * l.rate()
	l.updatedAt = now
}

func (l *link) add(now int64, kb float64, t transfer) {
	l.advance(now)
	if l.active == 0 { // keeps the numbers small, and so exact
		l.progressKB, l.transfers = 0, l.transfers[:0]
	}
	l.active++
	t.endKB = l.progressKB + kb
	l.transfers = append(l.transfers, t)
	i := len(l.transfers) - 1
	for i > 0 && t.endKB < l.transfers[(i-1)/2].endKB {
		l.transfers[i] = l.transfers[(i-1)/2]
		i = (i - 1) / 2
	}
	l.transfers[i] = t
}

func (l *link) popTransfer() transfer {
	top, n := l.transfers[0], len(l.transfers)-1
	last := l.transfers[n]
	l.transfers = l.transfers[:n]
	i := 0
	for n > 0 {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && l.transfers[c+1].endKB < l.transfers[c].endKB {
			c++
		}
		if l.transfers[c].endKB >= last.endKB {
			break
		}
		l.transfers[i] = l.transfers[c]
		i = c
	}
	if n > 0 {
		l.transfers[i] = last
	}
	return top
}

// nextEnd is when the first transfer ends, as things are; 0: there is none.
func (l *link) nextEnd() int64 {
	if l.active == 0 || len(l.transfers) == 0 {
		return 0
	}
	return l.updatedAt + int64(max(l.transfers[0].endKB-l.progressKB, 0)/l.rate()) + 1
}

// lru holds parts by last use.
type lru struct {
	capacityKB, usedKB      float64 // KB
	index                   map[uint64]int32
	entries                 []cachedChunk
	freeEntries             []int32
	mostRecent, leastRecent int32 // most and least lately used; -1: none
}

type cachedChunk struct {
	key        uint64
	sizeKB     float64
	producedAt int64 // when the head office gave it out
	prev, next int32
}

func newLRU(room float64) *lru {
	return &lru{capacityKB: room, index: map[uint64]int32{}, mostRecent: -1, leastRecent: -1}
}

func (c *lru) unlink(i int32) {
	p := &c.entries[i]
	if p.prev >= 0 {
		c.entries[p.prev].next = p.next
	} else {
		c.mostRecent = p.next
	}
	if p.next >= 0 {
		c.entries[p.next].prev = p.prev
	} else {
		c.leastRecent = p.prev
	}
}

func (c *lru) pushFront(i int32) {
	p := &c.entries[i]
	p.prev, p.next = -1, c.mostRecent
	if c.mostRecent >= 0 {
		c.entries[c.mostRecent].prev = i
	}
	c.mostRecent = i
	if c.leastRecent < 0 {
		c.leastRecent = i
	}
}

// get returns when a held part was made, if it is no older than oldest.
func (c *lru) get(key uint64, oldest int64) (made int64, held bool) {
	i, held := c.index[key]
	if !held || c.entries[i].producedAt < oldest {
		return 0, false
	}
	c.unlink(i)
	c.pushFront(i)
	return c.entries[i].producedAt, true
}

func (c *lru) put(key uint64, kb float64, made int64) {
	if kb > c.capacityKB {
		return
	}
	if i, held := c.index[key]; held {
		c.usedKB += kb - c.entries[i].sizeKB
		c.entries[i].sizeKB, c.entries[i].producedAt = kb, max(made, c.entries[i].producedAt)
		c.unlink(i)
		c.pushFront(i)
	} else {
		var i int32
		if n := len(c.freeEntries); n > 0 {
			i, c.freeEntries = c.freeEntries[n-1], c.freeEntries[:n-1]
		} else {
			i = int32(len(c.entries))
			c.entries = append(c.entries, cachedChunk{})
		}
		c.entries[i] = cachedChunk{key: key, sizeKB: kb, producedAt: made}
		c.index[key] = i
		c.usedKB += kb
		c.pushFront(i)
	}
	for c.usedKB > c.capacityKB {
		i := c.leastRecent
		c.usedKB -= c.entries[i].sizeKB
		delete(c.index, c.entries[i].key)
		c.unlink(i)
		c.freeEntries = append(c.freeEntries, i)
	}
}
