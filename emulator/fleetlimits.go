package emulator

import (
	"math"
	"math/rand/v2"

	"spantack/core/fleet"
)

// FleetLimitTrial is a trial of a limit that a fleet of routers keeps together. What each of them could use moves
// about between them, while the network between them loses datagrams and falls into partitions, and routers fail. It
// stands apart from World, so that methods of sharing can be compared where they decide alone.
type FleetLimitTrial struct {
	Routers            int     `json:"routers"`
	Limit              float64 `json:"limit"`
	FloorFraction      float64 `json:"floor"`  // of the limit, with MethodFleet
	Demand             float64 `json:"demand"` // what all routers could use, over the limit
	DemandSkew         float64 `json:"skew"`   // Zipf exponent of it over the routers
	DemandShiftSeconds float64 `json:"movesS"` // after which other routers are the busy ones
	LossRatio          float64 `json:"loss"`   // of datagrams
	WarmUpSeconds      float64 `json:"warmS"`  // not counted
	DurationSeconds    float64 `json:"dayS"`   // warm-up included

	Method string `json:"way,omitempty"` // one of the methods below

	// At PartitionSeconds, for PartitionDurationSeconds, the fleet falls into Partitions: of two, one has three fifths of
	// the routers; more are of equal size. FailedFraction of the routers fail then, and come back with nothing when it
	// heals.
	Partitions               int     `json:"parts,omitempty"`
	PartitionSeconds         float64 `json:"cutS,omitempty"`
	PartitionDurationSeconds float64 `json:"cutForS,omitempty"`
	FailedFraction           float64 `json:"deadPart,omitempty"`
}

// Methods of sharing a limit.
const (
	MethodEven   = "even"   // each router has an equal part
	MethodGossip = "gossip" // by demand, as gossip tells it
	MethodLease  = "keeper" // by demand, as a lease holder in each partition grants it at once
	MethodFleet  = "fleet"  // core/fleet
)

// Validate returns an error that names the first field which can't be used, as experiments spell it.
func (t *FleetLimitTrial) Validate() error {
	return checkBounds("tier.", []bounds{
		{"routers", float64(t.Routers), 1, 2000},
		{"limit", t.Limit, 1, 1e6},
		{"floor", t.FloorFraction, 0, 1},
		{"demand", t.Demand, 0.01, 100},
		{"skew", t.DemandSkew, 0, 3},
		{"movesS", t.DemandShiftSeconds, 0.1, 1e6},
		{"loss", t.LossRatio, 0, 0.99},
		{"warmS", t.WarmUpSeconds, 0, t.DurationSeconds},
		{"dayS", t.DurationSeconds, 1, 3600},
		{"parts", float64(t.Partitions), 0, 100},
		{"deadPart", t.FailedFraction, 0, 0.99},
	})
}

// FleetLimitResult is what a trial came to after the warm-up.
type FleetLimitResult struct {
	MaxGranted           float64 // most that all routers might use at once, over the limit
	OverLimitSeconds     float64 // in which more than the limit was in use
	Utilization          float64 // mean of what was used, over what could have been used within the limit
	PartitionUtilization float64 // the same while the fleet is partitioned or some routers have failed
	BytesPerSecond       float64 // of datagrams, for each router
	// RecoverySeconds is how long after the heal the first second began in which the utilization was recoveredUtilization
	// throughout.
	RecoverySeconds float64
}

// Bounds that the result's fields use.
const (
	recoveredUtilization = 0.9
	recoveredFor         = second
	usageTolerance       = 1 + 1e-9 // sums of quotas are not exact
)

// trialTick is how often quotas are computed and counted.
const trialTick = 100 * millisecond

// fleetLimitStream sets the trial's random numbers apart from those of other trials.
const fleetLimitStream = 0x71e4

// fleetLimitWorld is a trial of fleet limits that is being played. Slices are by router.
type fleetLimitWorld struct {
	FleetLimitTrial
	seed   uint64
	random *rand.Rand
	now    int64

	nodes        []*fleet.Node // of MethodFleet; nil: the router has failed
	incarnations []uint32
	alive        []bool
	partition    []int

	demandByRank []float64
	demandRank   []int // of each router in demandByRank
	quotas       []float64

	knownDemand [][]float64 // of MethodGossip: what a router knows of each other
	knownAt     [][]int64   // and as of when; 0: nothing

	inFlight  datagramHeap
	sequence  int
	bytesSent float64

	result FleetLimitResult
}

// Run plays the trial. The same seed gives the same result.
func (t *FleetLimitTrial) Run(seed uint64) (*FleetLimitResult, error) {
	if err := t.Validate(); err != nil {
		return nil, err
	}
	w := &fleetLimitWorld{
		FleetLimitTrial: *t,
		seed:            seed,
		random:          rand.New(rand.NewPCG(seed, fleetLimitStream)),
		nodes:           make([]*fleet.Node, t.Routers),
		incarnations:    make([]uint32, t.Routers),
		alive:           make([]bool, t.Routers),
		partition:       make([]int, t.Routers),
		demandByRank:    make([]float64, t.Routers),
		demandRank:      make([]int, t.Routers),
		quotas:          make([]float64, t.Routers),
	}
	w.layOutDemand()
	if t.Method == MethodGossip {
		w.layOutGossip()
	}
	if err := w.startFailed(); err != nil {
		return nil, err
	}
	if err := w.run(); err != nil {
		return nil, err
	}
	return &w.result, nil
}

// layOutDemand gives each router its demand, by Zipf.
func (w *fleetLimitWorld) layOutDemand() {
	sum := 0.0
	for i := range w.demandByRank {
		w.demandByRank[i] = math.Pow(float64(i+1), -w.DemandSkew)
		sum += w.demandByRank[i]
		w.demandRank[i] = i
	}
	for i := range w.demandByRank {
		w.demandByRank[i] *= w.Demand * w.Limit / sum
	}
}

