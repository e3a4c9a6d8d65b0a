package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"spantack/core/fleet"
)

// FleetLimitTrial is a trial of a limit that a tier of routers keeps together: what each of them could use moves about between them, while the network
// between them loses datagrams, falls into parts, and routers die. It stands apart from World: here the way of sharing decides alone, so that ways
// can be compared, and over a number that is borne by one place nothing is learnt from answers.
type FleetLimitTrial struct {
	Routers            int     `json:"routers"`
	Limit              float64 `json:"limit"`
	FloorFraction      float64 `json:"floor"`  // part of it, of the way "fleet"
	Demand             float64 `json:"demand"` // what all could use, in parts of the limit
	DemandSkew         float64 `json:"skew"`   // Zipf exponent of it over the routers
	DemandShiftSeconds float64 `json:"movesS"` // after so long others are the busy ones
	LossRatio          float64 `json:"loss"`   // of datagrams
	WarmUpSeconds      float64 `json:"warmS"`
	DurationSeconds    float64 `json:"dayS"`

	Method                   string  `json:"way,omitempty"`   // "even", "gossip", "keeper" or "fleet"
	Partitions               int     `json:"parts,omitempty"` // that the tier falls into at PartitionSeconds, for PartitionDurationSeconds; 2: one has six in ten of the routers
	PartitionSeconds         float64 `json:"cutS,omitempty"`
	PartitionDurationSeconds float64 `json:"cutForS,omitempty"`
	FailedFraction           float64 `json:"deadPart,omitempty"` // of the routers die at PartitionSeconds, and are back with nothing after PartitionDurationSeconds
}

// Validate reports the first field that can't be used.
func (t *FleetLimitTrial) Validate() error {
	for _, f := range []struct {
		name        string
		value       float64
		least, most float64
	}{{"routers", float64(t.Routers), 1, 2000}, {"limit", t.Limit, 1, 1e6}, {"floor", t.FloorFraction, 0, 1}, {"demand", t.Demand, 0.01, 100}, {"skew", t.DemandSkew, 0, 3},
		{"movesS", t.DemandShiftSeconds, 0.1, 1e6}, {"loss", t.LossRatio, 0, 0.99}, {"warmS", t.WarmUpSeconds, 0, t.DurationSeconds}, {"dayS", t.DurationSeconds, 1, 3600}, {"parts", float64(t.Partitions), 0, 100},
		{"deadPart", t.FailedFraction, 0, 0.99}} {
		if !(f.value >= f.least && f.value <= f.most) {
			return fmt.Errorf("tier.%s: %v is not %v to %v", f.name, f.value, f.least, f.most)
		}
	}
	return nil
}

// FleetLimitResult is what a trial came to after the warm-up.
type FleetLimitResult struct {
	MaxGranted           float64 // most that all might have in use at once, in parts of the limit
	OverLimitSeconds     float64 // seconds in which more than the limit was in use
	Utilization          float64 // of what could have been used within the limit, on average
	PartitionUtilization float64 // while the tier is cut, or some are dead
	BytesPerSecond       float64 // of datagrams, a second and router
	RecoverySeconds      float64 // seconds after the heal until nine tenths of what can be used are, for a second
}

// Times of the trial, and of the ways that are compared in it.
const (
	trialTick      = 100 * millisecond
	maxTrialDelay  = 22 * millisecond // of a datagram, at most
	gossipInterval = 200 * millisecond
	gossipFanout   = 3
	gossipLifetime = 2 * second
	gossipBytes    = 40
	leaseInterval  = 500 * millisecond
	leaseBytes     = 60
)

// fleetDatagram is a datagram under way.
type fleetDatagram struct {
	deliverAt        int64
	sequence         int
	sender, receiver int
	payload          []byte
}

type datagramHeap []fleetDatagram

func (l datagramHeap) Len() int { return len(l) }
func (l datagramHeap) Less(i, j int) bool {
	return l[i].deliverAt < l[j].deliverAt || l[i].deliverAt == l[j].deliverAt && l[i].sequence < l[j].sequence
}
func (l datagramHeap) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *datagramHeap) Push(x any)   { *l = append(*l, x.(fleetDatagram)) }
func (l *datagramHeap) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

type fleetLimitWorld struct {
	FleetLimitTrial
	seed         uint64
	random       *rand.Rand
	now          int64
	sequence     int
	inFlight     datagramHeap
	nodes        []*fleet.Node // of the way "fleet"
	incarnations []uint32
	alive        []bool
	partition    []int
	demandByRank []float64
	demandRank   []int // in the order of demand
	knownDemand  [][]float64
	heardAt      [][]int64
	quotas       []float64
	bytesSent    float64
}

