package routing

// Settings is what an instance is told once, at its start. The tags of fields are the names of the
// wire's settings. All times are microseconds.
type Settings struct {
	Classes       []Class        `json:"Classes"`
	Discovery     DiscoveryMode  `json:"Discovery"`
	Hierarchy     CacheHierarchy `json:"Extra"`
	Guarantees    Guarantees     `json:"Guarantees"`
	Kinds         []string       `json:"Kinds"`
	Permissions   Permissions    `json:"Permissions"`
	Penalties     Penalties      `json:"Prices"`
	LoadReporting LoadReporting  `json:"Report"`
	FleetSize     int            `json:"Siblings"`
	Tenants       []Tenant       `json:"Tenants"`
	WeightSource  WeightSource   `json:"WeightSource"`
	Zone          string         `json:"Zone"`
	Zones         []string       `json:"Zones"`

	OverQuotaWeightFactor float64 `json:"OverShareWorth"`
}

// Class is one class of requests.
type Class struct {
	Name                string             `json:"Name"`
	ObjectiveSizeFactor float64            `json:"AimStretch"`
	Deadline            int64              `json:"Deadline"`
	LatencyObjective    int64              `json:"Promise"`
	PriorityWeight      float64            `json:"Gain"`
	LateWeightFactor    float64            `json:"LateWorth"`
	DeduplicationScope  DeduplicationScope `json:"Group"`
	Idempotency         Idempotency        `json:"Idempotency"`
	DeduplicationWindow int64              `json:"MemorySpan"`
	Streaming           bool               `json:"Stream"`
}

// CacheHierarchy describes the tiers behind the router; the slices are by class or, where the name says so, by zone.
type CacheHierarchy struct {
	FreshnessLifetime      []int64              `json:"FreshFor"`
	StaleGracePeriod       []int64              `json:"GraceFor"`
	PurgeGracePeriod       int64                `json:"HeedWithin"`
	OriginKind             int                  `json:"MasterKind"`
	Chunked                []bool               `json:"MultiPart"`
	PeerSources            PeerSources          `json:"Neighbours"`
	CacheStatusReporting   CacheStatusReporting `json:"NotesGiven"`
	ResponseKBPerSecond    float64              `json:"PaceKbPerS"`
	ParentInitialCapacity  float64              `json:"ParentFloor"`
	ParentWarmUpTime       int64                `json:"ParentWarmsIn"`
	Uncacheable            []bool               `json:"PassOn"`
	PurgePropagationTime   int64                `json:"PurgeTakes"`
	RoutersByZone          []int                `json:"SeatsByZone"`
	CollapsesFills         bool                 `json:"SharesFills"`
	ParentKind             int                  `json:"ShieldKind"` // -1: no parents
	StaleWeightFactor      []float64            `json:"StaleEarns"`
	AllowsDirectFetch      bool                 `json:"Straight"`
	TransitPenalty         float64              `json:"TransitPrice"`
	ParentOverloadMultiple float64              `json:"UpperFallMultiple"`
	ZoneLinkKBPerSecond    []float64            `json:"ZoneLinkKbPerS"`
}

// Guarantees holds the figures of the rules.
type Guarantees struct {
	MaxPollInterval   int64   `json:"AskWithin"`
	WarmUpTime        int64   `json:"Cold"`
	InitialCapacity   float64 `json:"ColdFrom"`
	OverloadWindow    int64   `json:"Fall"`
	AnswerGracePeriod int64   `json:"GraceToAnswer"`
	DrainGracePeriod  int64   `json:"StopSendingWithin"`
	OverloadMultiple  float64 `json:"TipMultiple"`
}

// Permissions says what the deployment allows.
type Permissions struct {
	MayCancel       bool  `json:"Cancelling"`
	DialTimeout     int64 `json:"DialTimeout"`
	MaxAttempts     int   `json:"MaxAttempts"`
	MaxRetryAfter   int64 `json:"MaxRetryAfter"`
	MayProbe        bool  `json:"Probing"`
	SendsRetryAfter bool  `json:"RetryAfter"`
	MayHedge        bool  `json:"SecondCopies"`
}

// Penalties are points taken off the result.
type Penalties struct {
	Origin float64 `json:"Origin"`
	Probe  float64 `json:"Probe"`
	Waste  float64 `json:"Waste"`
}

// LoadReporting says what load reports hold and how they come.
type LoadReporting struct {
	Fields   []string           `json:"Fields"`
	Delivery LoadReportDelivery `json:"How"`
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name           string  `json:"Name"`
	QuotaPerSecond float64 `json:"QuotaPerS"`
	ServiceShare   float64 `json:"Share"`
}

// EventKind tells which fields of an Event count.
type EventKind int

