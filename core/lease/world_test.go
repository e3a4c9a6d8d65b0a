package lease

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

const second = int64(1_000_000)

// world is a fleet in virtual time: a network that loses, doubles and delays messages and is cut in partitions and
// one-way, and processes that crash, restart, pause, and whose clocks run at rates of their own.
type world struct {
	t         testing.TB
	rng       *rand.Rand
	now       int64
	options   Options
	processes []*process
	events    eventQueue
	sequence  int // of the latest event

	loss        float64 // part of the messages that are lost
	late        float64 // part of the messages that come up to 3 s late
	partition   []int   // by rank; routers of different partitions do not receive one another's messages
	oneWay      map[[2]int]bool
	wrongStates float64 // part of the answers on who is up that are wrong
}

type process struct {
	node        *Node
	isRunning   bool
	pausedUntil int64
	clockRate   float64
	clockOffset int64
	starts      uint32
	traffic     int // messages sent and received
}

// event is a message on its way or, without one, a tick.
type event struct {
	at, sequence int64
	from, to     int
	starts       uint32 // of the process that a tick is for
	message      *Message
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

func newWorld(t testing.TB, seed uint64, topology Topology, limit Limit) *world {
	t.Helper()
	w := &world{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 3)),
		now:       second,
		options:   Options{Seed: seed, Topology: topology, Limit: limit},
		partition: make([]int, topology.Routers),
		oneWay:    map[[2]int]bool{},
	}
	for rank := range topology.Routers {
		w.processes = append(w.processes, &process{
			clockRate:   1 + (w.rng.Float64()*2-1)*maxClockDrift/2,
			clockOffset: w.rng.Int64N(1000 * second),
		})
		w.start(rank)
	}
	return w
}

// localTime is the present time by a process's own clock.
func (w *world) localTime(rank int) int64 {
	p := w.processes[rank]
	return p.clockOffset + int64(float64(w.now)*p.clockRate)
}

// start starts a process anew, with no state.
func (w *world) start(rank int) {
	w.t.Helper()
	p := w.processes[rank]
	p.starts++
	options := w.options
	options.Rank = rank
	options.Incarnation = p.starts
	node, err := New(w.localTime(rank), options)
	if err != nil {
		w.t.Fatal(err)
	}
	node.Send = func(to int, m Message) { w.send(rank, to, m) }
	node.IsUp = func(other int) bool {
		isUp := w.processes[other].isRunning && w.partition[other] == w.partition[rank]
		return isUp != (w.wrongStates > 0 && w.rng.Float64() < w.wrongStates)
	}
	node.SetDemand(1e5)
	p.node = node
	p.isRunning = true
	p.pausedUntil = 0
	w.push(event{at: w.now, from: rank, to: rank, starts: p.starts})
}

// kill ends a process; start starts it again.
func (w *world) kill(rank int) { w.processes[rank].isRunning = false }

func (w *world) push(e event) {
	w.sequence++
	e.sequence = int64(w.sequence)
	heap.Push(&w.events, e)
}

func (w *world) send(from, to int, m Message) {
	w.processes[from].traffic++
	for range 1 + w.rng.IntN(10)/9 { // one in ten is doubled
		if w.rng.Float64() < w.loss || w.partition[from] != w.partition[to] || w.oneWay[[2]int{from, to}] {
			continue
		}
		delay := 1400 + w.rng.Int64N(22_000)
		if w.late > 0 && w.rng.Float64() < w.late {
			delay += w.rng.Int64N(3 * second)
		}
		w.push(event{at: w.now + delay, from: from, to: to, message: &m})
	}
}

// run lets time pass until a moment; check is called after each event.
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
	case !p.isRunning || e.message == nil && e.starts != p.starts:
	case w.now < p.pausedUntil:
		e.at = p.pausedUntil
		w.push(e)
	case e.message == nil:
		next := p.node.Tick(w.localTime(e.to))
		e.at = w.now + max(next-w.localTime(e.to), 1000)
		w.push(e)
	default:
		p.traffic++
		p.node.Receive(w.localTime(e.to), e.from, *e.message)
	}
}

// quotas sums up what all that run may have in use, of those that match.
func (w *world) quotas(matches func(rank int) bool) (sum float64) {
	for rank, p := range w.processes {
		if p.isRunning && w.now >= p.pausedUntil && (matches == nil || matches(rank)) {
			sum += p.node.Quota(w.localTime(rank))
		}
	}
	return sum
}

// meanQuotas is the mean of quotas over the ten seconds that follow.
func (w *world) meanQuotas(matches func(rank int) bool) (mean float64) {
	const samples = 40
	for range samples {
		w.run(w.now+10*second/samples, nil)
		mean += w.quotas(matches) / samples
	}
	return mean
}

// holders lists the ranks that hold a level's group at present.
func (w *world) holders(level int) (ranks []int) {
	for rank, p := range w.processes {
		if !p.isRunning {
			continue
		}
		for _, held := range p.node.HeldLevels(w.localTime(rank)) {
			if held == level {
				ranks = append(ranks, rank)
			}
		}
	}
	return ranks
}
