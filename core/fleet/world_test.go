package fleet

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"testing"

	"spantack/core/lease"
)

const second = int64(1_000_000)

// world simulates a fleet in virtual time. Its network loses, duplicates and delays datagrams, and can have partitions
// and one-way link failures. Its processes crash, restart and pause, and their clocks run at different rates.
type world struct {
	rng       *rand.Rand
	now       int64
	options   Options
	processes []*process
	events    eventQueue
	sent      int // number of datagrams sent

	loss       float64         // fraction of datagrams that are lost
	late       float64         // fraction of datagrams with an additional delay of up to 3 s
	partition  []int           // by rank; no datagrams pass between different partitions
	oneWay     map[[2]int]bool // pairs of sender and receiver whose datagrams are lost
	extraDelay map[int]int64   // by rank of the receiver: additional delay of datagrams, us
}

type process struct {
	node        *Node
	isRunning   bool
	pausedUntil int64
	clockRate   float64
	clockOffset int64
	starts      uint32
}

// event is the delivery of a datagram or, if datagram is nil, a tick.
type event struct {
	at       int64
	sequence int
	from, to int
	datagram []byte
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newWorld(t testing.TB, seed uint64, routers int, limits ...Limit) *world {
	t.Helper()
	w := &world{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		now:        second,
		options:    Options{FleetSize: routers, Sites: 4, Seed: seed, Limits: limits},
		partition:  make([]int, routers),
		oneWay:     map[[2]int]bool{},
		extraDelay: map[int]int64{},
	}
	for rank := range routers {
		w.processes = append(w.processes, &process{
			clockRate:   1 + (w.rng.Float64()*2-1)*maxClockDrift/2,
			clockOffset: w.rng.Int64N(1000 * second),
		})
		w.start(t, rank)
	}
	return w
}

// localTime returns the current time by the clock of a process.
func (w *world) localTime(rank int) int64 {
	p := w.processes[rank]
	return p.clockOffset + int64(float64(w.now)*p.clockRate)
}

// start starts a process, or restarts one, without state from before.
func (w *world) start(t testing.TB, rank int) {
	t.Helper()
	p := w.processes[rank]
	p.starts++
	options := w.options
	options.Rank = rank
	options.Site = rank % options.Sites
	options.Incarnation = p.starts
	node, err := New(w.localTime(rank), options)
	if err != nil {
		t.Fatal(err)
	}
	node.Send = func(to int, datagram []byte) {
		if len(datagram) > MaxDatagramSize {
			t.Fatalf("a datagram of %d bytes", len(datagram))
		}
		w.send(rank, to, datagram)
	}
	for limit := range options.Limits {
		node.SetDemand(limit, 1e5)
	}
	p.node = node
	p.isRunning = true
	p.pausedUntil = 0
	w.push(w.now, rank, rank, nil)
}

// kill ends a process. It can be restarted with start.
func (w *world) kill(rank int) { w.processes[rank].isRunning = false }

func (w *world) push(at int64, from, to int, datagram []byte) {
	heap.Push(&w.events, event{at, len(w.events) + w.sent<<20, from, to, datagram})
}

func (w *world) send(from, to int, datagram []byte) {
	if to == Broadcast {
		for rank := range w.processes {
			if rank != from {
				w.send(from, rank, datagram)
			}
		}
		return
	}
	w.sent++
	for range 1 + w.rng.IntN(10)/9 { // one in ten is duplicated
		// A partition does not affect datagrams that are already in flight.
		if w.rng.Float64() < w.loss || w.partition[from] != w.partition[to] || w.oneWay[[2]int{from, to}] {
			continue
		}
		delay := 1400 + w.rng.Int64N(22_000)
		if w.late > 0 && w.rng.Float64() < w.late { // some arrive after the state of the fleet has changed
			delay += w.rng.Int64N(3 * second)
		}
		delay += w.extraDelay[to]
		w.push(w.now+delay, from, to, append([]byte(nil), datagram...))
	}
}

// run advances the time to until and calls check, unless it is nil, after each event.
func (w *world) run(until int64, check func()) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.handle(e)
		if check != nil {
			check()
		}
	}
	w.now = until
}

func (w *world) handle(e event) {
	p := w.processes[e.to]
	switch {
	case !p.isRunning:
	case w.now < p.pausedUntil:
		w.push(p.pausedUntil, e.from, e.to, e.datagram)
	case e.datagram == nil:
		next := p.node.Tick(w.localTime(e.to))
		w.push(w.now+max(next-w.localTime(e.to), 1000), e.to, e.to, nil)
	default:
		err := p.node.Receive(w.localTime(e.to), e.from, e.datagram)
		if err != nil && !errors.Is(err, ErrStale) {
			panic(err)
		}
	}
}

// quotas returns the sum of the quotas, for a limit, of the running processes that match, all of them if matches is
// nil.
func (w *world) quotas(limit int, matches func(rank int) bool) (sum float64) {
	for rank, p := range w.processes {
		if p.isRunning && w.now >= p.pausedUntil && (matches == nil || matches(rank)) {
			sum += p.node.Quota(w.localTime(rank), limit)
		}
	}
	return sum
}

// meanQuotas returns the mean of quotas over the next two seconds.
func (w *world) meanQuotas(limit int, matches func(rank int) bool) (mean float64) {
	const samples = 20
	for range samples {
		w.run(w.now+2*second/samples, nil)
		mean += w.quotas(limit, matches) / samples
	}
	return mean
}

// status returns the status of the first limit at a router.
func (w *world) status(rank int) LimitStatus {
	return w.processes[rank].node.LimitStatuses(w.localTime(rank))[0]
}

// holder returns the router that a router considers the holder of the first limit, lease.NoRank if it knows none.
func (w *world) holder(rank int) int { return w.status(rank).Holder }

// liveCount returns the number of routers that a router considers up.
func (w *world) liveCount(rank int) int { return w.processes[rank].node.LiveCount() }

// selfDeclaredHolder returns the highest rank whose own status shows that it holds the first limit, lease.NoRank if
// there is none.
func (w *world) selfDeclaredHolder() int {
	holder := lease.NoRank
	for rank := range w.processes {
		if w.status(rank).IsHolder {
			holder = rank
		}
	}
	return holder
}
