package scale

import (
	"container/heap"
	"slices"

	"spantack/core/backoff"
)

// Sizes of the discovery protocol in bytes (internal/discovery/frames.go). TestFrameSizes holds them against the stand-in of the service.
const (
	frameSize     = 13 // length, number and kind
	recordSize    = 27 // of one server
	purgeSize     = 16 // object and time
	requestSize   = 8  // the number that a router asks from
	idlePerSecond = 1  // frames that say that nothing is new
)

// Times of the discovery test.
const (
	discoveryAway = 30 * second  // how long the service, or the part of it that a router uses, is away
	regionsAway   = 120 * second // how long regions are cut off
	tryTakes      = 30_000       // us until a try at what is away fails
	recovery      = 10           // s in which the service is back, and counted
	dayCounted    = 60           // s of the ordinary day
)

// updatesPerSecond is what a router hears in bytes each second from the service: an idle frame, and one frame for each change.
func updatesPerSecond() float64 {
	return idlePerSecond*frameSize + changesPerSecond*(frameSize+recordSize)
}

// snapshotSize is the whole list of servers in one frame.
func snapshotSize(o Options) float64 {
	return float64(frameSize + recordSize*(o.scaled(fleetCaches)+o.scaled(fleetZones)))
}

// retry is a router's next try.
type retry struct {
	at   int64
	rank int
}

type retries []retry

func (r retries) Len() int           { return len(r) }
func (r retries) Less(i, j int) bool { return r[i].at < r[j].at }
func (r retries) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *retries) Push(x any)        { *r = append(*r, x.(retry)) }
func (r *retries) Pop() any {
	last := len(*r) - 1
	popped := (*r)[last]
	*r = (*r)[:last]
	return popped
}

// triesWhileAway plays core/coldstart for routers that lose the service at one moment: how many tries the service would get in its worst
// second and how many the worst router makes.
func triesWhileAway(siblings int, ranks []int, away int64) (inWorstSecond, ofWorstRouter int) {
	const lost = second
	queue := make(retries, 0, len(ranks))
	for _, rank := range ranks {
		queue = append(queue, retry{backoff.Schedule{Rank: rank, FleetSize: siblings}.Next(lost, lost, false), rank})
	}
	heap.Init(&queue)
	perSecond := make([]int, away/second+2)
	made := make([]int, siblings)
	for len(queue) > 0 && queue[0].at < lost+away {
		try := &queue[0]
		perSecond[(try.at-lost)/second]++
		made[try.rank]++
		try.at = backoff.Schedule{Rank: try.rank, FleetSize: siblings}.Next(lost, try.at+tryTakes, true)
		heap.Fix(&queue, 0)
	}
	return slices.Max(perSecond), slices.Max(made)
}

// runDiscovery reckons a router's traffic with the service; what the service bears goes into the figures.
func runDiscovery(o Options) (*Result, error) {
	clock, release := lockClock()
	defer release()
	result := &Result{Simulated: o.Routers}
	snapshot := snapshotSize(o)
	all := make([]int, o.Routers)
	for rank := range all {
		all[rank] = rank
	}
	worstTries, longest := 0, 0.0
	phases := []struct {
		trouble Trouble
		ranks   []int
		away    int64
		anew    bool // those come back with nothing, and take the whole list
	}{
		{ColdStart, all, 0, true},
		{OrdinaryDay, nil, 0, false},
		{ProcessLost, all[:o.scaled(FleetRouters/controlMachines)], discoveryAway, false},
		{ZoneLost, all[:o.scaled(FleetRouters/fleetZones)], discoveryAway, true},
		{RegionLost, all[:o.scaled(FleetRouters/fleetRegions)], discoveryAway, true},
		{RegionsCut, all[o.scaled(FleetRouters/fleetRegions):], regionsAway, false},
		{Restarted, all[:o.Routers*7/10], 0, true},
	}
	for i, p := range phases {
		began := clock.now()
		inSecond, ofOne := 0, 0
		if p.away > 0 {
			inSecond, ofOne = triesWhileAway(o.Routers, p.ranks, p.away)
		}
		used := clock.now() - began
		seconds := float64(p.away/second) + recovery
		if p.trouble == OrdinaryDay {
			seconds = dayCounted
		}
		updates := updatesPerSecond() * seconds
		missed := updatesPerSecond() * float64(p.away/second)
		once := 0.0
		if len(p.ranks) > 0 {
			once = requestSize
		}
		if p.anew {
			once += snapshot
			updates -= missed
		}
		ofRouter := updates + once
		part := float64(len(p.ranks)) / float64(o.Routers)
		result.Phases = append(result.Phases, Phase{
			Trouble: p.trouble, Seconds: seconds,
			MeanBytesPerSecond:      (part*ofRouter + (1-part)*updatesPerSecond()*seconds) / seconds,
			WorstBytesPerSecond:     ofRouter / seconds,
			PeakBytes:               once + missed + updatesPerSecond(),
			WorstDatagramsPerSecond: (float64(ofOne) + idlePerSecond*seconds + changesPerSecond*seconds) / seconds,
			CPUPercent:              percent(used, seconds) / float64(max(len(p.ranks), 1)),
		})
		worstTries = max(worstTries, inSecond)
		longest = max(longest, float64(len(p.ranks))*once)
		o.Progress(i+1, len(phases))
	}
	result.Figures = []Figure{
		{"tries_in_worst_second", float64(worstTries)},
		{"service_updates_bytes_per_s", updatesPerSecond() * float64(o.Routers)},
		{"service_start_bytes", longest},
		{"snapshot_bytes", snapshot},
	}
	return result, nil
}
