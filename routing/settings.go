package routing

import (
	"fmt"
	"slices"
)

// Settings is the configuration of one router, set at its start and replaced at each change. The JSON tags are the
// names in the wire protocol. All times are in microseconds.
type Settings struct {
	Classes    []Class        `json:"Classes"`
	Discovery  DiscoveryMode  `json:"Discovery"`
	Hierarchy  CacheHierarchy `json:"Extra"`
	Guarantees Guarantees     `json:"Guarantees"`
	// Kinds holds the kinds of servers. Hierarchy holds the indexes of two of them: the parents and the origin.
	Kinds         []string      `json:"Kinds"`
	Permissions   Permissions   `json:"Permissions"`
	Penalties     Penalties     `json:"Prices"`
	LoadReporting LoadReporting `json:"Report"`
	FleetSize     int           `json:"Siblings"` // number of routers that share the servers
	Tenants       []Tenant      `json:"Tenants"`
	WeightSource  WeightSource  `json:"WeightSource"`
	Zone          string        `json:"Zone"` // of this router, and of its edge caches unless a subset lists others
	Zones         []string      `json:"Zones"`

	// OverQuotaWeightFactor is the priority weight of a request above its tenant's quota, as a fraction of the class's.
	OverQuotaWeightFactor float64 `json:"OverShareWorth"`
}

// Class describes the requests of one class.
type Class struct {
	Name string `json:"Name"`
	// A response's objective is LatencyObjective plus its sending time multiplied by ObjectiveSizeFactor.
	ObjectiveSizeFactor float64 `json:"AimStretch"`
	Deadline            int64   `json:"Deadline"`  // total time that a client waits, including its own retries
	LatencyObjective    int64   `json:"Promise"`   // a response within this time has its full weight
	PriorityWeight      float64 `json:"Gain"`      // weight of a served request, relative to other classes
	LateWeightFactor    float64 `json:"LateWorth"` // fraction of the weight for a response after the objective
	// DeduplicationScope is the set of servers that drop repeats of a request with an idempotency key.
	// DeduplicationWindow is how long they do so, from the first attempt that may have run.
	DeduplicationScope  DeduplicationScope `json:"Group"`
	Idempotency         Idempotency        `json:"Idempotency"`
	DeduplicationWindow int64              `json:"MemorySpan"`
	Streaming           bool               `json:"Stream"`
}

// CacheHierarchy describes the edge caches, parents and origin. Slices are indexed by class or, if the name contains
// Zone, by zone. Missing elements count as zero.
type CacheHierarchy struct {
	FreshnessLifetime []int64 `json:"FreshFor"` // 0: copies don't age
	// StaleGracePeriod is the time after the freshness lifetime in which a copy may still be served.
	StaleGracePeriod     []int64              `json:"GraceFor"`
	PurgeGracePeriod     int64                `json:"HeedWithin"` // time within which a purge must take effect
	OriginKind           int                  `json:"MasterKind"` // index in Settings.Kinds
	Chunked              []bool               `json:"MultiPart"`  // clients request an object's chunks one by one
	PeerSources          PeerSources          `json:"Neighbours"`
	CacheStatusReporting CacheStatusReporting `json:"NotesGiven"`
	ResponseKBPerSecond  float64              `json:"PaceKbPerS"` // maximum rate at which one response is sent
	// ParentInitialCapacity is the minimum capacity of a parent at its start, as a fraction of its full capacity.
	ParentInitialCapacity float64   `json:"ParentFloor"`
	ParentWarmUpTime      int64     `json:"ParentWarmsIn"` // from a parent's start to its full capacity
	Uncacheable           []bool    `json:"PassOn"`        // requests run at the origin and leave no copy
	PurgePropagationTime  int64     `json:"PurgeTakes"`    // from a purge until no cache holds an older copy
	RoutersByZone         []int     `json:"SeatsByZone"`
	CollapsesFills        bool      `json:"SharesFills"`  // a request may wait for a fill in progress
	ParentKind            int       `json:"ShieldKind"`   // index in Settings.Kinds; -1: no parents
	StaleWeightFactor     []float64 `json:"StaleEarns"`   // fraction of the weight for a stale response
	AllowsDirectFetch     bool      `json:"Straight"`     // parents and the origin accept attempts directly
	TransitPenalty        float64   `json:"TransitPrice"` // as in Penalties; the engine does not use it
	// ParentOverloadMultiple replaces Guarantees.OverloadMultiple for parents.
	ParentOverloadMultiple float64   `json:"UpperFallMultiple"`
	ZoneLinkKBPerSecond    []float64 `json:"ZoneLinkKbPerS"` // capacity of the link into each zone; 0: unknown
}

