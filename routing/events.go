package routing

import "strconv"

// EventKind tells which fields of an Event count.
type EventKind int

// The kinds of event.
const (
	EventEndpoints        EventKind = iota + 1 // the endpoint list: UpdateMode, Endpoints
	EventRequest                               // a client's request: RequestID and all fields marked "request"
	EventFirstByte                             // a streamed response began: RequestID, Attempt, Server, ResponseTime
	EventOutcome                               // an attempt has ended: RequestID and all fields marked "outcome"
	EventAborted                               // no answer is owed any more: RequestID
	EventTimer                                 // a timer has fired: TimerToken
	EventProbed                                // a health check has ended: Outcome, Server, ResponseTime, LoadReport
	EventPurge                                 // copies are out of date: Object ("": its group), PurgeGroup, PurgeAge
	EventSubset                                // a subset of servers: Subset and all fields marked "subset"
	EventOriginFillBounds                      // bounds on fills: MaxPossibleOriginFills, MaxConfirmedOriginFills
	EventParentOverloaded                      // routers of other sites find a parent overloaded: Server
)

// String returns the kind's name.
func (k EventKind) String() string { return nameOf(eventKindNames[:], int(k)) }

var eventKindNames = [...]string{
	EventEndpoints: "endpoints", EventRequest: "request", EventFirstByte: "first byte", EventOutcome: "outcome",
	EventAborted: "aborted", EventTimer: "timer", EventProbed: "probed", EventPurge: "purge", EventSubset: "subset",
	EventOriginFillBounds: "origin fill bounds", EventParentOverloaded: "parent overloaded",
}

// nameOf returns the name at a place, or the number where there is none.
func nameOf(names []string, i int) string {
	if i >= 0 && i < len(names) && names[i] != "" {
		return names[i]
	}
	return strconv.Itoa(i)
}

// Event is one thing that the engine is told. Times are microseconds.
type Event struct {
	Kind           EventKind
	RequestID      string         // request, outcome
	Class          string         // request: by name
	Tenant         string         // request: by name; "": none
	Object         string         // request, and of EventPurge
	Server         string         // outcome: that of the attempt
	UpdateMode     UpdateMode     // of EventEndpoints
	Outcome        AttemptOutcome // outcome
	Chunk          int64          // request: number of the object's chunk, from 0
	PurgeGroup     int64          // request: the group that a purge may name for the object
	Attempt        int            // outcome: number of the attempt, from 0
	CacheStatus    CacheStatus    // outcome
	SizeKB         float64        // request: of the chunk; 0: not told
	Timeout        int64          // request: how long the client still waits
	ResponseTime   int64          // outcome: since the attempt was sent
	UpstreamWait   int64          // outcome: until the source's first byte, or the fill's failure
	PurgeAge       int64          // of EventPurge: how long ago the purge was made
	MinVersionTime int64          // request: copies that left the origin before it are out of date; 0: no bound
	MaxAge         int64          // request: how old a copy may be, where that is more than its class allows
	TimerToken     int64          // of EventTimer: that of ActionSetTimer
	IsWrite        bool           // request
	IsClientRetry  bool           // request: the client repeats an earlier one
	IsFinal        bool           // outcome: the request has ended, with this outcome or before
	Endpoints      []Endpoint     // of EventEndpoints
	LoadReport     []float64      // outcome: by LoadReporting.Fields; often absent

	// Subset names the edge caches that a request may go to, and OverflowSubset those that it may go to when none of
	// the former can take it. 0 stands for all edge caches of the zone, in OverflowSubset for none. A subset that no
	// EventSubset has named holds no cache. (request, subset)
	Subset, OverflowSubset int
	// ParentSubset names the parents that a request's fills are sent to first; other parents get them only when none of
	// these can take them. 0: no preference. One that no EventSubset has named holds none: then the origin gets the
	// fills. (request)
	ParentSubset int
	// AccountingGroup is who is charged for what a subset's requests take of servers that all groups share, the
	// parents and the origin: each group has its own circuit breakers there, and CapacityShare of such a server's
	// concurrency limit, 0 to 1, is the group's whenever it wants it. Group 0 is that of requests without a subset;
	// it has no share. (subset)
	AccountingGroup int
	CapacityShare   float64
	SubsetServers   []string // subset: the names of its servers; none: the subset is dropped

	// MaxPossibleOriginFills bounds the fills in flight that may reach the origin, MaxConfirmedOriginFills those that
	// are known to: a parent is then asked for a cached copy before it may fetch one. 0: no bound but what is learned
	// from the origin's answers. (EventOriginFillBounds)
	MaxPossibleOriginFills  float64
	MaxConfirmedOriginFills float64
}

