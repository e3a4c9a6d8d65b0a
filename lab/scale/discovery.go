package scale

import (
	"container/heap"
	"slices"

	"spantack/core/backoff"
)

// Sizes of the discovery protocol in bytes. TestFrameSizes compares them with the fake service of standin/discovery.
const (
	frameHeaderSize  = 13 // length, number and kind
	endpointSize     = 27
	purgeSize        = 16 // object and time
	watchRequestSize = 8  // the number of the last event that a router has
)

// heartbeatsPerSecond is the rate of the frames that carry no event.
const heartbeatsPerSecond = 1

// Durations in the discovery test.
const (
	discoveryOutage    = 30 * second  // outage of the service, or of the part of it that a router uses
	regionsOutage      = 120 * second // partition of regions from the service
	failedDialTime     = 30_000       // microseconds until an attempt to connect fails during an outage
	recoverySeconds    = 10           // seconds after an outage that belong to its phase
	steadyStateSeconds = 60
)

// updateBytesPerSecond returns the bytes per second that a router receives from the service in steady state:
// heartbeats, and one frame for each change of an endpoint.
func updateBytesPerSecond() float64 {
	return heartbeatsPerSecond*frameHeaderSize + endpointChangesPerSecond*(frameHeaderSize+endpointSize)
}

// snapshotSize returns the size in bytes of the frame with the whole endpoint list.
func snapshotSize(o Options) float64 {
	return float64(frameHeaderSize + endpointSize*(o.scaled(fleetCaches)+o.scaled(fleetZones)))
}

// reconnect is a router's next attempt to connect.
type reconnect struct {
	at   int64
	rank int
}

// reconnectQueue is a heap of connection attempts, the earliest first.
type reconnectQueue []reconnect

// Len implements heap.Interface.
func (q reconnectQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q reconnectQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap implements heap.Interface.
func (q reconnectQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *reconnectQueue) Push(item any) { *q = append(*q, item.(reconnect)) }

// Pop implements heap.Interface.
func (q *reconnectQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// simulateReconnects runs core/backoff for routers that lose the service at the same moment and cannot connect until
// the end of an outage. It returns the maximum number of attempts of all routers in one second of the outage, and the
// maximum number of attempts of one router during the outage.
func simulateReconnects(fleetSize int, ranks []int, outage int64) (maxPerSecond, maxPerRouter int) {
	const lostAt = second
	next := func(rank int, now int64, isRetry bool) int64 {
		return backoff.Schedule{Rank: rank, FleetSize: fleetSize}.Next(lostAt, now, isRetry)
	}
	queue := make(reconnectQueue, 0, len(ranks))
	for _, rank := range ranks {
		queue = append(queue, reconnect{next(rank, lostAt, false), rank})
	}
	heap.Init(&queue)
	perSecond := make([]int, outage/second+2)
	perRouter := make([]int, fleetSize)
	for len(queue) > 0 && queue[0].at < lostAt+outage {
		attempt := &queue[0]
		perSecond[(attempt.at-lostAt)/second]++
		perRouter[attempt.rank]++
		attempt.at = next(attempt.rank, attempt.at+failedDialTime, true)
		heap.Fix(&queue, 0)
	}
	return slices.Max(perSecond), slices.Max(perRouter)
}

// discoveryPhase is one phase of the discovery test.
type discoveryPhase struct {
	scenario      Scenario
	affected      []int // ranks of the routers that lose the service, or start
	outage        int64 // duration in microseconds
	needsSnapshot bool  // the affected routers have no state and need the whole endpoint list
}

// discoveryPhases returns the phases of the discovery test, in order.
func discoveryPhases(o Options) []discoveryPhase {
	ranks := make([]int, o.Routers)
	for rank := range ranks {
		ranks[rank] = rank
	}
	first := func(count int) []int { return ranks[:o.scaled(count)] }
	const routersPerRegion = FleetRouters / fleetRegions
	return []discoveryPhase{
		{ColdStart, ranks, 0, true},
		{SteadyState, nil, 0, false},
		{ProcessLost, first(FleetRouters / discoveryServiceMachines), discoveryOutage, false},
		{ZoneLost, first(FleetRouters / fleetZones), discoveryOutage, true},
		{RegionLost, first(routersPerRegion), discoveryOutage, true},
		{RegionsPartitioned, ranks[o.scaled(routersPerRegion):], regionsOutage, false},
		{MassRestart, ranks[:o.Routers*7/10], 0, true},
	}
}

// discoveryCost is the cost of a phase of the discovery test.
type discoveryCost struct {
	phase                 Phase
	attemptsInWorstSecond int     // maximum of attempts to connect to the service in one second
	reconnectBytes        float64 // bytes of all affected routers when they reconnect, without missed updates
}

// cost returns the cost of the phase. The worst-case figures are those of an affected router. The mean is over all
// routers.
func (p discoveryPhase) cost(o Options, clock threadCPUClock) discoveryCost {
	startedAt := clock.now()
	maxPerSecond, maxPerRouter := 0, 0
	if p.outage > 0 {
		maxPerSecond, maxPerRouter = simulateReconnects(o.Routers, p.affected, p.outage)
	}
	used := clock.now() - startedAt

	seconds := float64(p.outage/second) + recoverySeconds
	if p.scenario == SteadyState {
		seconds = steadyStateSeconds
	}
	updates := updateBytesPerSecond() * seconds
	missed := updateBytesPerSecond() * float64(p.outage/second)
	onReconnect := 0.0
	if len(p.affected) > 0 {
		onReconnect = watchRequestSize
	}
	if p.needsSnapshot {
		onReconnect += snapshotSize(o)
		updates -= missed
	}
	ofAffected := updates + onReconnect
	affectedFraction := float64(len(p.affected)) / float64(o.Routers)
	ofAll := affectedFraction*ofAffected + (1-affectedFraction)*updateBytesPerSecond()*seconds
	messages := float64(maxPerRouter) + heartbeatsPerSecond*seconds + endpointChangesPerSecond*seconds
	return discoveryCost{
		phase: Phase{
			Scenario:                p.scenario,
			Seconds:                 seconds,
			MeanBytesPerSecond:      ofAll / seconds,
			WorstBytesPerSecond:     ofAffected / seconds,
			PeakBytes:               onReconnect + missed + updateBytesPerSecond(),
			WorstDatagramsPerSecond: messages / seconds,
			CPUPercent:              cpuPercent(used, seconds) / float64(max(len(p.affected), 1)),
		},
		attemptsInWorstSecond: maxPerSecond,
		reconnectBytes:        float64(len(p.affected)) * onReconnect,
	}
}

// runDiscovery calculates a router's traffic with the discovery service. The metrics are the load of the service.
func runDiscovery(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	result := &Result{SimulatedProcesses: o.Routers}
	worstAttempts := 0
	worstReconnectBytes := 0.0
	phases := discoveryPhases(o)
	for i, phase := range phases {
		cost := phase.cost(o, clock)
		result.Phases = append(result.Phases, cost.phase)
		worstAttempts = max(worstAttempts, cost.attemptsInWorstSecond)
		worstReconnectBytes = max(worstReconnectBytes, cost.reconnectBytes)
		o.Progress(i+1, len(phases))
	}
	result.addMetric("tries_in_worst_second", float64(worstAttempts))
	result.addMetric("service_updates_bytes_per_s", updateBytesPerSecond()*float64(o.Routers))
	result.addMetric("service_start_bytes", worstReconnectBytes)
	result.addMetric("snapshot_bytes", snapshotSize(o))
	return result, nil
}