// Guarantees holds the limits that every router must observe.
type Guarantees struct {
	MaxResubscribeDelay int64 `json:"AskWithin"` // time within which a lost subscription must be renewed
	WarmUpTime          int64 `json:"Cold"`      // from a server's start to its full capacity
	// InitialCapacity is the minimum capacity of a server at its start, as a fraction of its full capacity.
	InitialCapacity float64 `json:"ColdFrom"`
	OverloadWindow  int64   `json:"Fall"` // duration of an overload after which a server fails
	// AnswerGracePeriod is the time after the client's deadline within which a response still counts.
	AnswerGracePeriod int64 `json:"GraceToAnswer"`
	// DrainGracePeriod is the time after which a draining server must get no more requests.
	DrainGracePeriod int64 `json:"StopSendingWithin"`
	// OverloadMultiple is the multiple of a server's present capacity above which the server is overloaded.
	OverloadMultiple float64 `json:"TipMultiple"`
}

// Permissions holds the actions that the deployment allows a router, and their limits.
type Permissions struct {
	MayCancel       bool  `json:"Cancelling"`
	DialTimeout     int64 `json:"DialTimeout"`
	MaxAttempts     int   `json:"MaxAttempts"`   // per request
	MaxRetryAfter   int64 `json:"MaxRetryAfter"` // longest Retry-After that clients honour
	MayProbe        bool  `json:"Probing"`
	SendsRetryAfter bool  `json:"RetryAfter"` // ActionReject's RetryAfter is sent to clients
	MayHedge        bool  `json:"SecondCopies"`
}

// Penalties are deductions from the score by which the platform is rated. The engine does not use them.
type Penalties struct {
	Origin float64 `json:"Origin"` // for bytes from the origin
	Probe  float64 `json:"Probe"`  // for health checks
	Waste  float64 `json:"Waste"`  // for work of servers that did not result in a response
}

// LoadReporting describes the contents of load reports and how they are delivered.
type LoadReporting struct {
	Fields   []string           `json:"Fields"` // names of the values in Event.LoadReport, in this order
	Delivery LoadReportDelivery `json:"How"`
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name           string  `json:"Name"`
	QuotaPerSecond float64 `json:"QuotaPerS"` // requests per second, over all routers
	ServiceShare   float64 `json:"Share"`     // the tenant's fraction of the service; the engine does not use it
}

// Names of values in load reports that the engine uses.
const (
	hitRatioField = "x0" // of a cache: its recent hit ratio
	linkUseField  = "x1" // of a cache: use of its zone's link as a fraction of the link's capacity
)

// DiscoveryMode is how the router receives changes of the endpoint list.
type DiscoveryMode string

// The discovery modes.
const (
	DiscoveryAutomatic DiscoveryMode = "automatic" // changes are pushed without a subscription
	DiscoverySubscribe DiscoveryMode = "subscribe" // changes are sent only after ActionSubscribe or ActionResolve
)

// WeightSource is the meaning of the weights in the endpoint list.
type WeightSource string

// The sources of weights.
const (
	WeightsAbsent  WeightSource = "silent"  // the weight is always 1
	WeightsNominal WeightSource = "nominal" // the registered size
	WeightsRough   WeightSource = "rough"   // an approximate size
	WeightsLive    WeightSource = "live"    // the size divided by the load, which may be out of date
)

// Idempotency is whether an attempt that may have run may be repeated.
type Idempotency string

// The kinds of idempotency.
const (
	IdempotentRead Idempotency = "read_like"       // may be repeated at any server at any time
	IdempotentKey  Idempotency = "idempotency_key" // repeats are dropped within a scope and a window
	NotIdempotent  Idempotency = "non_idempotent"  // may be repeated only after proof that nothing ran
)

// DeduplicationScope is the set of servers that drop repeats of a request that one of them has run.
type DeduplicationScope string

// The scopes of deduplication.
const (
	DeduplicatedByAll  DeduplicationScope = "all"
	DeduplicatedByZone DeduplicationScope = "zone"
	DeduplicatedByCell DeduplicationScope = "cell"
)

