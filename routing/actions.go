package routing

// ActionKind tells which fields of an Action count.
type ActionKind int

// The kinds of action.
const (
	ActionSend           ActionKind = iota + 1 // an attempt: RequestID, Server and all fields marked "send"
	ActionReject                               // the final answer that a retry is harmless: RequestID, RetryAfter
	ActionFail                                 // the final answer that the request failed: RequestID
	ActionCancel                               // stop waiting for an attempt: RequestID, Attempt
	ActionSetTimer                             // ask for an EventTimer: Delay, TimerToken
	ActionProbe                                // a health check: Server
	ActionSubscribe                            // ask for changes of the endpoint list, or stop that: Enabled
	ActionResolve                              // ask for the complete endpoint list once
	ActionLog                                  // a line for the log: LogText
	ActionReportOverload                       // tell other routers that a parent is overloaded: Server
)

// String returns the kind's name.
func (k ActionKind) String() string { return nameOf(actionKindNames[:], int(k)) }

var actionKindNames = [...]string{
	ActionSend: "send", ActionReject: "reject", ActionFail: "fail", ActionCancel: "cancel", ActionSetTimer: "set timer",
	ActionProbe: "probe", ActionSubscribe: "subscribe", ActionResolve: "resolve", ActionLog: "log",
	ActionReportOverload: "report overload",
}

// FetchFlags is a sum of bits that say how an edge cache gets what it does not have.
type FetchFlags int

// The bits of Action.FetchFlags.
const (
	FetchCollapse        FetchFlags = 1 << iota // wait for a fill of the same object that is under way
	FetchCachedOnly                             // the source gives only what it has cached, and asks nobody
	FetchSkipParentStore                        // the parent keeps no copy
	FetchRevalidate                             // an ageing copy is served, and fetched anew meanwhile
)

// Action is one thing that the engine wants done. Times are microseconds.
type Action struct {
	Kind          ActionKind
	RequestID     string
	Server        string
	Source        string     // send: the server that fills a miss; Server itself: none does; "": plain lookup
	LogText       string     // of ActionLog
	Attempt       int        // of ActionCancel: number of the attempt, from 0
	RetentionRank int        // send: at which a copy is kept, 1 to 3; 0: none is
	FetchFlags    FetchFlags // send
	Timeout       int64      // send: how long to wait for the response
	MaxAge        int64      // send: the oldest copy that will do; 0: that of the class
	RetryAfter    int64      // of ActionReject: how long the client should stay away
	Delay         int64      // of ActionSetTimer
	TimerToken    int64      // of ActionSetTimer
	Enabled       bool       // of ActionSubscribe
	// SendWithin is how long after this decision the attempt may still leave the router: a repeat of what may have run
	// must not leave once its class no longer drops repeats. HasSideEffects tells that running it twice does harm.
	// (send)
	SendWithin     int64
	HasSideEffects bool
}
