package emulator

// The engine: events in the order of their times, those of one time in the order in which they were made.

type kind uint8

const (
	evArrive  kind = iota // id: depot
	evPart                // id: session
	evFlood               // nothing
	evRouter              // id, gen: request
	evTimer               // id, gen: router; x: token
	evServer              // id, gen: try
	evSource              // id, gen: try
	evFillEnd             // id, gen: try; x: note
	evOutcome             // id, gen: try
	evTimeout             // id, gen: try
	evLink                // id: link
	evOrigin              // id, gen: fetch
	evAnswer              // id, gen: request
	evGiveUp              // id, gen: request
	evAgain               // id: wish
	evList                // id: router, gen; x: change
	evFault               // id: fault; x: step
	evBack                // id: server
	evFront               // id: router; x: 1 seen up, 0 seen down
	evChange              // id, gen: router; x: change
	evWord                // id: router; x: word
	evPurge               // id, gen: router; x: purge
)

type event struct {
	at   int64
	seq  uint64
	x    int64
	id   int32
	gen  uint32
	kind kind
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// queue is a heap with four children a node: fewer levels, and the children lie side by side.
type queue struct {
	heap []event
	seq  uint64
}

func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
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

func (q *queue) pop() event {
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
	cap, pace float64 // KB a microsecond
	knee      float64 // transfers past which capacity falls; 0: never
	had       float64
	at        int64
	n         int
	heap      []transfer
	due       int64 // when an event of this link will come; 0: none
}

// transfer ends when the link has given each KB up to end.
type transfer struct {
	end   float64
	owner int32
	gen   uint32
	stage stage
}

func (l *link) speed() float64 {
	if l.n == 0 {
		return 0
	}
	c := l.cap
	if l.knee > 0 && float64(l.n) > l.knee {
		c /= 1 + 0.5*(float64(l.n)-l.knee)/l.knee
	}
	return min(l.pace, c/float64(l.n))
}

func (l *link) advance(now int64) {
	l.had += float64(now-l.at) * l.speed()
	l.at = now
}

func (l *link) add(now int64, kb float64, t transfer) {
	l.advance(now)
	if l.n == 0 { // keeps the numbers small, and so exact
		l.had, l.heap = 0, l.heap[:0]
	}
	l.n++
	t.end = l.had + kb
	l.heap = append(l.heap, t)
	i := len(l.heap) - 1
	for i > 0 && t.end < l.heap[(i-1)/2].end {
		l.heap[i] = l.heap[(i-1)/2]
		i = (i - 1) / 2
	}
	l.heap[i] = t
}

func (l *link) popTransfer() transfer {
	top, n := l.heap[0], len(l.heap)-1
	last := l.heap[n]
	l.heap = l.heap[:n]
	i := 0
	for n > 0 {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && l.heap[c+1].end < l.heap[c].end {
			c++
		}
		if l.heap[c].end >= last.end {
			break
		}
		l.heap[i] = l.heap[c]
		i = c
	}
	if n > 0 {
		l.heap[i] = last
	}
	return top
}

// next is when the first transfer ends, as things are; 0: there is none.
func (l *link) next() int64 {
	if l.n == 0 || len(l.heap) == 0 {
		return 0
	}
	return l.at + int64(max(l.heap[0].end-l.had, 0)/l.speed()) + 1
}

// lru holds parts by last use.
type lru struct {
	room, held float64 // KB
	index      map[uint64]int32
	list       []part
	free       []int32
	head, tail int32 // most and least lately used; -1: none
}

type part struct {
	key        uint64
	kb         float64
	made       int64 // when the head office gave it out
	prev, next int32
}

func newLRU(room float64) *lru {
	return &lru{room: room, index: map[uint64]int32{}, head: -1, tail: -1}
}

func (c *lru) unlink(i int32) {
	p := &c.list[i]
	if p.prev >= 0 {
		c.list[p.prev].next = p.next
	} else {
		c.head = p.next
	}
	if p.next >= 0 {
		c.list[p.next].prev = p.prev
	} else {
		c.tail = p.prev
	}
}

func (c *lru) front(i int32) {
	p := &c.list[i]
	p.prev, p.next = -1, c.head
	if c.head >= 0 {
		c.list[c.head].prev = i
	}
	c.head = i
	if c.tail < 0 {
		c.tail = i
	}
}

// get returns when a held part was made, if it is no older than oldest.
func (c *lru) get(key uint64, oldest int64) (made int64, held bool) {
	i, held := c.index[key]
	if !held || c.list[i].made < oldest {
		return 0, false
	}
	c.unlink(i)
	c.front(i)
	return c.list[i].made, true
}

func (c *lru) put(key uint64, kb float64, made int64) {
	if kb > c.room {
		return
	}
	if i, held := c.index[key]; held {
		c.held += kb - c.list[i].kb
		c.list[i].kb, c.list[i].made = kb, max(made, c.list[i].made)
		c.unlink(i)
		c.front(i)
	} else {
		var i int32
		if n := len(c.free); n > 0 {
			i, c.free = c.free[n-1], c.free[:n-1]
		} else {
			i = int32(len(c.list))
			c.list = append(c.list, part{})
		}
		c.list[i] = part{key: key, kb: kb, made: made}
		c.index[key] = i
		c.held += kb
		c.front(i)
	}
	for c.held > c.room {
		i := c.tail
		c.held -= c.list[i].kb
		delete(c.index, c.list[i].key)
		c.unlink(i)
		c.free = append(c.free, i)
	}
}