// PeerSources is the set of other edge caches that may be the source of a fill.
type PeerSources string

// The sets of peer sources.
const (
	PeerSourcesNone     PeerSources = "silent"
	PeerSourcesLocation PeerSources = "location" // edge caches of the same site
	PeerSourcesAny      PeerSources = "any"
)

// CacheStatusReporting is the set of CacheStatus values that the caches report.
type CacheStatusReporting string

// The sets of reported cache statuses.
const (
	CacheStatusReported     CacheStatusReporting = "all"
	CacheStatusHitsReported CacheStatusReporting = "hit" // no failures; reports FilledFromOrigin as FilledFromSource
	CacheStatusUnreported   CacheStatusReporting = "silent"
)

// LoadReportDelivery is how load reports are delivered.
type LoadReportDelivery string

// The ways in which load reports are delivered.
const (
	LoadReportPiggyback LoadReportDelivery = "piggyback" // in outcomes and in results of health checks
	LoadReportPull      LoadReportDelivery = "pull"      // in results of health checks only
	LoadReportAbsent    LoadReportDelivery = "silent"
)

// SettingsError describes an invalid setting.
type SettingsError struct {
	Field   string // path of the field, in the names of the wire protocol
	Problem string
}

// Error returns the field and the problem.
func (e *SettingsError) Error() string { return e.Field + ": " + e.Problem }

// validate returns an error, always a *SettingsError, if a setting that the engine depends on is invalid.
func (s *Settings) validate() error {
	known := []Idempotency{IdempotentRead, IdempotentKey, NotIdempotent}
	for i, class := range s.Classes {
		if class.Name == "" || class.Deadline <= 0 || !slices.Contains(known, class.Idempotency) {
			return &SettingsError{fmt.Sprintf("Classes[%d]", i), "needs Name, a positive Deadline, a known Idempotency"}
		}
	}
	origin := s.Hierarchy.OriginKind
	switch {
	case len(s.Classes) == 0:
		return &SettingsError{"Classes", "none"}
	case s.Zone == "":
		return &SettingsError{"Zone", "must not be empty"}
	case origin < 0 || origin >= len(s.Kinds):
		return &SettingsError{"Extra.MasterKind", fmt.Sprintf("index %d is out of range of Kinds", origin)}
	case s.Permissions.MaxAttempts <= 0:
		return &SettingsError{"Permissions.MaxAttempts", "must be positive"}
	}
	return nil
}

// hasServerWeights reports whether the weights in the endpoint list are the sizes of servers.
func (s *Settings) hasServerWeights() bool {
	return s.WeightSource == WeightsNominal || s.WeightSource == WeightsRough
}

// roleOf returns the role of a server for this router.
func (s *Settings) roleOf(endpoint *Endpoint) serverRole {
	switch kind := slices.Index(s.Kinds, endpoint.Kind); {
	case kind == s.Hierarchy.OriginKind:
		return roleOrigin
	case kind == s.Hierarchy.ParentKind:
		return roleParent
	case endpoint.Zone != s.Zone:
		return roleRemoteCache
	}
	return roleEdgeCache
}

// routersSharing returns the number of routers that use a server of the given role and zone, at least 1.
func (s *Settings) routersSharing(role serverRole, zone string) float64 {
	inZone := valueAt(s.Hierarchy.RoutersByZone, slices.Index(s.Zones, zone))
	if role == roleEdgeCache && inZone > 0 {
		return float64(inZone)
	}
	return float64(max(s.FleetSize, 1))
}

// valueAt returns list[i], or the zero value if i is out of range.
func valueAt[T any](list []T, i int) (value T) {
	if i >= 0 && i < len(list) {
		value = list[i]
	}
	return value
}

// classSettings holds all settings of one class: its entry in Settings.Classes and its elements of the lists by class
// in CacheHierarchy, which may be short or missing.
type classSettings struct {
	Class
	freshnessLifetime int64
	staleGracePeriod  int64
	isChunked         bool
	isUncacheable     bool
	staleWeightFactor float64
}

// classSettings returns all settings of class i.
func (s *Settings) classSettings(i int) classSettings {
	return classSettings{
		Class:             s.Classes[i],
		freshnessLifetime: valueAt(s.Hierarchy.FreshnessLifetime, i),
		staleGracePeriod:  valueAt(s.Hierarchy.StaleGracePeriod, i),
		isChunked:         valueAt(s.Hierarchy.Chunked, i),
		isUncacheable:     valueAt(s.Hierarchy.Uncacheable, i),
		staleWeightFactor: valueAt(s.Hierarchy.StaleWeightFactor, i),
	}
}

