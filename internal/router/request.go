package router

// Request is one client's request. Times are milliseconds.
type Request struct {
	ID             string  // unique among open requests
	Class          string  // one of the settings' classes
	Tenant         string  // as the front names it; often empty
	Object         string  // what is asked for
	Chunk          int64   // of the object
	PurgeGroup     int64   // group of objects that can be purged together
	SizeKB         float64 // expected size of the response; 0: not known
	IdempotencyKey string  // lets servers recognize a repeat; empty: none
	ClientETag     string  // tag of the copy that the client holds; empty: none
	ClientTimeout  float64 // how long the client waits from ArrivedAt on
	ArrivedAt      float64 // Unix milliseconds
	Body           []byte

	// ClientDeparted reports whether the client has left, as soon as that can be known: the context of Serve may end
	// later. It looks at the client's connection, and may wait some milliseconds. Nil: only the context tells.
	ClientDeparted func() bool
}

// Outcome is the kind of a final response.
type Outcome int

// The outcomes.
const (
	NoResponse Outcome = iota // the client has left: no response is owed
	Served                    // Body, or NotModified
	Rejected                  // RetryAfter; trying again is harmless
	Failed
)

// String returns the outcome in words, for logs and tests.
func (o Outcome) String() string {
	switch o {
	case NoResponse:
		return "no response"
	case Served:
		return "served"
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	default:
		return "unknown outcome"
	}
}

// Response is the one final response to a request.
type Response struct {
	Outcome     Outcome
	Body        []byte
	NotModified bool    // the client's own copy is current: no body
	RetryAfter  float64 // milliseconds; only of Rejected
}