// Run plays the trial. The same seed gives the same result.
func (t *FleetLimitTrial) Run(seed uint64) (*FleetLimitResult, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	w := &fleetLimitWorld{FleetLimitTrial: *t, seed: seed, random: rand.New(rand.NewPCG(seed, 0x71e4)), nodes: make([]*fleet.Node, t.Routers), incarnations: make([]uint32, t.Routers),
		alive: make([]bool, t.Routers), partition: make([]int, t.Routers), demandByRank: make([]float64, t.Routers), demandRank: make([]int, t.Routers), quotas: make([]float64, t.Routers)}
	sum := 0.0
	for i := range w.demandByRank {
		w.demandByRank[i] = math.Pow(float64(i+1), -t.DemandSkew)
		sum += w.demandByRank[i]
		w.demandRank[i] = i
	}
	for i := range w.demandByRank {
		w.demandByRank[i] *= t.Demand * t.Limit / sum
	}
	if t.Method == "gossip" {
		w.knownDemand, w.heardAt = make([][]float64, t.Routers), make([][]int64, t.Routers)
		for i := range w.knownDemand {
			w.knownDemand[i], w.heardAt[i] = make([]float64, t.Routers), make([]int64, t.Routers)
		}
	}
	for i := range w.alive {
		if err := w.start(i); err != nil {
			return nil, err
		}
	}
	return w.run()
}

func (w *fleetLimitWorld) start(i int) error {
	w.alive[i] = true
	w.incarnations[i]++
	if w.Method != "fleet" {
		return nil
	}
	n, err := fleet.New(w.now+second, fleet.Options{Rank: i, FleetSize: w.Routers, Sites: 1, Incarnation: w.incarnations[i], Seed: w.seed,
		Limits: []fleet.Limit{{Name: "trial", Max: w.Limit, FloorFraction: w.FloorFraction}}})
	if err != nil {
		return err
	}
	n.Send = func(to int, b []byte) { w.send(i, to, append([]byte(nil), b...)) }
	w.nodes[i] = n
	return nil
}

// send puts a datagram on its way; what is lost, or to go where it is cut, goes nowhere.
func (w *fleetLimitWorld) send(from, to int, b []byte) {
	w.bytesSent += float64(len(b))
	if w.random.Float64() < w.LossRatio || w.partition[from] != w.partition[to] {
		return
	}
	w.sequence++
	heap.Push(&w.inFlight, fleetDatagram{w.now + millisecond + w.random.Int64N(maxTrialDelay), w.sequence, from, to, b})
}

func (w *fleetLimitWorld) demand(i int) float64 { return w.demandByRank[w.demandRank[i]] }

func (w *fleetLimitWorld) run() (*FleetLimitResult, error) {
	res := &FleetLimitResult{}
	if w.PartitionDurationSeconds > 0 {
		res.RecoverySeconds = w.DurationSeconds // until it is seen
	}
	cut, heal := int64(w.PartitionSeconds*float64(second)), int64((w.PartitionSeconds+w.PartitionDurationSeconds)*float64(second))
	struck, healed := w.PartitionDurationSeconds == 0, w.PartitionDurationSeconds == 0
	moved, counted, cutTicks, since := int64(0), 0.0, 0.0, int64(-1)
	for w.now = 0; w.now < int64(w.DurationSeconds*float64(second)); w.now += trialTick {
		if !struck && w.now >= cut {
			struck = true
			w.injectFault()
		}
		if !healed && w.now >= heal {
			healed = true
			clear(w.partition)
			for i := range w.alive {
				if !w.alive[i] {
					if err := w.start(i); err != nil {
						return nil, err
					}
				}
			}
		}
		if w.now-moved >= int64(w.DemandShiftSeconds*float64(second)) {
			moved = w.now
			w.random.Shuffle(len(w.demandRank), func(a, b int) { w.demandRank[a], w.demandRank[b] = w.demandRank[b], w.demandRank[a] })
		}
		w.updateQuotas()
		might, use, could := 0.0, 0.0, 0.0
		for i, s := range w.quotas {
			if w.alive[i] {
				might += s
				use += min(s, w.demand(i))
				could += w.demand(i)
			}
		}
		could = min(could, w.Limit)
		if w.now < int64(w.WarmUpSeconds*float64(second)) {
			continue
		}
		res.MaxGranted = max(res.MaxGranted, might/w.Limit)
		if use > w.Limit*(1+1e-9) {
			res.OverLimitSeconds += float64(trialTick) / float64(second)
		}
		part := min(use, w.Limit) / could
		res.Utilization += part
		counted++
		if struck && !healed {
			res.PartitionUtilization += part
			cutTicks++
		}
		if healed && w.PartitionDurationSeconds > 0 && res.RecoverySeconds == w.DurationSeconds {
			switch {
			case part < 0.9:
				since = -1
			case since < 0:
				since = w.now
			case w.now-since >= second:
				res.RecoverySeconds = float64(since-heal) / float64(second)
			}
		}
	}
	res.Utilization /= max(counted, 1)
	res.PartitionUtilization /= max(cutTicks, 1)
	res.BytesPerSecond = w.bytesSent / w.DurationSeconds / float64(w.Routers)
	return res, nil
}

