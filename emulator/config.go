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

// Config describes a world and the day that it plays. Capacities are derived from the load: a link has its capacity
// factor times the fills of a calm day.
type Config struct {
	Seed uint64 `json:"seed"`

	Sites          int `json:"depots"`
	RoutersPerSite int `json:"routers"`
	CachesPerSite  int `json:"caches"`
	Parents        int `json:"parents"` // parent caches of all hubs together
	// Hubs hold the parents in turn, and each site is near one of them. 0: one hub, as far from each site.
	Hubs            int `json:"hubs,omitempty"`
	Tenants         int `json:"tenants"`
	Objects         int `json:"objects"`  // of each tenant
	StreamsPerCache int `json:"channels"` // responses that an edge cache sends at full rate at once

	RequestsPerSecond float64 `json:"rateS"`      // of all sites together
	TenantSkew        float64 `json:"tenantSkew"` // Zipf exponent of the tenants' shares
	ObjectSkew        float64 `json:"objectSkew"` // Zipf exponent of a tenant's objects
	OneTimeFraction   float64 `json:"onceShare"`  // of requests are for an object that is requested only once

	PopularityDriftSeconds float64 `json:"driftS"` // time in which popularity moves on by one object
	CacheRetentionSeconds  float64 `json:"keepS"`  // an edge cache stores what it sends at full rate in this time

	SiteLinkCapacityFactor  float64 `json:"linkRoom"`          // of the link into a site
	RemoteHubCapacityFactor float64 `json:"farRoom,omitempty"` // of the line from a remote hub to a site; 0: unbounded
	ParentCapacityFactor    float64 `json:"parentRoom"`        // of all parents together
	OriginCapacityFactor    float64 `json:"originRoom"`        // of the origin
	MissRatio               float64 `json:"missShare"`         // of edge caches, for which capacities are sized
	// RouterCPUMicros is the time that a request takes on a router's core. A request that admission rejects takes a
	// quarter of it.
	RouterCPUMicros float64 `json:"routerUs"`

	WarmUpSeconds   float64 `json:"warmS"` // before counting begins
	DurationSeconds float64 `json:"dayS"`  // counted

	Cells           *cells.Spec `json:"cells,omitempty"` // nil: no cells
	CellByTenant    []int       `json:"-"`               // for counting, also where no cells are in force
	RateLimitFactor float64     `json:"limit,omitempty"` // of a tenant's usual rate; 0: no plain rate limit
	Flood           *Flood      `json:"flood,omitempty"`
	Poison          *Poison     `json:"poison,omitempty"`
	Faults          []Fault     `json:"faults,omitempty"`

	// CancelsAbandonedFetches makes parents cancel a fetch from the origin once nobody waits for it. Otherwise it runs to
	// its end and the parent stores the chunk.
	CancelsAbandonedFetches bool `json:"dropFetches,omitempty"`

	Release     *Release              `json:"release,omitempty"`
	Topology    *hierarchy.Topology   `json:"-"` // nil: sites fill from all parents alike
	OriginLimit *originlimit.Document `json:"-"` // nil: no limit of origin fills but that of package routing

	Gossip     *Gossip     `json:"talk,omitempty"` // nil: routers exchange nothing
	HotObject  *HotObject  `json:"hot,omitempty"`
	Deployment *Deployment `json:"site,omitempty"` // nil: like the first deployment

	Changes             []Change `json:"-"` // in the order of their times
	MigratedTenants     []int    `json:"-"` // counted apart
	MigrationEndSeconds float64  `json:"-"` // end of the last migration, by the documents
	// MaxClockSkewMillis is how far a router's clock for documents is ahead or behind at most.
	MaxClockSkewMillis float64 `json:"skewMs,omitempty"`
}

// Change is a new cell assignment, a new document of migrations, or both. Each running router applies it within
// maxReloadDelay of its time; a router that starts later applies the last one at once.
type Change struct {
	AtSeconds  float64
	Cells      *cells.Spec         // nil: unchanged
	Migrations *migration.Document // nil: unchanged
}

// FloodKind is what the requests of a Flood are for.
type FloodKind string

// The kinds of floods.
const (
	FloodCatalogue FloodKind = "catalogue" // objects of the catalogue, by popularity
	FloodUnique    FloodKind = "unique"    // an object of its own for each request: no cache can serve it
	FloodHuge      FloodKind = "huge"      // chunks of videos, each of Flood.HugeKB
)

