package emulator

import (
	"fmt"
	"math"

	"spantack/core/cells"
	"spantack/core/hierarchy"
	"spantack/core/migration"
	"spantack/core/originlimit"
	"spantack/core/rollout"
)

// Config describes a simulated world and one run of it. Capacities are derived from the load: the capacity of a link,
// of the parents or of the origin is its capacity factor times the rate of its fills under normal load. Normal load is
// the load of a run without faults or floods.
type Config struct {
	Seed uint64 `json:"seed"`

	Sites          int `json:"depots"`
	RoutersPerSite int `json:"routers"`
	CachesPerSite  int `json:"caches"`
	Parents        int `json:"parents"` // number of parent caches of all hubs together
	// Hubs is the number of hubs. Parents and sites are assigned to hubs round-robin; the hub of a site is near, all
	// others are remote. 0: one hub that is near all sites.
	Hubs            int `json:"hubs,omitempty"`
	Tenants         int `json:"tenants"`
	Objects         int `json:"objects"`  // number of objects of each tenant
	StreamsPerCache int `json:"channels"` // concurrent responses of an edge cache at full rate

	RequestsPerSecond float64 `json:"rateS"`      // rate of all sites together
	TenantSkew        float64 `json:"tenantSkew"` // Zipf exponent of the tenants' shares
	ObjectSkew        float64 `json:"objectSkew"` // Zipf exponent of the popularity of a tenant's objects
	OneTimeFraction   float64 `json:"onceShare"`  // fraction of requests for objects requested only once

	PopularityDriftSeconds float64 `json:"driftS"` // time in which the popularity ranking shifts by one object
	CacheRetentionSeconds  float64 `json:"keepS"`  // size of an edge cache, as its sending time at full rate

	SiteLinkCapacityFactor  float64 `json:"linkRoom"`          // capacity factor of the link into a site
	RemoteHubCapacityFactor float64 `json:"farRoom,omitempty"` // the same for the link from a remote hub; 0: unlimited
	ParentCapacityFactor    float64 `json:"parentRoom"`        // the same for all parents together
	OriginCapacityFactor    float64 `json:"originRoom"`        // the same for the origin
	MissRatio               float64 `json:"missShare"`         // miss ratio of edge caches that the capacities assume
	// RouterCPUMicros is the CPU time of a router for one request, in microseconds. A request that admission rejects
	// costs a quarter of this time.
	RouterCPUMicros float64 `json:"routerUs"`

	WarmUpSeconds   float64 `json:"warmS"` // duration of the warm-up, which is not counted
	DurationSeconds float64 `json:"dayS"`  // duration of the counted time, which follows the warm-up

	Cells *cells.Spec `json:"cells,omitempty"` // nil: no cells
	// CellByTenant is the cell index of each tenant, for the counts by cell in Result. It may be set without Cells, to
	// compare a run with runs that have cells.
	CellByTenant    []int   `json:"-"`
	RateLimitFactor float64 `json:"limit,omitempty"` // rate limit of a tenant as a multiple of its normal rate; 0: none
	Flood           *Flood  `json:"flood,omitempty"`
	Poison          *Poison `json:"poison,omitempty"`
	Faults          []Fault `json:"faults,omitempty"`

	// CancelsAbandonedFetches makes parents cancel a fetch from the origin when no attempt waits for it any more.
	// Otherwise the fetch runs to its end and the parent stores the chunk.
	CancelsAbandonedFetches bool `json:"dropFetches,omitempty"`

	Release     *Release              `json:"release,omitempty"`
	Topology    *hierarchy.Topology   `json:"-"` // nil: sites fill from all parents, with no preference
	OriginLimit *originlimit.Document `json:"-"` // nil: origin fills are limited only by package routing

	Gossip     *Gossip     `json:"talk,omitempty"` // nil: routers exchange no gossip
	HotObject  *HotObject  `json:"hot,omitempty"`
	Deployment *Deployment `json:"site,omitempty"` // nil: the default deployment

	Changes         []Change `json:"-"` // ordered by time
	MigratedTenants []int    `json:"-"` // tenants that Result.Migrated counts
	// MigrationEndSeconds is the earliest time at which the last shift of the first document can end. The settle time
	// is not included. With MigrateAtOnce it is the time of the change.
	MigrationEndSeconds float64 `json:"-"`
	// MaxClockSkewMillis is the maximum offset, in either direction, of the clock by which a router reads the times in
	// documents.
	MaxClockSkewMillis float64 `json:"skewMs,omitempty"`
}

// Change is a new cell assignment, a new migration document, or both. Each running router applies it within
// maxReloadDelay after its time. A router that starts later applies all past changes at once, in order.
type Change struct {
	AtSeconds  float64
	Cells      *cells.Spec         // nil: unchanged
	Migrations *migration.Document // nil: unchanged
}

// FloodKind selects the objects that a Flood requests.
type FloodKind string

// The kinds of floods.
const (
	FloodCatalogue FloodKind = "catalogue" // objects of the catalogue, by popularity
	FloodUnique    FloodKind = "unique"    // a different object for each request, so no cache has it
	FloodHuge      FloodKind = "huge"      // chunks of videos; each chunk has Flood.HugeKB
)