// The kinds of event.
const (
	EventEndpoints        EventKind = iota + 1 // Mode, Rows
	EventRequest                               // Call, Class, Tenant, Object, Part, Group, SizeKB, Timeout, Write, IsClientRetry, Set, Spill
	EventFirstByte                             // Call, Attempt, Node, Rtt
	EventOutcome                               // Call, Attempt, Node, AttemptOutcome, Rtt, Final, Note, UpstreamWait, Metrics
	EventAborted                               // Call
	EventTimer                                 // Token
	EventProbed                                // AttemptOutcome, Node, Rtt, Metrics
	EventPurge                                 // Object ("" for a whole group), Group, Age
	EventSubset                                // Set, Account, Share, Names; with Set 0: Behind, Asks
	EventParentOverloaded                      // Node: routers of other depots find it so
)

// Event is one thing the router is told.
type Event struct {
	Kind           EventKind
	RequestID      string
	Class          string
	Tenant         string
	Object         string
	Server         string
	UpdateMode     UpdateMode
	Outcome        AttemptOutcome
	Chunk          int64
	PurgeGroup     int64
	Attempt        int
	CacheStatus    CacheStatus
	SizeKB         float64
	Timeout        int64
	ResponseTime   int64
	UpstreamWait   int64
	PurgeAge       int64 // of EventPurge: how long ago
	MinVersionTime int64 // of EventRequest: copies made before this time are out of date; 0: none is for that
	MaxAge         int64 // of EventRequest: how old a copy may be, where that is more than its class allows
	TimerToken     int64
	IsWrite        bool
	IsClientRetry  bool
	IsFinal        bool
	Endpoints      []Endpoint
	LoadReport     []float64

	// Subset names the caches that a request may go to, Spill those that it may go to when none of them can take it.
	// 0 stands for all caches of the zone, in Spill for none. A set that no EventSubset named holds no cache.
	Subset, OverflowSubset int
	// ParentSubset names the set of area caches that fills of a request are asked of first, all others only when none of them can
	// take it. 0: all alike. A set that no EventSubset named holds none, and then the origin is asked.
	ParentSubset int
	// AccountingGroup is who pays for what a set's requests take of servers that all share (parents, the origin): breakers
	// are kept for each, and Share of such a server's limit, 0 to 1, is an account's own whenever it wants it.
	// Account 0 is that of unconfined requests, which have no share.
	AccountingGroup         int
	CapacityShare           float64
	SubsetServers           []string // of the set's caches; none: the set is dropped
	MaxPossibleOriginFills  float64  // the most fills out that may ask the origin in turn; 0: as learnt from its answers alone
	MaxConfirmedOriginFills float64  // the most fills out that do; a source is looked at first, so that this is known. 0: as learnt
}

// Endpoint is one entry of a list of servers.
type Endpoint struct {
	Server    string
	Zone      string
	Kind      string
	Cell      int64
	Status    EndpointStatus
	Weight    float64
	StartedAt int64
}

// AttemptOutcome is the outcome of an attempt, in the wire's words.
type AttemptOutcome string

// The outcomes.
const (
	OutcomeServed            AttemptOutcome = "done"
	OutcomeError             AttemptOutcome = "err"
	OutcomeRejected          AttemptOutcome = "busy"
	OutcomeTimedOut          AttemptOutcome = "etimedout"
	OutcomeConnectionRefused AttemptOutcome = "econnrefused"
	OutcomeConnectionReset   AttemptOutcome = "econnreset"
	OutcomeCanceled          AttemptOutcome = "ecanceled"
	OutcomeSkipped           AttemptOutcome = "skipped"
	OutcomeMiss              AttemptOutcome = "enoent"
)

// ActionKind tells which fields of an Action count.
type ActionKind int

// The kinds of action.
const (
	ActionSend           ActionKind = iota + 1 // Call, Node, Source, Timeout, Keep, MaxAge, How, Within, Effects
	ActionReject                               // Call, SendsRetryAfter
	ActionFail                                 // Call
	ActionCancel                               // Call, Attempt
	ActionSetTimer                             // In, Token
	ActionProbe                                // Node
	ActionSubscribe                            // On
	ActionResolve                              // nothing
	ActionLog                                  // Text
	ActionReportOverload                       // Node: this router found it crowded by itself
)

// The bits of Action.FetchFlags.
const (
	FetchCollapse        FetchFlags = 1 << iota // wait for a fill that is under way
	FetchCachedOnly                             // the source gives only what it has cached
	FetchSkipParentStore                        // the parent keeps no copy
	FetchRevalidate                             // an ageing copy is fetched anew while it is served
)

