package rules

// Settings is what an instance is told once, at its start. The tags of fields are the names of the
// wire's settings. All times are microseconds.
type Settings struct {
	Classes      []Class     `json:"Classes"`
	Discovery    string      `json:"Discovery"` // "automatic" or "subscribe"
	Extra        Extra       `json:"Extra"`
	Guarantees   Guarantees  `json:"Guarantees"`
	Kinds        []string    `json:"Kinds"`
	Permissions  Permissions `json:"Permissions"`
	Prices       Prices      `json:"Prices"`
	Report       Report      `json:"Report"`
	Siblings     int         `json:"Siblings"`
	Tenants      []Tenant    `json:"Tenants"`
	WeightSource string      `json:"WeightSource"` // "silent", "nominal", "rough" or "live"
	Zone         string      `json:"Zone"`
	Zones        []string    `json:"Zones"`

	OverShareWorth float64 `json:"OverShareWorth"`
}

// Class is one class of requests.
type Class struct {
	Name        string  `json:"Name"`
	AimStretch  float64 `json:"AimStretch"`
	Deadline    int64   `json:"Deadline"`
	Promise     int64   `json:"Promise"`
	Gain        float64 `json:"Gain"`
	LateWorth   float64 `json:"LateWorth"`
	Group       string  `json:"Group"`       // "all", "zone" or "cell"
	Idempotency string  `json:"Idempotency"` // "read_like", "idempotency_key" or "non_idempotent"
	MemorySpan  int64   `json:"MemorySpan"`
	Stream      bool    `json:"Stream"`
}

// Extra describes the tiers behind the router; the slices are by class or, where the name says so, by zone.
type Extra struct {
	FreshFor          []int64   `json:"FreshFor"`
	GraceFor          []int64   `json:"GraceFor"`
	HeedWithin        int64     `json:"HeedWithin"`
	MasterKind        int       `json:"MasterKind"`
	MultiPart         []bool    `json:"MultiPart"`
	Neighbours        string    `json:"Neighbours"` // "silent", "location" or "any"
	NotesGiven        string    `json:"NotesGiven"` // "all", "hit" or "silent"
	PaceKbPerS        float64   `json:"PaceKbPerS"`
	ParentFloor       float64   `json:"ParentFloor"`
	ParentWarmsIn     int64     `json:"ParentWarmsIn"`
	PassOn            []bool    `json:"PassOn"`
	PurgeTakes        int64     `json:"PurgeTakes"`
	SeatsByZone       []int     `json:"SeatsByZone"`
	SharesFills       bool      `json:"SharesFills"`
	ShieldKind        int       `json:"ShieldKind"` // -1: no parents
	StaleEarns        []float64 `json:"StaleEarns"`
	Straight          bool      `json:"Straight"`
	TransitPrice      float64   `json:"TransitPrice"`
	UpperFallMultiple float64   `json:"UpperFallMultiple"`
	ZoneLinkKbPerS    []float64 `json:"ZoneLinkKbPerS"`
}

// Guarantees holds the figures of the rules.
type Guarantees struct {
	AskWithin         int64   `json:"AskWithin"`
	Cold              int64   `json:"Cold"`
	ColdFrom          float64 `json:"ColdFrom"`
	Fall              int64   `json:"Fall"`
	GraceToAnswer     int64   `json:"GraceToAnswer"`
	StopSendingWithin int64   `json:"StopSendingWithin"`
	TipMultiple       float64 `json:"TipMultiple"`
}

// Permissions says what the deployment allows.
type Permissions struct {
	Cancelling    bool  `json:"Cancelling"`
	DialTimeout   int64 `json:"DialTimeout"`
	MaxAttempts   int   `json:"MaxAttempts"`
	MaxRetryAfter int64 `json:"MaxRetryAfter"`
	Probing       bool  `json:"Probing"`
	RetryAfter    bool  `json:"RetryAfter"`
	SecondCopies  bool  `json:"SecondCopies"`
}

// Prices are points taken off the result.
type Prices struct {
	Origin float64 `json:"Origin"`
	Probe  float64 `json:"Probe"`
	Waste  float64 `json:"Waste"`
}

// Report says what load reports hold and how they come.
type Report struct {
	Fields []string `json:"Fields"`
	How    string   `json:"How"` // "piggyback", "pull" or "silent"
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name      string  `json:"Name"`
	QuotaPerS float64 `json:"QuotaPerS"`
	Share     float64 `json:"Share"`
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
