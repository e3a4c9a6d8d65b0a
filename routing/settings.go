package routing

import (
	"fmt"
	"slices"
)

// Settings is what one router is told at its start and with each change of its configuration. The tags of the fields
// are the names on the platform's wire. Times are microseconds throughout.
type Settings struct {
	Classes       []Class        `json:"Classes"`
	Discovery     DiscoveryMode  `json:"Discovery"`
	Hierarchy     CacheHierarchy `json:"Extra"`
	Guarantees    Guarantees     `json:"Guarantees"`
	Kinds         []string       `json:"Kinds"` // of machine; Hierarchy says which are parents and the origin
	Permissions   Permissions    `json:"Permissions"`
	Penalties     Penalties      `json:"Prices"`
	LoadReporting LoadReporting  `json:"Report"`
	FleetSize     int            `json:"Siblings"` // routers that share the servers
	Tenants       []Tenant       `json:"Tenants"`
	WeightSource  WeightSource   `json:"WeightSource"`
	Zone          string         `json:"Zone"` // of this router and of the edge caches it may use
	Zones         []string       `json:"Zones"`

	// OverQuotaWeightFactor is the priority weight of a request above its tenant's quota, as a fraction of its class's.
	OverQuotaWeightFactor float64 `json:"OverShareWorth"`
}

// Class describes the requests of one class.
type Class struct {
	Name string `json:"Name"`
	// ObjectiveSizeFactor times a response's own sending time is added to LatencyObjective.
	ObjectiveSizeFactor float64 `json:"AimStretch"`
	Deadline            int64   `json:"Deadline"`  // how long a client waits in all, over its own retries
	LatencyObjective    int64   `json:"Promise"`   // a response within this time counts in full
	PriorityWeight      float64 `json:"Gain"`      // what a served request counts, relative to other classes
	LateWeightFactor    float64 `json:"LateWorth"` // fraction of the weight that a response after the objective has
	// DeduplicationScope names the servers that drop repeats of a request with an idempotency key, and
	// DeduplicationWindow says for how long after the first attempt that may have run.
	DeduplicationScope  DeduplicationScope `json:"Group"`
	Idempotency         Idempotency        `json:"Idempotency"`
	DeduplicationWindow int64              `json:"MemorySpan"`
	Streaming           bool               `json:"Stream"`
}

// CacheHierarchy describes the edge caches, parents and origin. Slices are by class or, where the name says so, by
// zone; one that is too short counts as zero from its end on.
type CacheHierarchy struct {
	FreshnessLifetime     []int64              `json:"FreshFor"`   // 0: copies don't age
	StaleGracePeriod      []int64              `json:"GraceFor"`   // how much older a copy may be if need be
	PurgeGracePeriod      int64                `json:"HeedWithin"` // within which a purge must be honoured
	OriginKind            int                  `json:"MasterKind"` // index in Settings.Kinds
	Chunked               []bool               `json:"MultiPart"`  // clients ask for an object's chunks in turn
	PeerSources           PeerSources          `json:"Neighbours"`
	CacheStatusReporting  CacheStatusReporting `json:"NotesGiven"`
	ResponseKBPerSecond   float64              `json:"PaceKbPerS"`    // the most that one response is sent at
	ParentInitialCapacity float64              `json:"ParentFloor"`   // fraction that a parent starts with at least
	ParentWarmUpTime      int64                `json:"ParentWarmsIn"` // until a parent has all of its capacity
	Uncacheable           []bool               `json:"PassOn"`        // runs at the origin and leaves no copy
	PurgePropagationTime  int64                `json:"PurgeTakes"`    // after it no older copy is left anywhere
	RoutersByZone         []int                `json:"SeatsByZone"`
	CollapsesFills        bool                 `json:"SharesFills"` // a request may wait for a fill that is under way
	ParentKind            int                  `json:"ShieldKind"`  // index in Settings.Kinds; -1: there are no parents
	StaleWeightFactor     []float64            `json:"StaleEarns"`  // fraction of the weight that a stale response has
	AllowsDirectFetch     bool                 `json:"Straight"`    // parents and the origin take attempts themselves
	TransitPenalty        float64              `json:"TransitPrice"`
	// ParentOverloadMultiple stands in place of Guarantees.OverloadMultiple for a parent.
	ParentOverloadMultiple float64   `json:"UpperFallMultiple"`
	ZoneLinkKBPerSecond    []float64 `json:"ZoneLinkKbPerS"` // of the link into each zone; 0: not told
}

