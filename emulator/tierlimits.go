package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"spantack/core/fleet"
)

// Tier is a trial of a limit that a tier of routers keeps together: what each of them could use moves about between them, while the network
// between them loses datagrams, falls into parts, and routers die. It stands apart from World: here the way of sharing decides alone, so that ways
// can be compared, and over a number that is borne by one place nothing is learnt from answers.
type Tier struct {
	Routers int     `json:"routers"`
	Limit   float64 `json:"limit"`
	Floor   float64 `json:"floor"`  // part of it, of the way "fleet"
	Demand  float64 `json:"demand"` // what all could use, in parts of the limit
	Skew    float64 `json:"skew"`   // Zipf exponent of it over the routers
	MovesS  float64 `json:"movesS"` // after so long others are the busy ones
	Loss    float64 `json:"loss"`   // of datagrams
	WarmS   float64 `json:"warmS"`
	DayS    float64 `json:"dayS"`

	Way      string  `json:"way,omitempty"`   // "even", "gossip", "keeper" or "fleet"
	Parts    int     `json:"parts,omitempty"` // that the tier falls into at CutS, for CutForS; 2: one has six in ten of the routers
	CutS     float64 `json:"cutS,omitempty"`
	CutForS  float64 `json:"cutForS,omitempty"`
	DeadPart float64 `json:"deadPart,omitempty"` // of the routers die at CutS, and are back with nothing after CutForS
}

// Check reports the first field that can't be used.
func (t *Tier) Check() error {
	for _, f := range []struct {
		name        string
		value       float64
		least, most float64
	}{{"routers", float64(t.Routers), 1, 2000}, {"limit", t.Limit, 1, 1e6}, {"floor", t.Floor, 0, 1}, {"demand", t.Demand, 0.01, 100}, {"skew", t.Skew, 0, 3},
		{"movesS", t.MovesS, 0.1, 1e6}, {"loss", t.Loss, 0, 0.99}, {"warmS", t.WarmS, 0, t.DayS}, {"dayS", t.DayS, 1, 3600}, {"parts", float64(t.Parts), 0, 100},
		{"deadPart", t.DeadPart, 0, 0.99}} {
		if !(f.value >= f.least && f.value <= f.most) {
			return fmt.Errorf("tier.%s: %v is not %v to %v", f.name, f.value, f.least, f.most)
		}
	}
	return nil
}

// TierResult is what a trial came to after the warm-up.
type TierResult struct {
	Over    float64 // most that all might have in use at once, in parts of the limit
	OverS   float64 // seconds in which more than the limit was in use
	Use     float64 // of what could have been used within the limit, on average
	CutUse  float64 // while the tier is cut, or some are dead
	Bytes   float64 // of datagrams, a second and router
	Regains float64 // seconds after the heal until nine tenths of what can be used are, for a second
}

// Times of the trial, and of the ways that are compared in it.
const (
	tierTick    = 100 * ms
	tierWay     = 22 * ms // of a datagram, at most
	gossipEvery = 200 * ms
	gossipTo    = 3
	gossipKept  = 2 * sec
	gossipBytes = 40
	keeperEvery = 500 * ms
	keeperBytes = 60
)

// letter is a datagram under way.
type letter struct {
	at       int64
	seq      int
	from, to int
	bytes    []byte
}

type letters []letter

func (l letters) Len() int { return len(l) }
func (l letters) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].seq < l[j].seq
}
func (l letters) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *letters) Push(x any)   { *l = append(*l, x.(letter)) }
func (l *letters) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

type tierWorld struct {
	Tier
	seed   uint64
	rng    *rand.Rand
	now    int64
	seq    int
	post   letters
	nodes  []*fleet.Node // of the way "fleet"
	starts []uint32
	alive  []bool
	group  []int
	weight []float64
	place  []int // in the order of demand
	known  [][]float64
	heard  [][]int64
	shares []float64
	bytes  float64
}

