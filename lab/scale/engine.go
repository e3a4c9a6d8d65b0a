package scale

import (
	"fmt"

	"spantack/routing"
)

// Zones of the endpoint list.
const (
	siteZone = "z" // zone of a router and its edge caches
	hubZone  = "h" // zone of parents and the origin
)

// Kinds of servers, in the order of routing.Settings.Kinds.
const (
	edgeKind   = "box"
	parentKind = "parent"
	originKind = "origin"
)

// Settings of the engine that match the operators' fleet.
const (
	purgePropagationTime = 3_900_000 // microseconds until a purge has been applied everywhere
	requestDeadline      = 5 * second
	requestClass         = "small"

	routersPerSite = (FleetRouters + fleetSites/2) / fleetSites // routers that share the caches of a site
)

// newEngine returns a new decision engine with the settings of engineSettings.
func newEngine(o Options) (*routing.Engine, error) {
	return routing.NewEngine(engineSettings(o), int64(o.Seed%(1<<62)))
}

// engineSettings returns the engine's settings for a fleet of o.Routers routers.
func engineSettings(o Options) routing.Settings {
	return routing.Settings{
		Classes: []routing.Class{{
			Name:                requestClass,
			ObjectiveSizeFactor: 2,
			Deadline:            requestDeadline,
			LatencyObjective:    300_000,
			PriorityWeight:      1,
			DeduplicationScope:  "all",
			Idempotency:         "read_like",
		}},
		Hierarchy: routing.CacheHierarchy{
			FreshnessLifetime:      []int64{10 * second},
			StaleGracePeriod:       []int64{20 * second},
			PurgeGracePeriod:       second,
			OriginKind:             2,
			CacheStatusReporting:   "all",
			ResponseKBPerSecond:    1000,
			ParentInitialCapacity:  0.1,
			ParentWarmUpTime:       20 * second,
			PurgePropagationTime:   purgePropagationTime,
			RoutersByZone:          []int{0, routersPerSite},
			CollapsesFills:         true,
			ParentKind:             1,
			AllowsDirectFetch:      true,
			ParentOverloadMultiple: 2,
		},
		Guarantees: routing.Guarantees{
			MaxResubscribeDelay: 10 * second,
			WarmUpTime:          16 * second,
			InitialCapacity:     0.2,
			OverloadWindow:      2 * second,
			AnswerGracePeriod:   8_000,
			DrainGracePeriod:    250_000,
			OverloadMultiple:    2,
		},
		Kinds: []string{edgeKind, parentKind, originKind},
		Permissions: routing.Permissions{
			MayCancel:       true,
			MaxAttempts:     6,
			MaxRetryAfter:   2 * second,
			SendsRetryAfter: true,
		},
		LoadReporting: routing.LoadReporting{Fields: []string{"x0"}, Delivery: "piggyback"},
		FleetSize:     o.Routers,
		Zone:          siteZone,
		Zones:         []string{hubZone, siteZone},
	}
}

// Multipliers of a multiplicative hash. It spreads successive numbers over all hex digits of a name.
const (
	objectMultiplier = 0x9e3779b97f4a7c15
	serverMultiplier = 2654435761
)

// objectName returns the unique name of the object with a number.
func objectName(number int) string { return fmt.Sprintf("%016x", uint64(number)*objectMultiplier) }

func serverName(number int) string { return fmt.Sprintf("s-%08x", uint32(number)*serverMultiplier) }

// fleetEndpoints returns the endpoint list: the origin first, then all edge caches, then the parents.
func fleetEndpoints(o Options) []routing.Endpoint {
	endpoint := func(number int, zone, kind string) routing.Endpoint {
		return routing.Endpoint{Server: serverName(number), Zone: zone, Kind: kind, Status: "healthy", Weight: 1}
	}
	endpoints := []routing.Endpoint{endpoint(0, hubZone, originKind)}
	caches := o.scaled(fleetCaches)
	for i := range caches {
		endpoints = append(endpoints, endpoint(i+1, siteZone, edgeKind))
	}
	for i := range o.scaled(fleetZones) {
		endpoints = append(endpoints, endpoint(caches+i+1, hubZone, parentKind))
	}
	return endpoints
}
