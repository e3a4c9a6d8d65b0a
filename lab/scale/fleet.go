package scale

// FleetRouters is the number of request routers of the operators' fleet. Fleets of other sizes have the same
// proportions.
const FleetRouters = 11_000

// The operators' fleet.
const (
	fleetSites   = 890
	fleetCaches  = 1_700
	fleetRegions = 29
	fleetZones   = 92

	controlPlaneMachines = 49 // of the discovery service

	secondsPerDay            = 24 * 60 * 60
	purgesPerSecond          = 240
	endpointChangesPerSecond = 18_000.0 / secondsPerDay
	requestsPerSecond        = 7_900_000.0 / FleetRouters // of one router at the peak
)

// DefaultSizes are the numbers of routers that a test is run at when none is named.
var DefaultSizes = []int{300, 1_000, 3_000, FleetRouters}

// Budget is what one request router may spend for control.
type Budget struct {
	BytesPerSecond float64
	CPUPercent     float64 // of one core
	MemoryKB       float64
}

// RouterBudget is the operators' bound: 12 KB a second, 4.4% of a core, 128 MB.
var RouterBudget = Budget{BytesPerSecond: 12_000, CPUPercent: 4.4, MemoryKB: 128 * 1024}

// scaled returns what corresponds, in a fleet of this size, to a number of the operators' fleet: 1 at least.
func (o Options) scaled(count int) int {
	return max((count*o.Routers+FleetRouters/2)/FleetRouters, 1)
}

// regionOf returns the region of one of count routers or processes, which all regions have equally many of.
func regionOf(index, count int) int { return index * fleetRegions / count }

// zoneOf is regionOf for zones.
func zoneOf(index, count int) int { return index * fleetZones / count }
