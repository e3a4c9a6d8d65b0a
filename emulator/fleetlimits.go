package emulator

import (
	"math"
	"math/rand/v2"

	"spantack/core/fleet"
)

// FleetLimitTrial is a trial of a limit that a fleet of routers shares. The demand shifts between the routers, the
// network between them loses datagrams and is partitioned, and routers fail. The trial does not use World. This keeps
// other influences out of the comparison of the sharing methods.
type FleetLimitTrial struct {
	Routers            int     `json:"routers"`
	Limit              float64 `json:"limit"`
	FloorFraction      float64 `json:"floor"`  // fraction of Limit split evenly without leases, with MethodFleet
	Demand             float64 `json:"demand"` // total demand of all routers, as a multiple of Limit
	DemandSkew         float64 `json:"skew"`   // Zipf exponent of the demand by router
	DemandShiftSeconds float64 `json:"movesS"` // interval at which the demands are reassigned among the routers
	LossRatio          float64 `json:"loss"`   // fraction of datagrams that are lost
	WarmUpSeconds      float64 `json:"warmS"`  // duration of the warm-up, which is not counted
	DurationSeconds    float64 `json:"dayS"`   // duration of the trial, warm-up included

	Method string `json:"way,omitempty"` // one of the methods below

	// The partition starts at PartitionSeconds and lasts PartitionDurationSeconds. It splits the network into
	// Partitions parts. If there are two parts, one has three fifths of the routers. If there are more, they are of
	// equal size. When the partition starts, FailedFraction of the routers fail. When it ends, they restart without
	// state.
	Partitions               int     `json:"parts,omitempty"`
	PartitionSeconds         float64 `json:"cutS,omitempty"`
	PartitionDurationSeconds float64 `json:"cutForS,omitempty"`
	FailedFraction           float64 `json:"deadPart,omitempty"`
}

// Methods of sharing a limit among routers.
const (
	MethodEven   = "even"   // equal quotas
	MethodGossip = "gossip" // quotas by demand, as known from gossip
	MethodLease  = "keeper" // quotas by demand, from a lease holder without network delay (one per partition)
	MethodFleet  = "fleet"  // quotas granted by core/fleet
)

// Validate returns an error for the first field that is out of range. The error contains the field's name in experiment
// files.
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

// FleetLimitResult is the result of a trial, measured after the warm-up.
type FleetLimitResult struct {
	MaxGranted       float64 // maximum sum of the quotas, as a multiple of Limit
	OverLimitSeconds float64 // time in which the usage was above Limit
	// Utilization is the mean over time of a ratio: the usage, capped at Limit, divided by the demand of the running
	// routers, also capped at Limit.
	Utilization          float64
	PartitionUtilization float64 // Utilization between the start and the end of the partition
	BytesPerSecond       float64 // bytes of datagrams sent, per router
	// RecoverySeconds is the time from the end of the partition until the utilization is high again. It ends at the
	// start of the first period of length recoveredFor in which the utilization is always at least
	// recoveredUtilization. RecoverySeconds is DurationSeconds if there is no such period, and 0 without a partition.
	RecoverySeconds float64
}

// Thresholds from which the result is computed.
const (
	recoveredUtilization = 0.9
	recoveredFor         = second
	usageTolerance       = 1 + 1e-9 // sums of quotas have rounding errors
)

// trialTick is the interval at which quotas are computed and counted.
const trialTick = 100 * millisecond

// fleetLimitStream selects a random number stream that no other trial uses.
const fleetLimitStream = 0x71e4

// fleetLimitWorld is the state of a running FleetLimitTrial. Slices are indexed by router unless noted otherwise.
type fleetLimitWorld struct {
	FleetLimitTrial
	seed   uint64
	random *rand.Rand
	now    int64

	nodes        []*fleet.Node // nodes of MethodFleet; nil: the router has failed, or another method is used
	incarnations []uint32
	alive        []bool
	partition    []int

	demandByRank []float64
	demandRank   []int // index of each router in demandByRank
	quotas       []float64

	knownDemand [][]float64 // for MethodGossip; [i][j]: demand of router j as router i knows it
	knownAt     [][]int64   // time of each knownDemand; 0: unknown

	inFlight  datagramHeap
	sequence  int
	bytesSent float64

	result FleetLimitResult
}

// Run executes the trial. The same seed gives the same result.
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
	w.initDemand()
	if t.Method == MethodGossip {
		w.initGossip()
	}
	if err := w.startStoppedRouters(); err != nil {
		return nil, err
	}
	if err := w.run(); err != nil {
		return nil, err
	}
	return &w.result, nil
}

// initDemand sets the initial demand of each router, which follows a Zipf distribution.
func (w *fleetLimitWorld) initDemand() {
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

// demand returns the current demand of a router.
func (w *fleetLimitWorld) demand(router int) float64 { return w.demandByRank[w.demandRank[router]] }

// startStoppedRouters starts all routers that are not alive: initially all of them, later those that failed.
func (w *fleetLimitWorld) startStoppedRouters() error {
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

// start starts a router. It has no state from before a failure.
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

// fleetPhase is the phase of a trial relative to its partition.
type fleetPhase uint8

const (
	beforePartition fleetPhase = iota
	duringPartition
	afterPartition
)

// run executes the trial to its end in steps of trialTick.
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
		w.result.RecoverySeconds = w.DurationSeconds // stays so unless a recovery is detected
	}
	for w.now = 0; w.now < fromSeconds(w.DurationSeconds); w.now += trialTick {
		if phase == beforePartition && w.now >= partitionAt {
			phase = duringPartition
			w.injectFault()
		}
		if phase == duringPartition && w.now >= healAt {
			phase = afterPartition
			clear(w.partition)
			if err := w.startStoppedRouters(); err != nil {
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

// injectFault partitions the network and stops FailedFraction of the routers.
func (w *fleetLimitWorld) injectFault() {
	for i := range w.partition {
		switch {
		case w.Partitions == 2: // three fifths and two fifths
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

// shiftDemand reassigns the demands to the routers at random.
func (w *fleetLimitWorld) shiftDemand() {
	w.random.Shuffle(len(w.demandRank), func(a, b int) {
		w.demandRank[a], w.demandRank[b] = w.demandRank[b], w.demandRank[a]
	})
}

// fleetUsage measures the usage of a trial's routers.
type fleetUsage struct {
	world           *fleetLimitWorld
	ticks           float64
	partitionTicks  float64
	healAt          int64
	recoveringSince int64 // start of the current period with at least recoveredUtilization; never: not in such a period
}

// count adds the quotas and the usage of one tick to the result.
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
	// RecoverySeconds is DurationSeconds until the recovery is detected.
	isRecoveryPending := w.PartitionDurationSeconds > 0 && result.RecoverySeconds == w.DurationSeconds
	if phase == afterPartition && isRecoveryPending {
		u.countRecovery(utilization)
	}
}

// countRecovery sets RecoverySeconds when the utilization has been at least recoveredUtilization for recoveredFor.
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

// summarize converts the sums in the result to means.
func (u *fleetUsage) summarize() {
	w, result := u.world, &u.world.result
	result.Utilization /= max(u.ticks, 1)
	result.PartitionUtilization /= max(u.partitionTicks, 1)
	result.BytesPerSecond = w.bytesSent / w.DurationSeconds / float64(w.Routers)
}
