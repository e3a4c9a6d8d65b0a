package routing

// ActionKind is the kind of an Action. It determines which fields of the Action are used.
type ActionKind int

// The kinds of action.
const (
	ActionSend           ActionKind = iota + 1 // an attempt: RequestID, Server and all fields marked "send"
	ActionReject                               // final answer: a rejection, a retry is safe; RequestID, RetryAfter
	ActionFail                                 // final answer: the request failed: RequestID
	ActionCancel                               // stop waiting for an attempt: RequestID, Attempt
	ActionSetTimer                             // request an EventTimer: Delay, TimerToken
	ActionProbe                                // a health check: Server
	ActionSubscribe                            // subscribe to changes of the endpoint list, or unsubscribe: Enabled
	ActionResolve                              // request the complete endpoint list once
	ActionLog                                  // a line for the log: LogText
	ActionReportOverload                       // report to other routers that a parent is overloaded: Server
)

// String returns the kind's name.
func (k ActionKind) String() string { return nameOf(actionKindNames[:], int(k)) }

var actionKindNames = [...]string{
	ActionSend: "send", ActionReject: "reject", ActionFail: "fail", ActionCancel: "cancel", ActionSetTimer: "set timer",
	ActionProbe: "probe", ActionSubscribe: "subscribe", ActionResolve: "resolve", ActionLog: "log",
	ActionReportOverload: "report overload",
}

// FetchFlags is a bit set that controls how an edge cache fills a miss.
type FetchFlags int

// The bits of Action.FetchFlags.
const (
	FetchCollapse        FetchFlags = 1 << iota // join a fill of the same object that is in progress
	FetchCachedOnly                             // the source serves only a cached copy and does not fill a miss itself
	FetchSkipParentStore                        // the parent stores no copy; never set by the engine
	FetchRevalidate                             // serve a cached copy and renew it meanwhile; never set by the engine
)

// Action is one instruction of the engine to the router. Times are in microseconds.
type Action struct {
	Kind      ActionKind
	RequestID string
	Server    string
	// Source is the server that fills a miss, or the origin to which Server forwards an uncacheable request. Server
	// itself: no fill. "": an uncacheable request that is sent directly to the origin. (send)
	Source        string
	LogText       string     // of ActionLog
	Attempt       int        // of ActionCancel: number of the attempt, from 0
	RetentionRank int        // send: rank at which the copy is stored, 1 to 3; 0: not stored
	FetchFlags    FetchFlags // send
	Timeout       int64      // send: how long to wait for the response
	MaxAge        int64      // send: maximum age of the copy; 0: no limit
	RetryAfter    int64      // of ActionReject: how long the client should wait before a retry
	Delay         int64      // of ActionSetTimer
	TimerToken    int64      // of ActionSetTimer
	Enabled       bool       // of ActionSubscribe
	// SendWithin is the time after this decision within which the attempt may leave the router. A retry of a
	// request that may have run must not be sent after the deduplication window of the class.
	// HasSideEffects is true if the request must not run twice. (send)
	SendWithin     int64
	HasSideEffects bool
}
