package routing

import "strconv"

// EventKind is the kind of an Event. It determines which fields of the Event are used.
type EventKind int

// The kinds of event.
const (
	EventEndpoints        EventKind = iota + 1 // the endpoint list: UpdateMode, Endpoints
	EventRequest                               // a client's request: RequestID and all fields marked "request"
	EventFirstByte                             // a streamed response began: RequestID, Attempt, Server, ResponseTime
	EventOutcome                               // an attempt has ended: RequestID and all fields marked "outcome"
	EventAborted                               // the client needs no response any more: RequestID
	EventTimer                                 // a timer has fired: TimerToken
	EventProbed                                // a health check has ended: Outcome, Server, ResponseTime, LoadReport
	EventPurge                                 // a purge: Object ("": all of PurgeGroup), PurgeGroup, PurgeAge
	EventSubset                                // a subset of servers: Subset and all fields marked "subset"
	EventOriginFillBounds                      // bounds on fills: MaxPotentialOriginFills, MaxConfirmedOriginFills
	EventParentOverloaded                      // routers of other sites report a parent as overloaded: Server
)

// String returns the kind's name.
func (k EventKind) String() string { return nameOf(eventKindNames[:], int(k)) }

var eventKindNames = [...]string{
	EventEndpoints: "endpoints", EventRequest: "request", EventFirstByte: "first byte", EventOutcome: "outcome",
	EventAborted: "aborted", EventTimer: "timer", EventProbed: "probed", EventPurge: "purge", EventSubset: "subset",
	EventOriginFillBounds: "origin fill bounds", EventParentOverloaded: "parent overloaded",
}

// nameOf returns names[i], or i in decimal if there is no such name.
func nameOf(names []string, i int) string {
	if i >= 0 && i < len(names) && names[i] != "" {
		return names[i]
	}
	return strconv.Itoa(i)
}

// Event is one input of the engine. Times are in microseconds. A field marked "request", "outcome" or "subset" is used
// by EventRequest, EventOutcome or EventSubset. The comment of each other kind lists all fields that it uses.
type Event struct {
	Kind           EventKind
	RequestID      string         // request, outcome
	Class          string         // request: by name
	Tenant         string         // request: by name; "": none
	Object         string         // request, and of EventPurge
	Server         string         // outcome: the server of the attempt
	UpdateMode     UpdateMode     // of EventEndpoints
	Outcome        AttemptOutcome // outcome
	Chunk          int64          // request: index of the object's chunk, from 0
	PurgeGroup     int64          // request: the purge group of the object; also of EventPurge
	Attempt        int            // outcome: number of the attempt, from 0
	CacheStatus    CacheStatus    // outcome
	SizeKB         float64        // request: of the chunk; 0: unknown
	Timeout        int64          // request: remaining time before the client gives up
	ResponseTime   int64          // outcome: since the attempt was sent
	UpstreamWait   int64          // outcome: how long Server waited for the fill's first byte or its failure
	PurgeAge       int64          // of EventPurge: time since the purge was issued
	MinVersionTime int64          // request: copies that left the origin before this time are invalid; 0: no bound
	MaxAge         int64          // request: raises the maximum age of a copy, if greater than that of the class
	TimerToken     int64          // of EventTimer: the token of its ActionSetTimer
	IsWrite        bool           // request: it is a write; the engine does not use this field
	IsClientRetry  bool           // request: the client retries an earlier request
	IsFinal        bool           // outcome: no attempt may follow: the request has its response or needs none
	Endpoints      []Endpoint     // of EventEndpoints
	LoadReport     []float64      // outcome: by LoadReporting.Fields; often absent

	// Subset is the number of the set of edge caches that may serve a request. OverflowSubset is the set that is used
	// if no cache of Subset is available. Subset 0 is all edge caches of the zone. OverflowSubset 0 is none. A subset
	// that no EventSubset has defined is empty. (Subset: request, subset; OverflowSubset: request)
	Subset, OverflowSubset int
	// ParentSubset is the number of the set of parents that are preferred for a request's fills. Other parents are
	// used only if none of these is available. 0: no preference. If no EventSubset has defined the subset, it is
	// empty, and fills go to the origin. (request)
	ParentSubset int
	// AccountingGroup is the group that is charged for the load of a subset's requests on the servers that all groups
	// share, which are the parents and the origin. Each group has its own circuit breakers there. CapacityShare is the
	// fraction, 0 to 1, of such a server's concurrency limit that is always available to the group. Group 0 is for
	// requests without a subset; it has no share. (subset)
	AccountingGroup int
	CapacityShare   float64
	SubsetServers   []string // subset: the names of its servers; empty: the subset is deleted

	// MaxPotentialOriginFills limits the fills in flight that may reach the origin. MaxConfirmedOriginFills limits the
	// fills that are known to reach it; if it is set, a fill may go to the origin only after a parent has reported that
	// it has no cached copy. 0: no bound other than the limit learned from the origin's responses.
	// (EventOriginFillBounds)
	MaxPotentialOriginFills float64
	MaxConfirmedOriginFills float64
}