// Guarantees holds the figures of the rules that every router must keep.
type Guarantees struct {
	MaxPollInterval   int64   `json:"AskWithin"`         // within which a lost subscription must be renewed
	WarmUpTime        int64   `json:"Cold"`              // until a server that started has all of its capacity
	InitialCapacity   float64 `json:"ColdFrom"`          // fraction that it starts with at least
	OverloadWindow    int64   `json:"Fall"`              // a server overloaded for as long as this fails
	AnswerGracePeriod int64   `json:"GraceToAnswer"`     // after the client's deadline, in which an answer still counts
	DrainGracePeriod  int64   `json:"StopSendingWithin"` // within which a draining server must get nothing more
	OverloadMultiple  float64 `json:"TipMultiple"`       // of its present capacity, past which it is overloaded
}

// Permissions says what the deployment allows a router.
type Permissions struct {
	MayCancel       bool  `json:"Cancelling"`
	DialTimeout     int64 `json:"DialTimeout"`
	MaxAttempts     int   `json:"MaxAttempts"`   // per request
	MaxRetryAfter   int64 `json:"MaxRetryAfter"` // the longest that clients honour
	MayProbe        bool  `json:"Probing"`
	SendsRetryAfter bool  `json:"RetryAfter"` // clients are told ActionReject's RetryAfter
	MayHedge        bool  `json:"SecondCopies"`
}

// Penalties are points taken off the platform's score.
type Penalties struct {
	Origin float64 `json:"Origin"` // for bytes from the origin
	Probe  float64 `json:"Probe"`  // for health checks
	Waste  float64 `json:"Waste"`  // for work of servers that led to no response
}

// LoadReporting says what load reports hold and how they come.
type LoadReporting struct {
	Fields   []string           `json:"Fields"` // names of the values in Event.LoadReport, in their order
	Delivery LoadReportDelivery `json:"How"`
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name           string  `json:"Name"`
	QuotaPerSecond float64 `json:"QuotaPerS"` // requests over all routers
	ServiceShare   float64 `json:"Share"`     // fraction of the service
}

// Names of values in load reports that the engine uses.
const (
	hitRatioField = "x0" // of a cache: its recent share of hits
	linkUseField  = "x1" // of a cache: transfers on its zone's link over those that fit
)

// DiscoveryMode says how changes of the endpoint list reach the router.
type DiscoveryMode string

// The discovery modes.
const (
	DiscoveryAutomatic DiscoveryMode = "automatic" // changes come by themselves
	DiscoverySubscribe DiscoveryMode = "subscribe" // changes come only after ActionSubscribe or ActionResolve
)

// WeightSource says what the weights in the endpoint list tell.
type WeightSource string

// The sources of weights.
const (
	WeightsAbsent  WeightSource = "silent"  // the weight is always 1
	WeightsNominal WeightSource = "nominal" // the registered size
	WeightsRough   WeightSource = "rough"   // an approximate size
	WeightsLive    WeightSource = "live"    // the size divided by the load of some time ago
)

// Idempotency says whether an attempt that may have run may be repeated.
type Idempotency string

// The kinds of idempotency.
const (
	IdempotentRead Idempotency = "read_like"       // may be repeated anywhere at any time
	IdempotentKey  Idempotency = "idempotency_key" // repeats are dropped within a scope and a window
	NotIdempotent  Idempotency = "non_idempotent"  // may be repeated only after proof that nothing ran
)

// DeduplicationScope names the servers that drop repeats of a request that one of them has run.
type DeduplicationScope string

