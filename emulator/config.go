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

	Depots   int `json:"depots"`
	Routers  int `json:"routers"`        // of each depot
	Caches   int `json:"caches"`         // of each depot
	Parents  int `json:"parents"`        // area caches, in all
	Hubs     int `json:"hubs,omitempty"` // they stand at, one after the other; each depot is near one. 0: at one that is as far from all
	Tenants  int `json:"tenants"`        //
	Objects  int `json:"objects"`        // of each tenant
	Channels int `json:"channels"`       // what a cache sends at full pace at once

	RateS      float64 `json:"rateS"`             // requests a second, all depots
	TenantSkew float64 `json:"tenantSkew"`        // Zipf exponent of tenants
	ObjectSkew float64 `json:"objectSkew"`        // and of a tenant's objects
	OnceShare  float64 `json:"onceShare"`         // requests for an object that nobody asks for again
	DriftS     float64 `json:"driftS"`            // time in which popularity moves on by one object
	KeepS      float64 `json:"keepS"`             // a cache holds what it sends in this time at full pace
	LinkRoom   float64 `json:"linkRoom"`          // link into a depot, of the fills on a calm day
	FarRoom    float64 `json:"farRoom,omitempty"` // line from each hub but the near one into a depot, of the same fills; 0: as wide as need be
	ParentRoom float64 `json:"parentRoom"`        // the same of all area caches together
	OriginRoom float64 `json:"originRoom"`        // the same of the head office
	MissShare  float64 `json:"missShare"`         // misses for which those were sized
	RouterUs   float64 `json:"routerUs"`          // time of a router's core for a request; a refusal at the gate takes a quarter

	WarmS float64 `json:"warmS"` // before counting begins
	DayS  float64 `json:"dayS"`

	Cells  *cells.Spec `json:"cells,omitempty"`
	Group  []int       `json:"-"`               // cell of each tenant for counting, also where none are in force
	Limit  float64     `json:"limit,omitempty"` // plain rate limit of each tenant, in multiples of its usual rate
	Flood  *Flood      `json:"flood,omitempty"`
	Poison *Poison     `json:"poison,omitempty"`
	Faults []Fault     `json:"faults,omitempty"`

	// DropFetches lets area caches end what they fetch from the head office once nobody waits for it. Else it goes on to its end, and is kept.
	DropFetches bool `json:"dropFetches,omitempty"`

	Release *Release              `json:"release,omitempty"`
	Shape   *hierarchy.Topology   `json:"-"` // nil: fills go to all area caches alike
	Shield  *originlimit.Document `json:"-"` // nil: no limit at the head office but that of rules

	Talk *Talk `json:"talk,omitempty"` // nil: routers tell one another nothing
	Hot  *Hot  `json:"hot,omitempty"`
	Site *Site `json:"site,omitempty"` // nil: as the first deployment is

	Changes []Change `json:"-"`                // of cells and moves, in the order of their times
	Movers  []int    `json:"-"`                // tenants counted apart
	EndS    float64  `json:"-"`                // when the last has moved, as the documents have it
	SkewMs  float64  `json:"skewMs,omitempty"` // clocks of routers, for documents, are apart by twice that at most
}

// Change is a new assignment, document of moves, or both, which each router takes in within reloadsIn of its time. A router that starts
// later has the last one.
type Change struct {
	AtS   float64
	Cells *cells.Spec         // nil: the one before stays
	Moves *migration.Document // nil: the one before stays
}

// Flood is one tenant at a multiple of its load for a while.
type Flood struct {
	Tenant int     `json:"tenant"`
	Times  float64 `json:"times"`
	Kind   string  `json:"kind"` // "catalogue", "unique" or "huge"
	FromS  float64 `json:"fromS"`
	ForS   float64 `json:"forS"`
	HugeKb float64 `json:"hugeKb,omitempty"`
}