// setClassSettings replaces the classes. It allocates new lists and does not modify the old ones, because they may be
// shared with other Settings.
func (s *Settings) setClassSettings(classes []classSettings) {
	hierarchy := &s.Hierarchy
	s.Classes = make([]Class, len(classes))
	hierarchy.FreshnessLifetime = make([]int64, len(classes))
	hierarchy.StaleGracePeriod = make([]int64, len(classes))
	hierarchy.Chunked = make([]bool, len(classes))
	hierarchy.Uncacheable = make([]bool, len(classes))
	hierarchy.StaleWeightFactor = make([]float64, len(classes))
	for i, class := range classes {
		s.Classes[i] = class.Class
		hierarchy.FreshnessLifetime[i] = class.freshnessLifetime
		hierarchy.StaleGracePeriod[i] = class.staleGracePeriod
		hierarchy.Chunked[i] = class.isChunked
		hierarchy.Uncacheable[i] = class.isUncacheable
		hierarchy.StaleWeightFactor[i] = class.staleWeightFactor
	}
}

// UpdateSettings applies new settings to all requests that arrive from now on. Open requests keep the settings of their
// class and their maximum number of attempts. For this, the table of classes holds the new classes, followed by each
// old class that an open request still uses. Learned values of a class are carried over to the new class of the same
// name. Zone, Zones, Kinds, OriginKind and ParentKind keep their initial values. If the settings are invalid, the error
// is a *SettingsError and nothing changes.
func (e *Engine) UpdateSettings(settings Settings) error {
	settings.Zone = e.settings.Zone
	settings.Zones = e.settings.Zones
	settings.Kinds = e.settings.Kinds
	settings.Hierarchy.OriginKind = e.settings.Hierarchy.OriginKind
	settings.Hierarchy.ParentKind = e.settings.Hierarchy.ParentKind
	next, err := NewEngine(settings, 0)
	if err != nil {
		return err
	}
	e.carryOverTenants(next)
	settings.setClassSettings(e.carryOverClasses(next))

	e.settings = settings
	e.classIndexes = next.classIndexes
	e.meanSendTime = next.meanSendTime
	e.tailMultiple = next.tailMultiple
	e.tenants = next.tenants
	e.purgeRetention = max(e.purgeRetention, next.purgeRetention)
	e.hasServerWeights = next.hasServerWeights
	e.hitRatioIndex = next.hitRatioIndex
	e.linkUseIndex = next.linkUseIndex
	return nil
}

// carryOverTenants copies the request counts of this engine's tenants to the tenants of the same name in next.
func (e *Engine) carryOverTenants(next *Engine) {
	for name, tenant := range next.tenants {
		if former := e.tenants[name]; former != nil {
			tenant.recentRequests = former.recentRequests
		}
	}
}

// carryOverClasses copies the learned values of this engine's classes to the classes of the same name in next, updates
// the class indexes of open requests, and returns the new table of classes.
func (e *Engine) carryOverClasses(next *Engine) []classSettings {
	classes := make([]classSettings, len(next.settings.Classes))
	for i, class := range next.settings.Classes {
		classes[i] = next.settings.classSettings(i)
		if former, known := e.classIndexes[class.Name]; known {
			next.meanSendTime[i] = e.meanSendTime[former]
			next.tailMultiple[i] = e.tailMultiple[former]
		}
	}
	isInUse := make([]bool, len(e.settings.Classes))
	for _, req := range e.requests {
		isInUse[req.class] = true
	}
	movedTo := make([]int, len(isInUse))
	for former, used := range isInUse {
		if !used {
			continue
		}
		class := e.settings.classSettings(former)
		movedTo[former] = slices.Index(classes[:len(next.settings.Classes)], class)
		if movedTo[former] < 0 {
			movedTo[former] = len(classes)
			classes = append(classes, class)
			next.meanSendTime = append(next.meanSendTime, e.meanSendTime[former])
			next.tailMultiple = append(next.tailMultiple, e.tailMultiple[former])
		}
	}
	for _, req := range e.requests {
		req.class = movedTo[req.class]
	}
	return classes
}
