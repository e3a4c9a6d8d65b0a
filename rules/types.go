package rules

// Settings is what an instance is told once, at its start. Fields carry the names of the wire's settings, so that
// encoding/json fills them without tags. All times are microseconds.
type Settings struct {
	Classes      []Class
	Discovery    string // "automatic" or "subscribe"
	Extra        Extra
	Guarantees   Guarantees
	Kinds        []string
	Permissions  Permissions
	Prices       Prices
	Report       Report
	Siblings     int
	Tenants      []Tenant
	WeightSource string // "silent", "nominal", "rough" or "live"
	Zone         string
	Zones        []string

	OverShareWorth float64
}

// Class is one class of requests.
type Class struct {
	Name        string
	AimStretch  float64
	Deadline    int64
	Promise     int64
	Gain        float64
	LateWorth   float64
	Group       string // "all", "zone" or "cell"
	Idempotency string // "read_like", "idempotency_key" or "non_idempotent"
	MemorySpan  int64
	Stream      bool
}

// Extra describes the tiers behind the router; the slices are by class or, where the name says so, by zone.
type Extra struct {
	FreshFor          []int64
	GraceFor          []int64
	HeedWithin        int64
	MasterKind        int
	MultiPart         []bool
	Neighbours        string // "silent", "location" or "any"
	NotesGiven        string // "all", "hit" or "silent"
	PaceKbPerS        float64
	ParentFloor       float64
	ParentWarmsIn     int64
	PassOn            []bool
	PurgeTakes        int64
	SeatsByZone       []int
	SharesFills       bool
	ShieldKind        int // -1: no parents
	StaleEarns        []float64
	Straight          bool
	TransitPrice      float64
	UpperFallMultiple float64
	ZoneLinkKbPerS    []float64
}

// Guarantees holds the figures of the rules.
type Guarantees struct {
	AskWithin         int64
	Cold              int64
	ColdFrom          float64
	Fall              int64
	GraceToAnswer     int64
	StopSendingWithin int64
	TipMultiple       float64
}

// Permissions says what the deployment allows.
type Permissions struct {
	Cancelling    bool
	DialTimeout   int64
	MaxAttempts   int
	MaxRetryAfter int64
	Probing       bool
	RetryAfter    bool
	SecondCopies  bool
}

// Prices are points taken off the result.
type Prices struct {
	Origin, Probe, Waste float64
}

// Report says what load reports hold and how they come.
type Report struct {
	Fields []string
	How    string // "piggyback", "pull" or "silent"
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name      string
	QuotaPerS float64
	Share     float64
}

// EventKind tells which fields of an Event count.
type EventKind int

// The kinds of event.
const (
	Members   EventKind = iota + 1 // Mode, Rows
	Request                        // Call, Class, Tenant, Object, Part, Group, SizeKb, ExpiresIn, Write, IsRetry, Set, Spill
	FirstByte                      // Call, Attempt, Node, Rtt
	Outcome                        // Call, Attempt, Node, Code, Rtt, Final, Note, UpstreamWait, Metrics
	Gone                           // Call
	Timer                          // Token
	Probed                         // Code, Node, Rtt, Metrics
	Purged                         // Object ("" for a whole group), Group, Age
	Confine                        // Set, Account, Share, Names; with Set 0: Behind, Asks
	Crowded                        // Node: routers of other depots find it so
)

// Event is one thing the router is told.
type Event struct {
	Kind         EventKind
	Call         string
	Class        string
	Tenant       string
	Object       string
	Node         string
	Mode         string // of Members: "update", "replace", "restored" or "unavailable"
	Code         Code
	Part         int64
	Group        int64
	Attempt      int
	Note         int
	SizeKb       float64
	ExpiresIn    int64
	Rtt          int64
	UpstreamWait int64
	Age          int64 // of Purged: how long ago
	MadeFrom     int64 // of Request: copies made before this time are out of date; 0: none is for that
	MayAge       int64 // of Request: how old a copy may be, where that is more than its class allows
	Token        int64
	Write        bool
	IsRetry      bool
	Final        bool
	Rows         []Row
	Metrics      []float64

	// Set names the caches that a request may go to, Spill those that it may go to when none of them can take it.
	// 0 stands for all caches of the zone, in Spill for none. A set that no Confine named holds no cache.
	Set, Spill int
	// Above names the set of area caches that fills of a request are asked of first, all others only when none of them can
	// take it. 0: all alike. A set that no Confine named holds none, and then the origin is asked.
	Above int
	// Account is who pays for what a set's requests take of servers that all share (parents, the origin): breakers
	// are kept for each, and Share of such a server's limit, 0 to 1, is an account's own whenever it wants it.
	// Account 0 is that of unconfined requests, which have no share.
	Account int
	Share   float64
	Names   []string // of the set's caches; none: the set is dropped
	Behind  float64  // the most fills out that may ask the origin in turn; 0: as learnt from its answers alone
	Asks    float64  // the most fills out that do; a source is looked at first, so that this is known. 0: as learnt
}

// Row is one entry of a list of servers.
type Row struct {
	Node   string
	Zone   string
	Kind   string
	Cell   int64
	Status string // "healthy", "cordoned" or "deregistered"
	Weight float64
	CameUp int64
}

// Code is the outcome of an attempt, in the wire's words.
type Code string

// The outcomes.
const (
	Done      Code = "done"
	Failed    Code = "err"
	Busy      Code = "busy"
	TimedOut  Code = "etimedout"
	Refused   Code = "econnrefused"
	Reset     Code = "econnreset"
	Cancelled Code = "ecanceled"
	Skipped   Code = "skipped"
	Miss      Code = "enoent"
)

// ActionKind tells which fields of an Action count.
type ActionKind int

// The kinds of action.
const (
	Get       ActionKind = iota + 1 // Call, Node, Source, TimeOut, Keep, MaxAge, How, Within, Effects
	Refuse                          // Call, RetryAfter
	Fail                            // Call
	Cancel                          // Call, Attempt
	SetTimer                        // In, Token
	Probe                           // Node
	Subscribe                       // On
	Resolve                         // nothing
	Log                             // Text
	Tell                            // Node: this router found it crowded by itself
)

// The bits of Action.How.
const (
	Join       = 1
	HeldOnly   = 2
	PassParent = 4
	Renew      = 8
)

// Action is one thing the router wants done.
type Action struct {
	Kind       ActionKind
	Call       string
	Node       string
	Source     string
	Text       string
	Attempt    int
	Keep       int
	How        int
	TimeOut    int64
	MaxAge     int64
	RetryAfter int64
	In         int64
	Token      int64
	On         bool
	// Within is how long after its choice a Get may go out, in microseconds: a repeat of what may have run must not leave past the time
	// in which its class drops repeats. Effects tells that running it twice does harm.
	Within  int64
	Effects bool
}