// Action is one thing the router wants done.
type Action struct {
	Kind          ActionKind
	RequestID     string
	Server        string
	Source        string
	LogText       string
	Attempt       int
	RetentionRank int
	FetchFlags    FetchFlags
	Timeout       int64
	MaxAge        int64
	RetryAfter    int64
	Delay         int64
	TimerToken    int64
	Enabled       bool
	// SendWithin is how long after its choice a ActionSend may go out, in microseconds: a repeat of what may have run must not leave past the time
	// in which its class drops repeats. Effects tells that running it twice does harm.
	SendWithin     int64
	HasSideEffects bool
}

// FetchFlags is a sum of bits that say how an edge cache fills a miss.
type FetchFlags int

// DiscoveryMode says how the endpoint list reaches the router.
type DiscoveryMode string

// The discovery modes.
const (
	DiscoveryAutomatic DiscoveryMode = "automatic" // changes come by themselves
	DiscoverySubscribe DiscoveryMode = "subscribe" // changes come after ActionSubscribe or ActionResolve only
)

// WeightSource says what the weights in the endpoint list tell.
type WeightSource string

// The sources of weights.
const (
	WeightsAbsent  WeightSource = "silent"  // always 1
	WeightsNominal WeightSource = "nominal" // the registered size
	WeightsRough   WeightSource = "rough"   // an approximate size
	WeightsLive    WeightSource = "live"    // the size divided by the load as of some time ago
)

// Idempotency says whether an attempt that may have run may be repeated.
type Idempotency string

// The kinds of idempotency.
const (
	IdempotentRead Idempotency = "read_like"       // may be repeated anywhere at any time
	IdempotentKey  Idempotency = "idempotency_key" // repeats are dropped within a scope and a window
	NotIdempotent  Idempotency = "non_idempotent"  // may be repeated only after a proof that it never ran
)

// DeduplicationScope is the group of servers that drop repeats of a request with an idempotency key.
type DeduplicationScope string

// The scopes of deduplication.
const (
	DeduplicatedByAll  DeduplicationScope = "all"
	DeduplicatedByZone DeduplicationScope = "zone"
	DeduplicatedByCell DeduplicationScope = "cell"
)

// PeerSources says which edge caches may be the source of a fill.
type PeerSources string

// The edge caches that may be sources.
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
	CacheStatusHitsReported CacheStatusReporting = "hit" // FilledFromSource stands for FilledFromOrigin too; no failures
	CacheStatusUnreported   CacheStatusReporting = "silent"
)

// LoadReportDelivery says how load reports come.
type LoadReportDelivery string

// The ways load reports come.
const (
	LoadReportPiggyback LoadReportDelivery = "piggyback" // with outcomes and probe results
	LoadReportPull      LoadReportDelivery = "pull"      // with probe results only
	LoadReportAbsent    LoadReportDelivery = "silent"
)

// UpdateMode says how the endpoints of an event change the list.
type UpdateMode string

// The modes of an update.
const (
	UpdateChanges     UpdateMode = "update"      // changed entries only
	UpdateReplace     UpdateMode = "replace"     // the complete list
	UpdateRestored    UpdateMode = "restored"    // the complete list as last held, possibly stale
	UpdateUnavailable UpdateMode = "unavailable" // a subscription or a resolve failed; the list stays
)

// EndpointStatus is the state of a server in the endpoint list.
type EndpointStatus string

// The states of a server.
const (
	EndpointHealthy  EndpointStatus = "healthy"
	EndpointDraining EndpointStatus = "cordoned"     // completes its work and takes nothing new
	EndpointRemoved  EndpointStatus = "deregistered" // in changes only
)

// CacheStatus is what a cache says of how it came by an answer, or why it has none. Its values are those of the wire.
type CacheStatus int

// The cache statuses; from SourceRejected on they are failures.
const (
	CacheStatusUnknown CacheStatus = iota
	CacheHit                       // found at the edge cache
	FilledFromSource               // filled from the source's copy
	FilledFromOrigin               // the origin was asked
	JoinedFill                     // joined a fill under way; with OutcomeMiss: there is one
	ServedStale                    // an old copy
	SourceRejected                 // the source rejected the fill
	SourceUnreachable              // the source is unreachable, broken or too slow
	SourceMissed                   // the source has no copy
	FillsExhausted                 // every place for fills at this cache is taken
	OriginFailed                   // the origin behind the parent failed
)

// IsFilled reports that the answer came from a source: from its own copy or from the origin.
func (s CacheStatus) IsFilled() bool { return s == FilledFromSource || s == FilledFromOrigin }

// IsFailure reports that no answer came, for a reason that the cache tells.
func (s CacheStatus) IsFailure() bool { return s >= SourceRejected }