// Flood makes one tenant send a multiple of its normal load for a time.
type Flood struct {
	Tenant          int       `json:"tenant"`
	Factor          float64   `json:"times"` // load of the tenant as a multiple of its normal load
	Kind            FloodKind `json:"kind"`
	StartSeconds    float64   `json:"fromS"`
	DurationSeconds float64   `json:"forS"`
	HugeKB          float64   `json:"hugeKb,omitempty"`
}

// PoisonKind is the way in which requests of a poisoned tenant fail.
type PoisonKind string

// The kinds of poison. The empty string means none.
const (
	poisonNone    PoisonKind = ""
	PoisonError   PoisonKind = "err"    // edge caches respond with an error
	PoisonGarbled PoisonKind = "spoilt" // responses of edge caches can't be parsed
	PoisonOrigin  PoisonKind = "root"   // the origin fails
)

// Poison makes all requests of one tenant fail for a time.
type Poison struct {
	Tenant          int        `json:"tenant"`
	Kind            PoisonKind `json:"kind"`
	StartSeconds    float64    `json:"fromS"`
	DurationSeconds float64    `json:"forS"`
}

// Release is a release that affects a fraction of the catalogue objects. Its objects have a purge group of their
// own. Without ReplacesObjects they are new objects, requested from StartSeconds on. With ReplacesObjects they are
// requested during the whole run, and the origin serves their new version from StartSeconds until RollbackSeconds.
type Release struct {
	StartSeconds      float64          `json:"fromS"`
	CatalogueFraction float64          `json:"part"`
	HarmfulFraction   float64          `json:"harm"` // fraction of its objects whose new version fails at every cache
	ReplacesObjects   bool             `json:"renews,omitempty"`
	RollbackSeconds   float64          `json:"backS,omitempty"` // 0: never
	Rollout           *rollout.Rollout `json:"stage"`
}

// releasePurgeGroup is the purge group of a release's objects.
const releasePurgeGroup = 255

// FaultKind selects what a Fault does.
type FaultKind string

// The kinds of faults.
const (
	FaultRouter   FaultKind = "router"   // a router crashes and restarts
	FaultCache    FaultKind = "cache"    // an edge cache crashes and restarts empty
	FaultSite     FaultKind = "depot"    // all edge caches of a site crash at once
	FaultDeploy   FaultKind = "deploy"   // rolling deploy: edge caches are drained and replaced one by one
	FaultParent   FaultKind = "parent"   // a parent crashes and restarts empty
	FaultHub      FaultKind = "hub"      // all parents of a hub crash at once
	FaultBrownout FaultKind = "brownout" // the origin loses capacity
	FaultPurge    FaultKind = "purge"    // copies of a fraction of the purge groups are purged
)

// Fault is a fault, or planned work such as a deploy or a purge, that affects servers or routers at a set time.
type Fault struct {
	Kind      FaultKind `json:"kind"`
	Site      int       `json:"depot"` // -1: every site
	Index     int       `json:"which"` // index of the router, cache, parent or hub
	AtSeconds float64   `json:"atS"`
	// DurationSeconds is how long the fault lasts; for a deploy, the time over which the replacements are spread.
	DurationSeconds float64 `json:"forS"`
	// Fraction is, for a deploy, the fraction of the caches that it replaces; for a brownout, the fraction of the
	// origin capacity that is left; for a purge, the fraction of the groups that it purges.
	Fraction float64 `json:"part"`
}

// expandFaults replaces each fault that is for every site (Site is -1) by one fault per site.
func (c *Config) expandFaults() {
	var all []Fault
	for _, f := range c.Faults {
		if f.Site >= 0 {
			all = append(all, f)
			continue
		}
		for f.Site = range c.Sites {
			all = append(all, f)
		}
	}
	c.Faults = all
}

// routerCount returns the number of routers of all sites.
func (c *Config) routerCount() int { return c.Sites * c.RoutersPerSite }

// TenantShares returns each tenant's share of the requests; their sum is 1.
func (c *Config) TenantShares() []float64 {
	shares := make([]float64, c.Tenants)
	sum := 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -c.TenantSkew)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// TenantPrefix returns the prefix of the names of a tenant's objects.
func TenantPrefix(tenant int) string { return fmt.Sprintf("%04x", tenant) }

// OriginLimitDocument returns an origin limit document as operators who know the origin would write it. It assumes that
// a fill takes two round trips under normal load, and that a parent continues an abandoned fetch for longer than any
// client waits. BaselineMs is four times the duration of a request without load, from a site through a hub to the
// origin and back, including the origin's service time. If ignoresAbandoned is set, abandoned fetches count as ended at
// once.
func (c *Config) OriginLimitDocument(algorithm string, ignoresAbandoned bool) *originlimit.Document {
	doc := &originlimit.Document{
		Algorithm:        algorithm,
		MaxInFlight:      c.originKnee(),
		Reserve:          0.1,
		Burst:            2,
		BaselineMs:       2 * roundTripMillis(2*hubDelay+2*c.originDelay()+originServiceTime),
		AbandonedFetchMs: 10_000,
	}
	if ignoresAbandoned {
		doc.AbandonedFetchMs = 0
	}
	return doc
}
