// Package emulator is a model of a deployment in virtual time: clients, links, depot caches, area caches, the head
// office, the list of servers, and routers with the real decision modules inside. One World runs on one goroutine; the
// same Config gives the same Result to the bit, wherever and however often it runs.
//
// It counts broken rules itself, from what happened in its world, never from what a router says of itself.
package emulator

import (
	"errors"
	"fmt"
	"math"

	"spantack/core/cells"
	"spantack/core/hierarchy"
	"spantack/core/migration"
	"spantack/core/originlimit"
	"spantack/core/rollout"
	"spantack/routing"
)

// Config describes a world and its day. Times are seconds or, where the name says so, milliseconds.
type Config struct {
	Seed uint64 `json:"seed"`

	Sites           int `json:"depots"`
	RoutersPerSite  int `json:"routers"`        // of each depot
	CachesPerSite   int `json:"caches"`         // of each depot
	Parents         int `json:"parents"`        // area caches, in all
	Hubs            int `json:"hubs,omitempty"` // they stand at, one after the other; each depot is near one. 0: at one that is as far from all
	Tenants         int `json:"tenants"`        //
	Objects         int `json:"objects"`        // of each tenant
	StreamsPerCache int `json:"channels"`       // what a cache sends at full pace at once

	RequestsPerSecond       float64 `json:"rateS"`             // requests a second, all depots
	TenantSkew              float64 `json:"tenantSkew"`        // Zipf exponent of tenants
	ObjectSkew              float64 `json:"objectSkew"`        // and of a tenant's objects
	OneTimeFraction         float64 `json:"onceShare"`         // requests for an object that nobody asks for again
	PopularityDriftSeconds  float64 `json:"driftS"`            // time in which popularity moves on by one object
	CacheRetentionSeconds   float64 `json:"keepS"`             // a cache holds what it sends in this time at full pace
	SiteLinkCapacityFactor  float64 `json:"linkRoom"`          // link into a depot, of the fills on a calm day
	RemoteHubCapacityFactor float64 `json:"farRoom,omitempty"` // line from each hub but the near one into a depot, of the same fills; 0: as wide as need be
	ParentCapacityFactor    float64 `json:"parentRoom"`        // the same of all area caches together
	OriginCapacityFactor    float64 `json:"originRoom"`        // the same of the head office
	MissRatio               float64 `json:"missShare"`         // misses for which those were sized
	RouterCPUMicros         float64 `json:"routerUs"`          // time of a router's core for a request; a refusal at the gate takes a quarter

	WarmUpSeconds   float64 `json:"warmS"` // before counting begins
	DurationSeconds float64 `json:"dayS"`

	Cells           *cells.Spec `json:"cells,omitempty"`
	CellByTenant    []int       `json:"-"`               // cell of each tenant for counting, also where none are in force
	RateLimitFactor float64     `json:"limit,omitempty"` // plain rate limit of each tenant, in multiples of its usual rate
	Flood           *Flood      `json:"flood,omitempty"`
	Poison          *Poison     `json:"poison,omitempty"`
	Faults          []Fault     `json:"faults,omitempty"`

	// CancelsAbandonedFetches lets area caches end what they fetch from the head office once nobody waits for it. Else it goes on to its end, and is kept.
	CancelsAbandonedFetches bool `json:"dropFetches,omitempty"`

	Release     *Release              `json:"release,omitempty"`
	Topology    *hierarchy.Topology   `json:"-"` // nil: fills go to all area caches alike
	OriginLimit *originlimit.Document `json:"-"` // nil: no limit at the head office but that of rules

	Gossip     *Gossip     `json:"talk,omitempty"` // nil: routers tell one another nothing
	HotObject  *HotObject  `json:"hot,omitempty"`
	Deployment *Deployment `json:"site,omitempty"` // nil: as the first deployment is

	Changes             []Change `json:"-"`                // of cells and moves, in the order of their times
	MigratedTenants     []int    `json:"-"`                // tenants counted apart
	MigrationEndSeconds float64  `json:"-"`                // when the last has moved, as the documents have it
	MaxClockSkewMillis  float64  `json:"skewMs,omitempty"` // clocks of routers, for documents, are apart by twice that at most
}

// Change is a new assignment, document of moves, or both, which each router takes in within maxReloadDelay of its time. A router that starts
// later has the last one.
type Change struct {
	AtSeconds  float64
	Cells      *cells.Spec         // nil: the one before stays
	Migrations *migration.Document // nil: the one before stays
}

// Flood is one tenant at a multiple of its load for a while.
type Flood struct {
	Tenant          int     `json:"tenant"`
	Factor          float64 `json:"times"`
	Kind            string  `json:"kind"` // "catalogue", "unique" or "huge"
	StartSeconds    float64 `json:"fromS"`
	DurationSeconds float64 `json:"forS"`
	HugeKB          float64 `json:"hugeKb,omitempty"`
}