// Poison makes all answers to one tenant's requests fail for a while.
type Poison struct {
	Tenant int     `json:"tenant"`
	Kind   string  `json:"kind"` // "err": caches answer ERR; "spoilt": what they send can't be read; "root": head office fails
	FromS  float64 `json:"fromS"`
	ForS   float64 `json:"forS"`
}

// Release is a new version that a part of all catalogue requests are for from a time on. Its objects are in a family of their own: new ones
// with names of their own, or with Renews objects asked for all day, which the head office gives out in the new version from FromS on,
// until BackS (0: for good).
type Release struct {
	FromS  float64          `json:"fromS"`
	Part   float64          `json:"part"` // of catalogue requests
	Harm   float64          `json:"harm"` // part of its objects that fail at every cache; of renewed ones, those that were made new
	Renews bool             `json:"renews,omitempty"`
	BackS  float64          `json:"backS,omitempty"`
	Stage  *rollout.Rollout `json:"stage"`
}

// releaseFamily is the group of a release's objects.
const releaseFamily = 255

// Fault is something that happens to machines.
type Fault struct {
	Kind  string  `json:"kind"`  // "router", "cache", "depot", "deploy", "parent", "hub", "brownout" or "purge"
	Depot int     `json:"depot"` // -1: in every one
	Which int     `json:"which"`
	AtS   float64 `json:"atS"`
	ForS  float64 `json:"forS"` // how long it is away; of a deploy, how long that takes in all
	Part  float64 `json:"part"` // of a deploy: the part of the caches replaced; of a brownout: what is left of the head office; of a purge: the part of all groups
}

// everywhere spells out faults that happen in every depot.
func (c *Config) everywhere() {
	var all []Fault
	for _, f := range c.Faults {
		if f.Depot >= 0 {
			all = append(all, f)
			continue
		}
		for f.Depot = range c.Depots {
			all = append(all, f)
		}
	}
	c.Faults = all
}