// demand returns what a router could use now.
func (w *fleetLimitWorld) demand(router int) float64 { return w.demandByRank[w.demandRank[router]] }

// startFailed starts all routers that are not alive.
func (w *fleetLimitWorld) startFailed() error {
	for i := range w.alive {
		if w.alive[i] {
			continue
		}
		if err := w.start(i); err != nil {
			return err
		}
	}
	return nil
}

// start starts a router, which knows nothing.
func (w *fleetLimitWorld) start(router int) error {
	w.alive[router] = true
	w.incarnations[router]++
	if w.Method != MethodFleet {
		return nil
	}
	node, err := fleet.New(w.nodeTime(w.now), fleet.Options{
		Rank:        router,
		FleetSize:   w.Routers,
		Sites:       1,
		Incarnation: w.incarnations[router],
		Seed:        w.seed,
		Limits:      []fleet.Limit{{Name: "trial", Max: w.Limit, FloorFraction: w.FloorFraction}},
	})
	if err != nil {
		return err
	}
	node.Send = func(to int, payload []byte) { w.send(router, to, payload) }
	w.nodes[router] = node
	return nil
}

// fleetPhase is where a trial stands with its partition.
type fleetPhase uint8

const (
	beforePartition fleetPhase = iota
	duringPartition
	afterPartition
)

// run plays the trial to its end, tick by tick.
func (w *fleetLimitWorld) run() error {
	partitionAt := fromSeconds(w.PartitionSeconds)
	healAt := fromSeconds(w.PartitionSeconds + w.PartitionDurationSeconds)
	phase := beforePartition
	if w.PartitionDurationSeconds == 0 {
		phase = afterPartition
	}
	shiftedAt := int64(0)
	usage := fleetUsage{world: w, healAt: healAt, recoveringSince: never}
	if w.PartitionDurationSeconds > 0 {
		w.result.RecoverySeconds = w.DurationSeconds // until it is seen
	}
	for w.now = 0; w.now < fromSeconds(w.DurationSeconds); w.now += trialTick {
		if phase == beforePartition && w.now >= partitionAt {
			phase = duringPartition
			w.injectFault()
		}
		if phase == duringPartition && w.now >= healAt {
			phase = afterPartition
			clear(w.partition)
			if err := w.startFailed(); err != nil {
				return err
			}
		}
		if w.now-shiftedAt >= fromSeconds(w.DemandShiftSeconds) {
			shiftedAt = w.now
			w.shiftDemand()
		}
		w.updateQuotas()
		if w.now >= fromSeconds(w.WarmUpSeconds) {
			usage.count(phase)
		}
	}
	usage.summarize()
	return nil
}

// injectFault partitions the fleet and lets some routers fail.
func (w *fleetLimitWorld) injectFault() {
	for i := range w.partition {
		switch {
		case w.Partitions == 2: // three fifths, and two
			w.partition[i] = (i * 5 / w.Routers) / 3
		case w.Partitions > 2:
			w.partition[i] = i % w.Partitions
		}
	}
	failed := int(w.FailedFraction * float64(w.Routers))
	for _, i := range w.random.Perm(w.Routers)[:failed] {
		w.alive[i] = false
		w.nodes[i] = nil
	}
}

// shiftDemand makes other routers the busy ones.
func (w *fleetLimitWorld) shiftDemand() {
	w.random.Shuffle(len(w.demandRank), func(a, b int) {
		w.demandRank[a], w.demandRank[b] = w.demandRank[b], w.demandRank[a]
	})
}

// fleetUsage counts what a trial's routers use.
type fleetUsage struct {
	world           *fleetLimitWorld
	ticks           float64
	partitionTicks  float64
	healAt          int64
	recoveringSince int64 // never: the utilization is too low
}

// count counts one tick.
func (u *fleetUsage) count(phase fleetPhase) {
	w, result := u.world, &u.world.result
	granted, used, usable := 0.0, 0.0, 0.0
	for i, quota := range w.quotas {
		if w.alive[i] {
			granted += quota
			used += min(quota, w.demand(i))
			usable += w.demand(i)
		}
	}
	usable = min(usable, w.Limit)
	result.MaxGranted = max(result.MaxGranted, granted/w.Limit)
	if used > w.Limit*usageTolerance {
		result.OverLimitSeconds += toSeconds(trialTick)
	}
	utilization := min(used, w.Limit) / usable
	result.Utilization += utilization
	u.ticks++
	if phase == duringPartition {
		result.PartitionUtilization += utilization
		u.partitionTicks++
	}
	isRecovering := w.PartitionDurationSeconds > 0 && result.RecoverySeconds == w.DurationSeconds
	if phase == afterPartition && isRecovering {
		u.countRecovery(utilization)
	}
}

// countRecovery sets RecoverySeconds once the utilization has been high for recoveredFor.
func (u *fleetUsage) countRecovery(utilization float64) {
	now := u.world.now
	switch {
	case utilization < recoveredUtilization:
		u.recoveringSince = never
	case u.recoveringSince == never:
		u.recoveringSince = now
	case now-u.recoveringSince >= recoveredFor:
		u.world.result.RecoverySeconds = toSeconds(u.recoveringSince - u.healAt)
	}
}

// summarize turns sums into means.
func (u *fleetUsage) summarize() {
	w, result := u.world, &u.world.result
	result.Utilization /= max(u.ticks, 1)
	result.PartitionUtilization /= max(u.partitionTicks, 1)
	result.BytesPerSecond = w.bytesSent / w.DurationSeconds / float64(w.Routers)
}