// Poison makes all answers to one tenant's requests fail for a while.
type Poison struct {
	Tenant          int     `json:"tenant"`
	Kind            string  `json:"kind"` // "err": caches answer ERR; "spoilt": what they send can't be read; "root": head office fails
	StartSeconds    float64 `json:"fromS"`
	DurationSeconds float64 `json:"forS"`
}

// Release is a new version that a part of all catalogue requests are for from a time on. Its objects are in a family of their own: new ones
// with names of their own, or with Renews objects asked for all day, which the head office gives out in the new version from StartSeconds on,
// until RecoverySeconds (0: for good).
type Release struct {
	StartSeconds      float64          `json:"fromS"`
	CatalogueFraction float64          `json:"part"` // of catalogue requests
	HarmfulFraction   float64          `json:"harm"` // part of its objects that fail at every cache; of renewed ones, those that were made new
	ReplacesObjects   bool             `json:"renews,omitempty"`
	RollbackSeconds   float64          `json:"backS,omitempty"`
	Rollout           *rollout.Rollout `json:"stage"`
}

// releaseFamily is the group of a release's objects.
const releaseFamily = 255

// Fault is something that happens to machines.
type Fault struct {
	Kind            string  `json:"kind"`  // "router", "cache", "depot", "deploy", "parent", "hub", "brownout" or "purge"
	Site            int     `json:"depot"` // -1: in every one
	Index           int     `json:"which"`
	AtSeconds       float64 `json:"atS"`
	DurationSeconds float64 `json:"forS"` // how long it is away; of a deploy, how long that takes in all
	Fraction        float64 `json:"part"` // of a deploy: the part of the caches replaced; of a brownout: what is left of the head office; of a purge: the part of all groups
}

// expandFaults spells out faults that happen in every depot.
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

// Validate reports the first field that can't be used.
func (c *Config) Validate() error {
	for _, f := range []struct {
		name        string
		value       float64
		least, most float64
	}{
		{"depots", float64(c.Sites), 1, 256}, {"routers", float64(c.RoutersPerSite), 1, 64}, {"caches", float64(c.CachesPerSite), 1, 1024},
		{"parents", float64(c.Parents), 1, 256}, {"hubs", float64(c.Hubs), 0, float64(c.Parents)}, {"tenants", float64(c.Tenants), 1, 65536}, {"objects", float64(c.Objects), 1, 1e6},
		{"channels", float64(c.StreamsPerCache), 1, 1000}, {"rateS", c.RequestsPerSecond, 1, 1e6}, {"tenantSkew", c.TenantSkew, 0, 3},
		{"objectSkew", c.ObjectSkew, 0, 3}, {"onceShare", c.OneTimeFraction, 0, 1}, {"driftS", c.PopularityDriftSeconds, 0.001, 1e9}, {"keepS", c.CacheRetentionSeconds, 0.01, 1e4},
		{"linkRoom", c.SiteLinkCapacityFactor, 0.1, 100}, {"parentRoom", c.ParentCapacityFactor, 0.1, 100}, {"farRoom", c.RemoteHubCapacityFactor, 0, 100}, {"originRoom", c.OriginCapacityFactor, 0.1, 100},
		{"missShare", c.MissRatio, 0.001, 1}, {"routerUs", c.RouterCPUMicros, 0, 1e5}, {"warmS", c.WarmUpSeconds, 0, 3600}, {"dayS", c.DurationSeconds, 0.1, 3600},
	} {
		if !(f.value >= f.least && f.value <= f.most) {
			return fmt.Errorf("%s: %v is not %v to %v", f.name, f.value, f.least, f.most)
		}
	}
	if c.Flood != nil && (c.Flood.Tenant < 0 || c.Flood.Tenant >= c.Tenants) {
		return fmt.Errorf("flood.tenant: %d is no tenant", c.Flood.Tenant)
	}
	if c.Poison != nil && (c.Poison.Tenant < 0 || c.Poison.Tenant >= c.Tenants) {
		return fmt.Errorf("poison.tenant: %d is no tenant", c.Poison.Tenant)
	}
	if c.CellByTenant != nil && len(c.CellByTenant) != c.Tenants {
		return errors.New("group: one for each tenant")
	}
	if r := c.Release; r != nil && (!(r.StartSeconds >= 0) || !(r.CatalogueFraction >= 0 && r.CatalogueFraction <= 1) || !(r.HarmfulFraction >= 0 && r.HarmfulFraction <= 1) || c.Cells == nil) {
		return errors.New("release: a time, parts of 0 to 1, and cells")
	}
	for i, f := range c.Faults {
		if (f.Kind == "brownout" || f.Kind == "purge") && !(f.Fraction > 0 && f.Fraction <= 1) {
			return fmt.Errorf("faults[%d].part: %v is not above 0 to 1", i, f.Fraction)
		}
	}
	if r := c.Release; r != nil && r.Rollout != nil && r.Rollout.ReplacesObjects != r.ReplacesObjects {
		return errors.New("release.renews: its stage says otherwise")
	}
	for i, ch := range c.Changes {
		if !(ch.AtSeconds >= 0) || i > 0 && ch.AtSeconds < c.Changes[i-1].AtSeconds || c.Cells == nil {
			return fmt.Errorf("changes[%d]: needs cells, and a time not before the last", i)
		}
	}
	for _, t := range c.MigratedTenants {
		if t < 0 || t >= c.Tenants {
			return fmt.Errorf("movers: %d is no tenant", t)
		}
	}
	if !(c.MaxClockSkewMillis >= 0 && c.MaxClockSkewMillis <= 10_000) {
		return fmt.Errorf("skewMs: %v is not 0 to 10000", c.MaxClockSkewMillis)
	}
	if err := c.Deployment.validate(); err != nil {
		return err
	}
	if err := c.validateGossip(); err != nil {
		return err
	}
	for i, f := range c.Faults {
		if f.Site < -1 || f.Site >= c.Sites || f.Index < 0 {
			return fmt.Errorf("faults[%d]: there is no such machine", i)
		}
	}
	return nil
}