// Check reports the first field that can't be used.
func (c *Config) Check() error {
	for _, f := range []struct {
		name        string
		value       float64
		least, most float64
	}{
		{"depots", float64(c.Depots), 1, 256}, {"routers", float64(c.Routers), 1, 64}, {"caches", float64(c.Caches), 1, 1024},
		{"parents", float64(c.Parents), 1, 256}, {"hubs", float64(c.Hubs), 0, float64(c.Parents)}, {"tenants", float64(c.Tenants), 1, 65536}, {"objects", float64(c.Objects), 1, 1e6},
		{"channels", float64(c.Channels), 1, 1000}, {"rateS", c.RateS, 1, 1e6}, {"tenantSkew", c.TenantSkew, 0, 3},
		{"objectSkew", c.ObjectSkew, 0, 3}, {"onceShare", c.OnceShare, 0, 1}, {"driftS", c.DriftS, 0.001, 1e9}, {"keepS", c.KeepS, 0.01, 1e4},
		{"linkRoom", c.LinkRoom, 0.1, 100}, {"parentRoom", c.ParentRoom, 0.1, 100}, {"farRoom", c.FarRoom, 0, 100}, {"originRoom", c.OriginRoom, 0.1, 100},
		{"missShare", c.MissShare, 0.001, 1}, {"routerUs", c.RouterUs, 0, 1e5}, {"warmS", c.WarmS, 0, 3600}, {"dayS", c.DayS, 0.1, 3600},
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
	if c.Group != nil && len(c.Group) != c.Tenants {
		return errors.New("group: one for each tenant")
	}
	if r := c.Release; r != nil && (!(r.FromS >= 0) || !(r.Part >= 0 && r.Part <= 1) || !(r.Harm >= 0 && r.Harm <= 1) || c.Cells == nil) {
		return errors.New("release: a time, parts of 0 to 1, and cells")
	}
	for i, f := range c.Faults {
		if (f.Kind == "brownout" || f.Kind == "purge") && !(f.Part > 0 && f.Part <= 1) {
			return fmt.Errorf("faults[%d].part: %v is not above 0 to 1", i, f.Part)
		}
	}
	if r := c.Release; r != nil && r.Stage != nil && r.Stage.ReplacesObjects != r.Renews {
		return errors.New("release.renews: its stage says otherwise")
	}
	for i, ch := range c.Changes {
		if !(ch.AtS >= 0) || i > 0 && ch.AtS < c.Changes[i-1].AtS || c.Cells == nil {
			return fmt.Errorf("changes[%d]: needs cells, and a time not before the last", i)
		}
	}
	for _, t := range c.Movers {
		if t < 0 || t >= c.Tenants {
			return fmt.Errorf("movers: %d is no tenant", t)
		}
	}
	if !(c.SkewMs >= 0 && c.SkewMs <= 10_000) {
		return fmt.Errorf("skewMs: %v is not 0 to 10000", c.SkewMs)
	}
	if err := c.Site.check(); err != nil {
		return err
	}
	if err := c.checkTalk(); err != nil {
		return err
	}
	for i, f := range c.Faults {
		if f.Depot < -1 || f.Depot >= c.Depots || f.Which < 0 {
			return fmt.Errorf("faults[%d]: there is no such machine", i)
		}
	}
	return nil
}

// The classes, and what the model takes of each. Sizes are KB, spread log-normally.
const (
	video = iota
	catalogue
	report
	classes
)

var classOf = [classes]struct {
	name           string
	share          float64 // of requests
	kb, sigma      float64
	partsLeast     int
	partsMost      int
	promise, allow float64 // ms
	stretch        float64
	gain, late     float64
}{
	{"screen-video", 0.50, 370, 0.5, 9, 20, 600, 6000, 1.6, 2, 0.15},
	{"catalogue", 0.47, 60, 0.6, 1, 1, 400, 3000, 2, 1, 0.2},
	{"stock-report", 0.03, 20, 0.2, 1, 1, 600, 3000, 2, 3, 0},
}

const (
	us      = int64(1)
	ms      = 1000 * us
	sec     = 1000 * ms
	paceKbS = 1000.0 // of one answer

	clientWay = 7 * ms
	cacheWay  = 400 * us
	hubWay    = 9 * ms
	farWay    = 16 * ms // more, to another hub than the near one
	originWay = 12 * ms
	originAsk = 30 * ms // what the head office takes for any request

	freshUs = 20 * sec // of the catalogue
	graceUs = 10 * sec

	partGap = 590 * ms

	cacheColdFrom  = 0.32
	cacheColdFor   = 11 * sec
	parentColdFrom = 0.1
	parentColdFor  = 17 * sec
	fallSpan       = 3 * sec
	cacheFall      = 3.0
	parentFall     = 2.0
	backAfter      = 3 * sec // a server pushed over is up again
	drainBinds     = 500 * ms
	frontSees      = 2 * sec // until which clients are sent to a dead router
	listTells      = 1200 * ms
	reloadsIn      = 2 * sec
)

// meanKb of a request on a calm day, videos counted by the part.
func meanKb() (sum float64) {
	for _, c := range classOf {
		sum += c.share * c.kb
	}
	return sum
}

// settings are what a router of the depot is told.
func (c *Config) settings(depot int) routing.Settings {
	set := routing.Settings{
		Discovery: "automatic",
		Hierarchy: routing.CacheHierarchy{PurgeGracePeriod: 300 * ms, OriginKind: 2, ParentKind: 1, CacheStatusReporting: "all", ResponseKBPerSecond: paceKbS,
			ParentInitialCapacity: parentColdFrom, ParentWarmUpTime: parentColdFor, PurgePropagationTime: 6 * sec, AllowsDirectFetch: true, ParentOverloadMultiple: parentFall},
		Guarantees: routing.Guarantees{MaxPollInterval: 10 * sec, WarmUpTime: cacheColdFor, InitialCapacity: cacheColdFrom, OverloadWindow: fallSpan,
			AnswerGracePeriod: 8 * ms, DrainGracePeriod: drainBinds, OverloadMultiple: cacheFall},
		Kinds:        []string{"small-box", "area", "head-office"},
		Permissions:  routing.Permissions{MayCancel: true, DialTimeout: 400 * ms, MaxAttempts: 8, MaxRetryAfter: sec, SendsRetryAfter: true},
		FleetSize:    c.Routers * c.Depots,
		WeightSource: "nominal",
		Zone:         zoneName(depot),
		Zones:        []string{"hub"},
	}
	for i, cl := range classOf {
		effect := routing.IdempotentRead
		if i == report {
			effect = routing.IdempotentKey
		}
		set.Classes = append(set.Classes, routing.Class{Name: cl.name, ObjectiveSizeFactor: cl.stretch, Deadline: int64(cl.allow) * ms,
			LatencyObjective: int64(c.promise(i)) * ms, PriorityWeight: cl.gain, LateWeightFactor: cl.late, DeduplicationScope: "all", Idempotency: effect, DeduplicationWindow: 6 * sec})
		set.Hierarchy.Uncacheable = append(set.Hierarchy.Uncacheable, i == report)
		set.Hierarchy.Chunked = append(set.Hierarchy.Chunked, i == video)
	}
	set.Hierarchy.FreshnessLifetime, set.Hierarchy.StaleGracePeriod = []int64{0, c.fresh(), 0}, []int64{0, c.grace(), 0}
	set.Hierarchy.StaleWeightFactor = []float64{1, 0.7, 1}
	set.Hierarchy.RoutersByZone = []int{0}
	set.Hierarchy.ZoneLinkKBPerSecond = []float64{0}
	for d := range c.Depots {
		set.Zones = append(set.Zones, zoneName(d))
		set.Hierarchy.RoutersByZone = append(set.Hierarchy.RoutersByZone, c.Routers)
		set.Hierarchy.ZoneLinkKBPerSecond = append(set.Hierarchy.ZoneLinkKBPerSecond, c.linkKbS())
	}
	c.Site.differ(&set)
	return set
}

func zoneName(depot int) string { return fmt.Sprintf("depot-%02d", depot) }

// fillKbS is what all depots fill on a calm day.
func (c *Config) fillKbS() float64 { return c.RateS * meanKb() * c.MissShare }

func (c *Config) linkKbS() float64 {
	return max(c.LinkRoom*c.fillKbS()/float64(c.Depots), 4*paceKbS)
}

// farKbS is what the line from a hub other than the near one into a depot bears.
func (c *Config) farKbS() float64 { return max(c.FarRoom*c.fillKbS()/float64(c.Depots), 2*paceKbS) }

func (c *Config) parentChannels() float64 {
	return math.Ceil(max(c.ParentRoom*c.fillKbS()/float64(c.Parents)/paceKbS, 4))
}

func (c *Config) originKbS() float64 { return max(c.OriginRoom*c.fillKbS()*0.35, 12*paceKbS) }

// originKnee is how many answers the head office sends at once before it slows.
func (c *Config) originKnee() float64 { return 2 * c.originKbS() / (3 * paceKbS) }

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

// ShieldBy is the document of the head office's shield under a law, as staff who know the head office would write it: a fill takes twice the way
// on a usual day, and an area cache goes on with a fetch for longer than any client waits. With forget, nothing is reckoned to go on.
func (c *Config) ShieldBy(law string, forget bool) *originlimit.Document {
	d := &originlimit.Document{Algorithm: law, MaxInFlight: c.originKnee(), Reserve: 0.1, Burst: 2, BaselineMs: 2 * ms2(2*hubWay+2*c.originWay()+originAsk), AbandonedFetchMs: 10_000}
	if forget {
		d.AbandonedFetchMs = 0
	}
	return d
}
