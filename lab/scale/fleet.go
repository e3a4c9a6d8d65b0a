package scale

// FleetRouters is the number of request routers of the operators' fleet. Fleets of other sizes are scaled from it.
const FleetRouters = 11_000

// Sizes and rates of the operators' fleet.
const (
	fleetSites   = 890
	fleetCaches  = 1_700
	fleetRegions = 29
	fleetZones   = 92

	discoveryServiceMachines = 49

	secondsPerDay            = 24 * 60 * 60
	purgesPerSecond          = 240                        // for the whole fleet
	endpointChangesPerSecond = 18_000.0 / secondsPerDay   // for the whole fleet
	peakRequestsPerSecond    = 7_900_000.0 / FleetRouters // for one router
)

// DefaultSizes are the numbers of routers that a test runs with by default.
var DefaultSizes = []int{300, 1_000, 3_000, FleetRouters}

// Budget is the maximum that one request router may use for the fleet's control mechanisms.
type Budget struct {
	BytesPerSecond float64
	CPUPercent     float64 // of one core
	MemoryKB       float64
}

// RouterBudget is the operators' budget for a request router: 12 KB per second, 4.4% of a core, 128 MB.
var RouterBudget = Budget{BytesPerSecond: 12_000, CPUPercent: 4.4, MemoryKB: 128 * 1024}

// scaled scales a count in the operators' fleet to a fleet of o.Routers routers. It returns at least 1.
func (o Options) scaled(count int) int {
	return max((count*o.Routers+FleetRouters/2)/FleetRouters, 1)
}

// regionOf returns the region of the router or process at index, of count in all. All regions have the same size,
// except for rounding.
func regionOf(index, count int) int { return index * fleetRegions / count }

// zoneOf returns the zone of the router or process at index, of count in all. All zones have the same size, except for
// rounding.
func zoneOf(index, count int) int { return index * fleetZones / count }