// UpdateMode is how the endpoints of an event change the list.
type UpdateMode string

// The modes of an update.
const (
	UpdateChanges     UpdateMode = "update"      // only entries that changed
	UpdateReplace     UpdateMode = "replace"     // the complete list
	UpdateRestored    UpdateMode = "restored"    // the complete list that the router last received, possibly stale
	UpdateUnavailable UpdateMode = "unavailable" // a subscription or a call failed; the list is unchanged
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server    string // its name
	Zone      string
	Kind      string // one of Settings.Kinds
	Cell      int64  // servers of a cell share their deduplication records
	Status    EndpointStatus
	Weight    float64 // its meaning is given by Settings.WeightSource
	StartedAt int64   // start time of its process; 0: long ago
}

// EndpointStatus is the state of a server in the endpoint list.
type EndpointStatus string

// The states of a server.
const (
	EndpointHealthy  EndpointStatus = "healthy"
	EndpointDraining EndpointStatus = "cordoned"     // completes its requests and must not get new ones
	EndpointRemoved  EndpointStatus = "deregistered" // occurs only with UpdateChanges
)

// AttemptOutcome is how an attempt ended. The values are those of the wire protocol.
type AttemptOutcome string

// The outcomes of attempts. "Nothing ran" marks those that prove that the request was not executed.
const (
	OutcomeServed            AttemptOutcome = "done"
	OutcomeError             AttemptOutcome = "err"
	OutcomeRejected          AttemptOutcome = "busy" // by the cache or by its source; nothing ran
	OutcomeTimedOut          AttemptOutcome = "etimedout"
	OutcomeConnectionRefused AttemptOutcome = "econnrefused" // nothing ran
	OutcomeConnectionReset   AttemptOutcome = "econnreset"
	OutcomeCanceled          AttemptOutcome = "ecanceled"
	OutcomeSkipped           AttemptOutcome = "skipped" // never sent; nothing ran
	OutcomeMiss              AttemptOutcome = "enoent"  // no acceptable copy, and no fill; nothing ran
)

// mayHaveRun reports whether an attempt with this outcome may have been executed.
func (o AttemptOutcome) mayHaveRun() bool {
	switch o {
	case OutcomeRejected, OutcomeConnectionRefused, OutcomeSkipped, OutcomeMiss:
		return false
	}
	return true
}

// CacheStatus is how an edge cache obtained a response, or why it gave none, as reported by the cache. The
// values are those of the wire protocol.
type CacheStatus int

// The cache statuses. SourceRejected and the statuses after it say why a cache gave no response.
const (
	CacheStatusUnknown CacheStatus = iota
	CacheHit                       // found at the edge cache
	FilledFromSource               // filled from a copy that the source had
	FilledFromOrigin               // filled from the origin
	JoinedFill                     // served by a fill that was in progress; with OutcomeMiss: a fill is in progress
	ServedStale                    // a copy past its freshness lifetime
	SourceRejected                 // the source rejected the fill
	SourceUnreachable              // the source is unreachable, fails or is too slow
	SourceMissed                   // the source has no copy
	FillLimitReached               // the edge cache is at its fill limit
	OriginFailed                   // the parent's request to the origin failed
)

// String returns the status's name.
func (s CacheStatus) String() string { return nameOf(cacheStatusNames[:], int(s)) }

var cacheStatusNames = [...]string{
	CacheStatusUnknown: "unknown", CacheHit: "hit", FilledFromSource: "filled from source",
	FilledFromOrigin: "filled from origin", JoinedFill: "joined a fill", ServedStale: "served stale",
	SourceRejected: "source rejected", SourceUnreachable: "source unreachable", SourceMissed: "source has no copy",
	FillLimitReached: "fill limit reached", OriginFailed: "origin failed",
}

// IsFilled reports whether the response came through the source: from its own copy or from the origin.
func (s CacheStatus) IsFilled() bool { return s == FilledFromSource || s == FilledFromOrigin }

// IsFailure reports whether the status says why the cache gave no response.
func (s CacheStatus) IsFailure() bool { return s >= SourceRejected }