// UpdateMode says how the endpoints of an event change the list.
type UpdateMode string

// The modes of an update.
const (
	UpdateChanges     UpdateMode = "update"      // only entries that changed
	UpdateReplace     UpdateMode = "replace"     // the complete list
	UpdateRestored    UpdateMode = "restored"    // the complete list as the router last had it, possibly stale
	UpdateUnavailable UpdateMode = "unavailable" // a subscription broke or a call failed; the list stays as it is
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server    string // its name
	Zone      string
	Kind      string // one of Settings.Kinds
	Cell      int64  // servers of a cell share what they know for deduplication
	Status    EndpointStatus
	Weight    float64 // as Settings.WeightSource says
	StartedAt int64   // time of its process's start; 0: long ago
}

// EndpointStatus is the state of a server in the endpoint list.
type EndpointStatus string

// The states of a server.
const (
	EndpointHealthy  EndpointStatus = "healthy"
	EndpointDraining EndpointStatus = "cordoned"     // completes its requests and must get nothing new
	EndpointRemoved  EndpointStatus = "deregistered" // only among changes
)

// AttemptOutcome is how an attempt ended, in the words of the platform's wire.
type AttemptOutcome string

// The outcomes of attempts. Those that prove that nothing ran say so.
const (
	OutcomeServed            AttemptOutcome = "done"
	OutcomeError             AttemptOutcome = "err"
	OutcomeRejected          AttemptOutcome = "busy" // by the cache or by its source; nothing ran
	OutcomeTimedOut          AttemptOutcome = "etimedout"
	OutcomeConnectionRefused AttemptOutcome = "econnrefused" // nothing ran
	OutcomeConnectionReset   AttemptOutcome = "econnreset"
	OutcomeCanceled          AttemptOutcome = "ecanceled"
	OutcomeSkipped           AttemptOutcome = "skipped" // never sent; nothing ran
	OutcomeMiss              AttemptOutcome = "enoent"  // no copy that will do, and none was filled; nothing ran
)

// mayHaveRun reports that an attempt with this outcome may have had its effect.
func (o AttemptOutcome) mayHaveRun() bool {
	switch o {
	case OutcomeRejected, OutcomeConnectionRefused, OutcomeSkipped, OutcomeMiss:
		return false
	}
	return true
}

// CacheStatus is what an edge cache says of how it came by a response, or why it has none. The values are those of the
// platform's wire.
type CacheStatus int

// The cache statuses. From SourceRejected on they tell why there is no response.
const (
	CacheStatusUnknown CacheStatus = iota
	CacheHit                       // found at the edge cache
	FilledFromSource               // filled from a copy that the source had
	FilledFromOrigin               // the origin was asked
	JoinedFill                     // waited for a fill under way; with OutcomeMiss: there is one under way
	ServedStale                    // a copy past its freshness lifetime
	SourceRejected                 // the source rejected the fill
	SourceUnreachable              // the source is unreachable, broken or too slow
	SourceMissed                   // the source has no copy
	FillsExhausted                 // all places for fills at the edge cache are taken
	OriginFailed                   // the origin failed the parent
)

// String returns the status's name.
func (s CacheStatus) String() string { return nameOf(cacheStatusNames[:], int(s)) }

var cacheStatusNames = [...]string{
	CacheStatusUnknown: "unknown", CacheHit: "hit", FilledFromSource: "filled from source",
	FilledFromOrigin: "filled from origin", JoinedFill: "joined a fill", ServedStale: "served stale",
	SourceRejected: "source rejected", SourceUnreachable: "source unreachable", SourceMissed: "source missed",
	FillsExhausted: "fills exhausted", OriginFailed: "origin failed",
}

// IsFilled reports that the response came through the source: from its own copy or from the origin.
func (s CacheStatus) IsFilled() bool { return s == FilledFromSource || s == FilledFromOrigin }

// IsFailure reports that the edge cache says why there is no response.
func (s CacheStatus) IsFailure() bool { return s >= SourceRejected }