// The scopes of deduplication.
const (
	DeduplicatedByAll  DeduplicationScope = "all"
	DeduplicatedByZone DeduplicationScope = "zone"
	DeduplicatedByCell DeduplicationScope = "cell"
)

// PeerSources says which other edge caches may be the source of a fill.
type PeerSources string

// The extents of peer sources.
const (
	PeerSourcesNone     PeerSources = "silent"
	PeerSourcesLocation PeerSources = "location" // those of the own site
	PeerSourcesAny      PeerSources = "any"
)

// CacheStatusReporting says which values of CacheStatus the caches report.
type CacheStatusReporting string

// The extents of reporting.
const (
	CacheStatusReported     CacheStatusReporting = "all"
	CacheStatusHitsReported CacheStatusReporting = "hit" // no failures, and FilledFromSource also for FilledFromOrigin
	CacheStatusUnreported   CacheStatusReporting = "silent"
)

// LoadReportDelivery says how load reports come.
type LoadReportDelivery string

// The ways in which load reports come.
const (
	LoadReportPiggyback LoadReportDelivery = "piggyback" // within outcomes and results of health checks
	LoadReportPull      LoadReportDelivery = "pull"      // within results of health checks only
	LoadReportAbsent    LoadReportDelivery = "silent"
)

// SettingsError says which setting can't be used and why.
type SettingsError struct {
	Field   string // path by the names on the wire
	Problem string
}

// Error gives field and problem.
func (e *SettingsError) Error() string { return e.Field + ": " + e.Problem }

// validate checks what the engine relies on. The error is a *SettingsError.
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
		return &SettingsError{"Zone", "missing"}
	case origin < 0 || origin >= len(s.Kinds):
		return &SettingsError{"Extra.MasterKind", fmt.Sprintf("%d is no place in Kinds", origin)}
	case s.Permissions.MaxAttempts <= 0:
		return &SettingsError{"Permissions.MaxAttempts", "must be positive"}
	}
	return nil
}

// hasServerWeights reports that weights in the endpoint list tell the sizes of servers.
func (s *Settings) hasServerWeights() bool {
	return s.WeightSource == WeightsNominal || s.WeightSource == WeightsRough
}

// roleOf returns the role of a server as this router sees it.
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

// routersSharing returns how many routers use a server of the role and zone.
func (s *Settings) routersSharing(role serverRole, zone string) float64 {
	inZone := valueAt(s.Hierarchy.RoutersByZone, slices.Index(s.Zones, zone))
	if role == roleEdgeCache && inZone > 0 {
		return float64(inZone)
	}
	return float64(max(s.FleetSize, 1))
}

// valueAt returns list[i], or the zero value outside the list.
func valueAt[T any](list []T, i int) (value T) {
	if i >= 0 && i < len(list) {
		value = list[i]
	}
	return value
}

// classSettings is all that the settings say of one class: its entry in Settings.Classes and those of the lists by
// class in CacheHierarchy, which may be short or missing.
type classSettings struct {
	Class
	freshnessLifetime int64
	staleGracePeriod  int64
	isChunked         bool
	isUncacheable     bool
	staleWeightFactor float64
}

// classSettings returns what the settings say of class i.
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

// setClassSettings replaces the classes. It makes new lists and leaves the former ones as they are, for others may hold
// them.
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

// UpdateSettings puts other settings in force for requests that come from now on. Open requests keep their class as it
// was and the number of attempts that was allowed: the table of classes holds the new ones first and, after them, each
// former one that an open request still needs. What was learned of a class is kept by its name. Zone, Zones, Kinds and
// which of these are parents and the origin stay as they were at the start. Where the settings can't be used, the error
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

// carryOverTenants gives the tenants of next what was counted of those with their names.
func (e *Engine) carryOverTenants(next *Engine) {
	for name, tenant := range next.tenants {
		if former := e.tenants[name]; former != nil {
			tenant.recentRequests = former.recentRequests
		}
	}
}

// carryOverClasses gives the classes of next what was learned of those with their names, points open requests at their
// places in the new table of classes, and returns this table.
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