// The classes, and what the model takes of each. Sizes are KB, spread log-normally.
const (
	classVideo = iota
	classCatalogue
	classReport
	classCount
)

// classModel is what the emulator assumes of a request class.
type classModel struct {
	name                           string
	share                          float64 // of requests
	meanKB, sigma                  float64
	minChunks                      int
	maxChunks                      int
	latencyObjectiveMs, deadlineMs float64 // ms
	objectiveSizeFactor            float64
	weight, lateWeightFactor       float64
}

var classModels = [classCount]classModel{
	{"screen-video", 0.50, 370, 0.5, 9, 20, 600, 6000, 1.6, 2, 0.15},
	{"catalogue", 0.47, 60, 0.6, 1, 1, 400, 3000, 2, 1, 0.2},
	{"stock-report", 0.03, 20, 0.2, 1, 1, 600, 3000, 2, 3, 0},
}

const (
	microsecond         = int64(1)
	millisecond         = 1000 * microsecond
	second              = 1000 * millisecond
	responseKBPerSecond = 1000.0 // of one answer

	clientDelay         = 7 * millisecond
	cacheDelay          = 400 * microsecond
	hubDelay            = 9 * millisecond
	remoteHubExtraDelay = 16 * millisecond // more, to another hub than the near one
	defaultOriginDelay  = 12 * millisecond
	originServiceTime   = 30 * millisecond // what the head office takes for any request

	defaultFreshnessLifetime = 20 * second // of the catalogue
	defaultStaleGracePeriod  = 10 * second

	chunkInterval = 590 * millisecond

	cacheInitialCapacity   = 0.32
	cacheWarmUpTime        = 11 * second
	parentInitialCapacity  = 0.1
	parentWarmUpTime       = 17 * second
	overloadWindow         = 3 * second
	cacheOverloadMultiple  = 3.0
	parentOverloadMultiple = 2.0
	overloadRestartDelay   = 3 * second // a server pushed over is up again
	drainGracePeriod       = 500 * millisecond
	frontendDetectionDelay = 2 * second // until which clients are sent to a dead router
	maxEndpointUpdateDelay = 1200 * millisecond
	maxReloadDelay         = 2 * second
)

// meanRequestKB of a request on a calm day, videos counted by the part.
func meanRequestKB() (sum float64) {
	for _, c := range classModels {
		sum += c.share * c.meanKB
	}
	return sum
}

