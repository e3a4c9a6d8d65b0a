package lease

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

const second = int64(1_000_000)

// world is a fleet in virtual time: a network that loses, doubles and delays, cuts by parts and one-way, and processes that crash, come back, stand still, and
// whose clocks run apart.
type world struct {
	t         testing.TB
	rng       *rand.Rand
	now       int64
	opt       Options
	processes []*process
	events    eventQueue
	sequence  int
	loss      float64
	late      float64 // part of the messages that come up to 3 s late
	part      []int   // routers of different parts do not hear one another
	oneWay    map[[2]int]bool
	confused  float64 // part of the answers on who is up that are wrong
}

type process struct {
	node    *Node
	running bool
	still   int64 // until when it stands still
	rate    float64
	offset  int64
	starts  uint32
	traffic int // messages sent and received
}

// event is a message on its way, or with none a tick.
type event struct {
	at, sequence int64
	from, to     int
	starts       uint32
	message      *Message
}

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
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: second, opt: Options{Seed: seed, Topology: topology, Limit: limit},
		part: make([]int, topology.Routers), oneWay: map[[2]int]bool{}}
	for rank := range topology.Routers {
		w.processes = append(w.processes, &process{rate: 1 + (w.rng.Float64()*2-1)*maxClockDrift/2, offset: w.rng.Int64N(1000 * second)})
		w.start(rank)
	}
	return w
}

// local is a time by a process's own clock.
func (w *world) local(rank int) int64 {
	p := w.processes[rank]
	return p.offset + int64(float64(w.now)*p.rate)
}

// start starts a process anew, with nothing.
func (w *world) start(rank int) {
	w.t.Helper()
	p := w.processes[rank]
	p.starts++
	opt := w.opt
	opt.Rank, opt.Incarnation = rank, p.starts
	node, err := New(w.local(rank), opt)
	if err != nil {
		w.t.Fatal(err)
	}
	node.Send = func(to int, m Message) { w.send(rank, to, m) }
	node.IsUp = func(other int) bool {
		up := w.processes[other].running && w.part[other] == w.part[rank]
		return up != (w.confused > 0 && w.rng.Float64() < w.confused)
	}
	node.SetDemand(1e5)
	p.node, p.running, p.still = node, true, 0
	w.push(event{at: w.now, from: rank, to: rank, starts: p.starts})
}

func (w *world) kill(rank int) { w.processes[rank].running = false }

func (w *world) push(e event) {
	w.sequence++
	e.sequence = int64(w.sequence)
	heap.Push(&w.events, e)
}

func (w *world) send(from, to int, m Message) {
	w.processes[from].traffic++
	for range 1 + w.rng.IntN(10)/9 { // one in ten is doubled
		if w.rng.Float64() < w.loss || w.part[from] != w.part[to] || w.oneWay[[2]int{from, to}] {
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
		p := w.processes[e.to]
		switch {
		case !p.running || e.message == nil && e.starts != p.starts:
		case w.now < p.still:
			e.at = p.still
			w.push(e)
		case e.message == nil:
			next := p.node.Tick(w.local(e.to))
			e.at = w.now + max(next-w.local(e.to), 1000)
			w.push(e)
		default:
			p.traffic++
			p.node.Receive(w.local(e.to), e.from, *e.message)
		}
		if check != nil {
			check()
		}
	}
	w.now = until
}

// shares sums up what all that run may have in use, of those that match.
func (w *world) shares(match func(rank int) bool) (sum float64) {
	for rank, p := range w.processes {
		if p.running && w.now >= p.still && (match == nil || match(rank)) {
			sum += p.node.Quota(w.local(rank))
		}
	}
	return sum
}

// mean is the mean of shares over the ten seconds that follow.
func (w *world) mean(match func(rank int) bool) (sum float64) {
	const looks = 40
	for range looks {
		w.run(w.now+10*second/looks, nil)
		sum += w.shares(match) / looks
	}
	return sum
}

// holders lists the ranks that hold a level's group at present.
func (w *world) holders(level int) (ranks []int) {
	for rank, p := range w.processes {
		if !p.running {
			continue
		}
		for _, held := range p.node.HeldLevels(w.local(rank)) {
			if held == level {
				ranks = append(ranks, rank)
			}
		}
	}
	return ranks
}