// Run plays the trial. The same seed gives the same result.
func (t *Tier) Run(seed uint64) (*TierResult, error) {
	if err := t.Check(); err != nil {
		return nil, err
	}
	w := &tierWorld{Tier: *t, seed: seed, rng: rand.New(rand.NewPCG(seed, 0x71e4)), nodes: make([]*fleet.Node, t.Routers), starts: make([]uint32, t.Routers),
		alive: make([]bool, t.Routers), group: make([]int, t.Routers), weight: make([]float64, t.Routers), place: make([]int, t.Routers), shares: make([]float64, t.Routers)}
	sum := 0.0
	for i := range w.weight {
		w.weight[i] = math.Pow(float64(i+1), -t.Skew)
		sum += w.weight[i]
		w.place[i] = i
	}
	for i := range w.weight {
		w.weight[i] *= t.Demand * t.Limit / sum
	}
	if t.Way == "gossip" {
		w.known, w.heard = make([][]float64, t.Routers), make([][]int64, t.Routers)
		for i := range w.known {
			w.known[i], w.heard[i] = make([]float64, t.Routers), make([]int64, t.Routers)
		}
	}
	for i := range w.alive {
		if err := w.start(i); err != nil {
			return nil, err
		}
	}
	return w.run()
}

func (w *tierWorld) start(i int) error {
	w.alive[i] = true
	w.starts[i]++
	if w.Way != "fleet" {
		return nil
	}
	n, err := fleet.New(w.now+sec, fleet.Options{Rank: i, FleetSize: w.Routers, Sites: 1, Incarnation: w.starts[i], Seed: w.seed,
		Limits: []fleet.Limit{{Name: "trial", Max: w.Limit, FloorFraction: w.Floor}}})
	if err != nil {
		return err
	}
	n.Send = func(to int, b []byte) { w.send(i, to, append([]byte(nil), b...)) }
	w.nodes[i] = n
	return nil
}

// send puts a datagram on its way; what is lost, or to go where it is cut, goes nowhere.
func (w *tierWorld) send(from, to int, b []byte) {
	w.bytes += float64(len(b))
	if w.rng.Float64() < w.Loss || w.group[from] != w.group[to] {
		return
	}
	w.seq++
	heap.Push(&w.post, letter{w.now + ms + w.rng.Int64N(tierWay), w.seq, from, to, b})
}

func (w *tierWorld) demand(i int) float64 { return w.weight[w.place[i]] }

func (w *tierWorld) run() (*TierResult, error) {
	res := &TierResult{}
	if w.CutForS > 0 {
		res.Regains = w.DayS // until it is seen
	}
	cut, heal := int64(w.CutS*float64(sec)), int64((w.CutS+w.CutForS)*float64(sec))
	struck, healed := w.CutForS == 0, w.CutForS == 0
	moved, counted, cutTicks, since := int64(0), 0.0, 0.0, int64(-1)
	for w.now = 0; w.now < int64(w.DayS*float64(sec)); w.now += tierTick {
		if !struck && w.now >= cut {
			struck = true
			w.strike()
		}
		if !healed && w.now >= heal {
			healed = true
			clear(w.group)
			for i := range w.alive {
				if !w.alive[i] {
					if err := w.start(i); err != nil {
						return nil, err
					}
				}
			}
		}
		if w.now-moved >= int64(w.MovesS*float64(sec)) {
			moved = w.now
			w.rng.Shuffle(len(w.place), func(a, b int) { w.place[a], w.place[b] = w.place[b], w.place[a] })
		}
		w.share()
		might, use, could := 0.0, 0.0, 0.0
		for i, s := range w.shares {
			if w.alive[i] {
				might += s
				use += min(s, w.demand(i))
				could += w.demand(i)
			}
		}
		could = min(could, w.Limit)
		if w.now < int64(w.WarmS*float64(sec)) {
			continue
		}
		res.Over = max(res.Over, might/w.Limit)
		if use > w.Limit*(1+1e-9) {
			res.OverS += float64(tierTick) / float64(sec)
		}
		part := min(use, w.Limit) / could
		res.Use += part
		counted++
		if struck && !healed {
			res.CutUse += part
			cutTicks++
		}
		if healed && w.CutForS > 0 && res.Regains == w.DayS {
			switch {
			case part < 0.9:
				since = -1
			case since < 0:
				since = w.now
			case w.now-since >= sec:
				res.Regains = float64(since-heal) / float64(sec)
			}
		}
	}
	res.Use /= max(counted, 1)
	res.CutUse /= max(cutTicks, 1)
	res.Bytes = w.bytes / w.DayS / float64(w.Routers)
	return res, nil
}

