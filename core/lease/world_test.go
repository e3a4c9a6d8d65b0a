package lease

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

const second = int64(1_000_000)

// world simulates a fleet in virtual time. Its network loses, duplicates and delays messages, and can have partitions
// and one-way link failures. Its processes crash, restart and pause, and their clocks run at different rates.
type world struct {
	t         testing.TB
	rng       *rand.Rand
	now       int64
	options   Options
	processes []*process
	events    eventQueue
	sequence  int // number of the latest event

	loss        float64         // fraction of messages that are lost
	late        float64         // fraction of messages with an additional delay of up to 3 s
	partition   []int           // by rank; no messages pass between different partitions
	oneWay      map[[2]int]bool // pairs of sender and receiver whose messages are lost
	wrongStates float64         // fraction of calls of IsUp that return a wrong value
}

type process struct {
	node        *Node
	isRunning   bool
	pausedUntil int64
	clockRate   float64
	clockOffset int64
	starts      uint32
	traffic     int // number of messages sent and received
}

// event is the delivery of a message or, if message is nil, a tick.
type event struct {
	at, sequence int64
	from, to     int
	starts       uint32 // value of process.starts for which a tick is valid
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

// localTime returns the current time by the clock of a process.
func (w *world) localTime(rank int) int64 {
	p := w.processes[rank]
	return p.clockOffset + int64(float64(w.now)*p.clockRate)
}

// start starts a process, or restarts one, without state from before.
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

// kill ends a process. It can be restarted with start.
func (w *world) kill(rank int) { w.processes[rank].isRunning = false }

func (w *world) push(e event) {
	w.sequence++
	e.sequence = int64(w.sequence)
	heap.Push(&w.events, e)
}

func (w *world) send(from, to int, m Message) {
	w.processes[from].traffic++
	for range 1 + w.rng.IntN(10)/9 { // one in ten is duplicated
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

// run handles all events up to the given time and then sets the time to it. If check is not nil, it is called after
// each event.
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

// quotas returns the sum of the quotas of the running processes for which matches returns true. If matches is nil, it
// returns the sum for all running processes.
func (w *world) quotas(matches func(rank int) bool) (sum float64) {
	for rank, p := range w.processes {
		if p.isRunning && w.now >= p.pausedUntil && (matches == nil || matches(rank)) {
			sum += p.node.Quota(w.localTime(rank))
		}
	}
	return sum
}

// meanQuotas returns the mean of quotas over the next ten seconds.
func (w *world) meanQuotas(matches func(rank int) bool) (mean float64) {
	const samples = 40
	for range samples {
		w.run(w.now+10*second/samples, nil)
		mean += w.quotas(matches) / samples
	}
	return mean
}

// holders returns the ranks that hold a group of a level at present.
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