// Flood is a tenant that sends a multiple of its usual load for a time.
type Flood struct {
	Tenant          int       `json:"tenant"`
	Factor          float64   `json:"times"` // of its usual load
	Kind            FloodKind `json:"kind"`
	StartSeconds    float64   `json:"fromS"`
	DurationSeconds float64   `json:"forS"`
	HugeKB          float64   `json:"hugeKb,omitempty"`
}

// PoisonKind is how the answers to a poisoned tenant fail.
type PoisonKind string

// The kinds of poison; the empty one means none.
const (
	poisonNone    PoisonKind = ""
	PoisonError   PoisonKind = "err"    // edge caches answer with an error
	PoisonGarbled PoisonKind = "spoilt" // what edge caches send can't be parsed
	PoisonOrigin  PoisonKind = "root"   // the origin fails
)

// Poison makes all answers to one tenant's requests fail for a time.
type Poison struct {
	Tenant          int        `json:"tenant"`
	Kind            PoisonKind `json:"kind"`
	StartSeconds    float64    `json:"fromS"`
	DurationSeconds float64    `json:"forS"`
}

// Release is a new version that a fraction of the catalogue requests is for. Its objects are an object family of
// their own. Without ReplacesObjects they are new objects, requested from StartSeconds on. With it they are requested
// all day, and the origin serves the new version of them from StartSeconds until RollbackSeconds.
type Release struct {
	StartSeconds      float64          `json:"fromS"`
	CatalogueFraction float64          `json:"part"`
	HarmfulFraction   float64          `json:"harm"` // of its objects fail at every cache, in the new version
	ReplacesObjects   bool             `json:"renews,omitempty"`
	RollbackSeconds   float64          `json:"backS,omitempty"` // 0: never
	Rollout           *rollout.Rollout `json:"stage"`
}

// releaseFamily is the purge group of a release's objects.
const releaseFamily = 255

// FaultKind is what a Fault does.
type FaultKind string

// The kinds of faults.
const (
	FaultRouter   FaultKind = "router"   // a router dies and starts again
	FaultCache    FaultKind = "cache"    // an edge cache dies and starts again, empty
	FaultSite     FaultKind = "depot"    // all edge caches of a site at once
	FaultDeploy   FaultKind = "deploy"   // edge caches are drained and replaced one after the other
	FaultParent   FaultKind = "parent"   // a parent dies and starts again, empty
	FaultHub      FaultKind = "hub"      // all parents of a hub at once
	FaultBrownout FaultKind = "brownout" // the origin loses capacity
	FaultPurge    FaultKind = "purge"    // copies of some groups of objects are purged
)

// Fault is something that happens to servers or routers at a set time.
type Fault struct {
	Kind      FaultKind `json:"kind"`
	Site      int       `json:"depot"` // -1: every site
	Index     int       `json:"which"` // of the router, cache, parent or hub
	AtSeconds float64   `json:"atS"`
	// DurationSeconds is how long it lasts; of a deploy, how long replacing all caches takes.
	DurationSeconds float64 `json:"forS"`
	// Fraction is, of a deploy, how many of the caches it replaces; of a brownout, the capacity that the origin has left;
	// of a purge, how many of the groups it purges.
	Fraction float64 `json:"part"`
}

// expandFaults replaces a fault of every site by one for each.
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

// TenantPrefix returns what the names of a tenant's objects begin with.
func TenantPrefix(tenant int) string { return fmt.Sprintf("%04x", tenant) }

// OriginLimitDocument returns a document of the origin limit as staff who know the origin would write it: a fill takes
// two round trips on a usual day, and a parent goes on with an abandoned fetch for longer than any client waits. With
// forget, abandoned fetches count as ended at once.
func (c *Config) OriginLimitDocument(algorithm string, forget bool) *originlimit.Document {
	doc := &originlimit.Document{
		Algorithm:        algorithm,
		MaxInFlight:      c.originKnee(),
		Reserve:          0.1,
		Burst:            2,
		BaselineMs:       2 * roundTripMillis(2*hubDelay+2*c.originDelay()+originServiceTime),
		AbandonedFetchMs: 10_000,
	}
	if forget {
		doc.AbandonedFetchMs = 0
	}
	return doc
}
