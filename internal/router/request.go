package router

// Request is a client's request for one chunk of an object. Times are milliseconds.
type Request struct {
	ID             string  // unique among open requests
	Class          string  // name of a class in the settings
	Tenant         string  // tenant id as the front end passes it; often empty
	Object         string  // id of the requested object
	Chunk          int64   // index of the chunk in the object, from 0
	PurgeGroup     int64   // group of objects that can be purged together
	SizeKB         float64 // expected size of the response; 0: not known
	IdempotencyKey string  // lets servers recognize a repeated request; empty: none
	ClientETag     string  // ETag of the copy that the client holds; empty: none
	ClientTimeout  float64 // how long the client waits, from ArrivedAt
	ArrivedAt      float64 // Unix milliseconds
	Body           []byte

	// ClientDeparted reports whether the client has left. It checks the client's connection, so it may report this
	// before the context of Serve ends, and it may block for some milliseconds. If nil, only the context is used.
	ClientDeparted func() bool
}

// Outcome is the kind of a final response.
type Outcome int

// The kinds of final responses.
const (
	NoResponse Outcome = iota // the client has left: no response is sent
	Served                    // with Body or NotModified
	Rejected                  // with RetryAfter; a retry by the client is safe
	Failed
)

// String returns the outcome in words for logs and tests, "unknown outcome" for any other value.
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
	Release     func()  // releases the memory reserved for Body; nil: none is reserved. See Discard
	NotModified bool    // the client's own copy is current; Body is empty
	RetryAfter  float64 // milliseconds; only with Rejected
}

// Discard releases the memory reserved for the body. The caller of Serve calls it once it needs Body no longer, or has
// accounted for it otherwise.
func (r *Response) Discard() {
	if r.Release != nil {
		r.Release()
	}
}
