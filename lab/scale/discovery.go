package scale

import (
	"container/heap"
	"slices"

	"spantack/core/backoff"
)

// DefaultSizes of the discovery protocol in bytes (internal/discovery/frames.go). TestFrameSizes holds them against the stand-in of the service.
const (
	frameHeaderSize     = 13 // length, number and kind
	endpointSize        = 27 // of one server
	purgeSize           = 16 // object and time
	watchRequestSize    = 8  // the number that a router asks from
	heartbeatsPerSecond = 1  // frames that say that nothing is new
)

// Times of the discovery test.
const (
	discoveryOutage    = 30 * second  // how long the service, or the part of it that a router uses, is away
	regionsOutage      = 120 * second // how long regions are cut off
	failedDialTime     = 30_000       // us until a try at what is away fails
	recoverySeconds    = 10           // s in which the service is back, and counted
	steadyStateSeconds = 60           // s of the ordinary day
)

// updateBytesPerSecond is what a router hears in bytes each second from the service: an idle frame, and one frame for each change.
func updateBytesPerSecond() float64 {
	return heartbeatsPerSecond*frameHeaderSize + endpointChangesPerSecond*(frameHeaderSize+endpointSize)
}

// snapshotSize is the whole list of servers in one frame.
func snapshotSize(o Options) float64 {
	return float64(frameHeaderSize + endpointSize*(o.scaled(fleetCaches)+o.scaled(fleetZones)))
}

// reconnect is a router's next try.
type reconnect struct {
	at   int64
	rank int
}

type reconnectQueue []reconnect

func (r reconnectQueue) Len() int           { return len(r) }
func (r reconnectQueue) Less(i, j int) bool { return r[i].at < r[j].at }
func (r reconnectQueue) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *reconnectQueue) Push(x any)        { *r = append(*r, x.(reconnect)) }
func (r *reconnectQueue) Pop() any {
	last := len(*r) - 1
	popped := (*r)[last]
	*r = (*r)[:last]
	return popped
}

// simulateReconnects plays core/coldstart for routers that lose the service at one moment: how many tries the service would get in its worst
// second and how many the worst router makes.
func simulateReconnects(siblings int, ranks []int, away int64) (inWorstSecond, ofWorstRouter int) {
	const lost = second
	queue := make(reconnectQueue, 0, len(ranks))
	for _, rank := range ranks {
		queue = append(queue, reconnect{backoff.Schedule{Rank: rank, FleetSize: siblings}.Next(lost, lost, false), rank})
	}
	heap.Init(&queue)
	perSecond := make([]int, away/second+2)
	made := make([]int, siblings)
	for len(queue) > 0 && queue[0].at < lost+away {
		try := &queue[0]
		perSecond[(try.at-lost)/second]++
		made[try.rank]++
		try.at = backoff.Schedule{Rank: try.rank, FleetSize: siblings}.Next(lost, try.at+failedDialTime, true)
		heap.Fix(&queue, 0)
	}
	return slices.Max(perSecond), slices.Max(made)
}

// runDiscovery reckons a router's traffic with the service; what the service bears goes into the figures.
func runDiscovery(o Options) (*Result, error) {
	clock, release := lockThreadCPUClock()
	defer release()
	result := &Result{SimulatedProcesses: o.Routers}
	snapshot := snapshotSize(o)
	all := make([]int, o.Routers)
	for rank := range all {
		all[rank] = rank
	}
	worstTries, longest := 0, 0.0
	phases := []struct {
		trouble Scenario
		ranks   []int
		away    int64
		anew    bool // those come back with nothing, and take the whole list
	}{
		{ColdStart, all, 0, true},
		{SteadyState, nil, 0, false},
		{ProcessLost, all[:o.scaled(FleetRouters/controlPlaneMachines)], discoveryOutage, false},
		{ZoneLost, all[:o.scaled(FleetRouters/fleetZones)], discoveryOutage, true},
		{RegionLost, all[:o.scaled(FleetRouters/fleetRegions)], discoveryOutage, true},
		{RegionsPartitioned, all[o.scaled(FleetRouters/fleetRegions):], regionsOutage, false},
		{MassRestart, all[:o.Routers*7/10], 0, true},
	}
	for i, p := range phases {
		began := clock.now()
		inSecond, ofOne := 0, 0
		if p.away > 0 {
			inSecond, ofOne = simulateReconnects(o.Routers, p.ranks, p.away)
		}
		used := clock.now() - began
		seconds := float64(p.away/second) + recoverySeconds
		if p.trouble == SteadyState {
			seconds = steadyStateSeconds
		}
		updates := updateBytesPerSecond() * seconds
		missed := updateBytesPerSecond() * float64(p.away/second)
		once := 0.0
		if len(p.ranks) > 0 {
			once = watchRequestSize
		}
		if p.anew {
			once += snapshot
			updates -= missed
		}
		ofRouter := updates + once
		part := float64(len(p.ranks)) / float64(o.Routers)
		result.Phases = append(result.Phases, Phase{
			Scenario: p.trouble, Seconds: seconds,
			MeanBytesPerSecond:      (part*ofRouter + (1-part)*updateBytesPerSecond()*seconds) / seconds,
			WorstBytesPerSecond:     ofRouter / seconds,
			PeakBytes:               once + missed + updateBytesPerSecond(),
			WorstDatagramsPerSecond: (float64(ofOne) + heartbeatsPerSecond*seconds + endpointChangesPerSecond*seconds) / seconds,
			CPUPercent:              cpuPercent(used, seconds) / float64(max(len(p.ranks), 1)),
		})
		worstTries = max(worstTries, inSecond)
		longest = max(longest, float64(len(p.ranks))*once)
		o.Progress(i+1, len(phases))
	}
	result.Metrics = []Metric{
		{"tries_in_worst_second", float64(worstTries)},
		{"service_updates_bytes_per_s", updateBytesPerSecond() * float64(o.Routers)},
		{"service_start_bytes", longest},
		{"snapshot_bytes", snapshot},
	}
	return result, nil
}