// injectFault cuts the tier in parts, or lets some die.
func (w *fleetLimitWorld) injectFault() {
	for i := range w.partition {
		if w.Partitions == 2 {
			w.partition[i] = (i * 5 / w.Routers) / 3 // six in ten, and four
		} else if w.Partitions > 2 {
			w.partition[i] = i % w.Partitions
		}
	}
	for _, i := range w.random.Perm(w.Routers)[:int(w.FailedFraction*float64(w.Routers))] {
		w.alive[i], w.nodes[i] = false, nil
	}
}

// updateQuotas lets time pass up to now for the way in trial, and says what each router may use.
func (w *fleetLimitWorld) updateQuotas() {
	switch w.Method {
	case "even":
		for i := range w.quotas {
			w.quotas[i] = w.Limit / float64(w.Routers)
		}
	case "gossip":
		w.gossipQuotas()
	case "keeper":
		w.leaseQuotas()
	case "fleet":
		for i, n := range w.nodes {
			if n != nil {
				n.SetDemand(0, w.demand(i))
			}
		}
		until := w.now
		for at := w.now - trialTick; at < until; at += trialTick / 2 {
			w.now = at + trialTick/2
			w.deliver()
			for _, n := range w.nodes {
				if n != nil {
					n.Tick(w.now + second)
				}
			}
		}
		w.now = until
		for i, n := range w.nodes {
			if n != nil {
				w.quotas[i] = n.Quota(w.now+second, 0)
			}
		}
	}
}

// deliver hands over what has come by now.
func (w *fleetLimitWorld) deliver() {
	for len(w.inFlight) > 0 && w.inFlight[0].deliverAt <= w.now {
		l := heap.Pop(&w.inFlight).(fleetDatagram)
		if n := w.nodes[l.receiver]; n != nil {
			_ = n.Receive(l.deliverAt+second, l.sender, l.payload) // an old one is one that overtook another
		}
	}
}

// gossipQuotas is distributed rate limiting: each router tells some others its own demand and what it has heard of late, and takes its part
// of all that it knows of (B. Raghavan and others, "Cloud control with distributed rate limiting", 2007).
func (w *fleetLimitWorld) gossipQuotas() {
	for i := range w.quotas {
		if !w.alive[i] {
			clear(w.knownDemand[i])
			clear(w.heardAt[i])
			continue
		}
		w.knownDemand[i][i], w.heardAt[i][i] = w.demand(i), w.now
		if w.now%gossipInterval == 0 {
			for range gossipFanout {
				to := w.random.IntN(w.Routers)
				w.bytesSent += gossipBytes
				if to == i || !w.alive[to] || w.partition[to] != w.partition[i] || w.random.Float64() < w.LossRatio {
					continue
				}
				for k, at := range w.heardAt[i] {
					if at > w.heardAt[to][k] {
						w.heardAt[to][k], w.knownDemand[to][k] = at, w.knownDemand[i][k]
					}
				}
			}
		}
		sum := 0.0
		for k, at := range w.heardAt[i] {
			if at > 0 && w.now-at < gossipLifetime {
				sum += w.knownDemand[i][k]
			}
		}
		w.quotas[i] = w.Limit * w.demand(i) / max(sum, 1e-9)
	}
}

// leaseQuotas is a keeper in each part that lends all of the limit there, by demand, at once: the best that leases without a majority could do.
func (w *fleetLimitWorld) leaseQuotas() {
	if w.now%leaseInterval != 0 {
		return
	}
	sums := map[int]float64{}
	for i := range w.quotas {
		if w.alive[i] {
			sums[w.partition[i]] += w.demand(i)
		}
		w.bytesSent += 2 * leaseBytes
	}
	for i := range w.quotas {
		w.quotas[i] = w.Limit * w.demand(i) / max(sums[w.partition[i]], 1e-9)
	}
}