// routerSettings are what a router of the depot is told.
func (c *Config) routerSettings(depot int) routing.Settings {
	set := routing.Settings{
		Discovery: "automatic",
		Hierarchy: routing.CacheHierarchy{PurgeGracePeriod: 300 * millisecond, OriginKind: 2, ParentKind: 1, CacheStatusReporting: "all", ResponseKBPerSecond: responseKBPerSecond,
			ParentInitialCapacity: parentInitialCapacity, ParentWarmUpTime: parentWarmUpTime, PurgePropagationTime: 6 * second, AllowsDirectFetch: true, ParentOverloadMultiple: parentOverloadMultiple},
		Guarantees: routing.Guarantees{MaxPollInterval: 10 * second, WarmUpTime: cacheWarmUpTime, InitialCapacity: cacheInitialCapacity, OverloadWindow: overloadWindow,
			AnswerGracePeriod: 8 * millisecond, DrainGracePeriod: drainGracePeriod, OverloadMultiple: cacheOverloadMultiple},
		Kinds:        []string{"small-box", "area", "head-office"},
		Permissions:  routing.Permissions{MayCancel: true, DialTimeout: 400 * millisecond, MaxAttempts: 8, MaxRetryAfter: second, SendsRetryAfter: true},
		FleetSize:    c.RoutersPerSite * c.Sites,
		WeightSource: "nominal",
		Zone:         zoneName(depot),
		Zones:        []string{"hub"},
	}
	for i, cl := range classModels {
		effect := routing.IdempotentRead
		if i == classReport {
			effect = routing.IdempotentKey
		}
		set.Classes = append(set.Classes, routing.Class{Name: cl.name, ObjectiveSizeFactor: cl.objectiveSizeFactor, Deadline: int64(cl.deadlineMs) * millisecond,
			LatencyObjective: int64(c.latencyObjectiveMs(i)) * millisecond, PriorityWeight: cl.weight, LateWeightFactor: cl.lateWeightFactor, DeduplicationScope: "all", Idempotency: effect, DeduplicationWindow: 6 * second})
		set.Hierarchy.Uncacheable = append(set.Hierarchy.Uncacheable, i == classReport)
		set.Hierarchy.Chunked = append(set.Hierarchy.Chunked, i == classVideo)
	}
	set.Hierarchy.FreshnessLifetime, set.Hierarchy.StaleGracePeriod = []int64{0, c.freshnessLifetime(), 0}, []int64{0, c.staleGracePeriod(), 0}
	set.Hierarchy.StaleWeightFactor = []float64{1, 0.7, 1}
	set.Hierarchy.RoutersByZone = []int{0}
	set.Hierarchy.ZoneLinkKBPerSecond = []float64{0}
	for d := range c.Sites {
		set.Zones = append(set.Zones, zoneName(d))
		set.Hierarchy.RoutersByZone = append(set.Hierarchy.RoutersByZone, c.RoutersPerSite)
		set.Hierarchy.ZoneLinkKBPerSecond = append(set.Hierarchy.ZoneLinkKBPerSecond, c.siteLinkKBPerSecond())
	}
	c.Deployment.applyTo(&set)
	return set
}

func zoneName(depot int) string { return fmt.Sprintf("depot-%02d", depot) }

// fillKBPerSecond is what all depots fill on a calm day.
func (c *Config) fillKBPerSecond() float64 {
	return c.RequestsPerSecond * meanRequestKB() * c.MissRatio
}

func (c *Config) siteLinkKBPerSecond() float64 {
	return max(c.SiteLinkCapacityFactor*c.fillKBPerSecond()/float64(c.Sites), 4*responseKBPerSecond)
}

// remoteHubKBPerSecond is what the line from a hub other than the near one into a depot bears.
func (c *Config) remoteHubKBPerSecond() float64 {
	return max(c.RemoteHubCapacityFactor*c.fillKBPerSecond()/float64(c.Sites), 2*responseKBPerSecond)
}

func (c *Config) streamsPerParent() float64 {
	return math.Ceil(max(c.ParentCapacityFactor*c.fillKBPerSecond()/float64(c.Parents)/responseKBPerSecond, 4))
}

func (c *Config) originKBPerSecond() float64 {
	return max(c.OriginCapacityFactor*c.fillKBPerSecond()*0.35, 12*responseKBPerSecond)
}

// originKnee is how many answers the head office sends at once before it slows.
func (c *Config) originKnee() float64 { return 2 * c.originKBPerSecond() / (3 * responseKBPerSecond) }

// TenantShares is each tenant's part of the requests.
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

// TenantPrefix is how the objects of a tenant begin.
func TenantPrefix(tenant int) string { return fmt.Sprintf("%04x", tenant) }

// OriginLimitDocument is the document of the head office's shield under a law, as staff who know the head office would write it: a fill takes twice the way
// on a usual day, and an area cache goes on with a fetch for longer than any client waits. With forget, nothing is reckoned to go on.
func (c *Config) OriginLimitDocument(law string, forget bool) *originlimit.Document {
	d := &originlimit.Document{Algorithm: law, MaxInFlight: c.originKnee(), Reserve: 0.1, Burst: 2, BaselineMs: 2 * roundTripMillis(2*hubDelay+2*c.originDelay()+originServiceTime), AbandonedFetchMs: 10_000}
	if forget {
		d.AbandonedFetchMs = 0
	}
	return d
}