// strike cuts the tier in parts, or lets some die.
func (w *tierWorld) strike() {
	for i := range w.group {
		if w.Parts == 2 {
			w.group[i] = (i * 5 / w.Routers) / 3 // six in ten, and four
		} else if w.Parts > 2 {
			w.group[i] = i % w.Parts
		}
	}
	for _, i := range w.rng.Perm(w.Routers)[:int(w.DeadPart*float64(w.Routers))] {
		w.alive[i], w.nodes[i] = false, nil
	}
}

// share lets time pass up to now for the way in trial, and says what each router may use.
func (w *tierWorld) share() {
	switch w.Way {
	case "even":
		for i := range w.shares {
			w.shares[i] = w.Limit / float64(w.Routers)
		}
	case "gossip":
		w.gossip()
	case "keeper":
		w.keep()
	case "fleet":
		for i, n := range w.nodes {
			if n != nil {
				n.SetDemand(0, w.demand(i))
			}
		}
		until := w.now
		for at := w.now - tierTick; at < until; at += tierTick / 2 {
			w.now = at + tierTick/2
			w.deliver()
			for _, n := range w.nodes {
				if n != nil {
					n.Tick(w.now + sec)
				}
			}
		}
		w.now = until
		for i, n := range w.nodes {
			if n != nil {
				w.shares[i] = n.Quota(w.now+sec, 0)
			}
		}
	}
}

// deliver hands over what has come by now.
func (w *tierWorld) deliver() {
	for len(w.post) > 0 && w.post[0].at <= w.now {
		l := heap.Pop(&w.post).(letter)
		if n := w.nodes[l.to]; n != nil {
			_ = n.Receive(l.at+sec, l.from, l.bytes) // an old one is one that overtook another
		}
	}
}

// gossip is distributed rate limiting: each router tells some others its own demand and what it has heard of late, and takes its part
// of all that it knows of (B. Raghavan and others, "Cloud control with distributed rate limiting", 2007).
func (w *tierWorld) gossip() {
	for i := range w.shares {
		if !w.alive[i] {
			clear(w.known[i])
			clear(w.heard[i])
			continue
		}
		w.known[i][i], w.heard[i][i] = w.demand(i), w.now
		if w.now%gossipEvery == 0 {
			for range gossipTo {
				to := w.rng.IntN(w.Routers)
				w.bytes += gossipBytes
				if to == i || !w.alive[to] || w.group[to] != w.group[i] || w.rng.Float64() < w.Loss {
					continue
				}
				for k, at := range w.heard[i] {
					if at > w.heard[to][k] {
						w.heard[to][k], w.known[to][k] = at, w.known[i][k]
					}
				}
			}
		}
		sum := 0.0
		for k, at := range w.heard[i] {
			if at > 0 && w.now-at < gossipKept {
				sum += w.known[i][k]
			}
		}
		w.shares[i] = w.Limit * w.demand(i) / max(sum, 1e-9)
	}
}

// keep is a keeper in each part that lends all of the limit there, by demand, at once: the best that leases without a majority could do.
func (w *tierWorld) keep() {
	if w.now%keeperEvery != 0 {
		return
	}
	sums := map[int]float64{}
	for i := range w.shares {
		if w.alive[i] {
			sums[w.group[i]] += w.demand(i)
		}
		w.bytes += 2 * keeperBytes
	}
	for i := range w.shares {
		w.shares[i] = w.Limit * w.demand(i) / max(sums[w.group[i]], 1e-9)
	}
}
