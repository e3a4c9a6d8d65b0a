package router

import "spantack/routing"

// Attempt is one attempt of a request at one server. Times are milliseconds.
type Attempt struct {
	*Request
	Server         string             // id of the server
	Source         string             // id of the server from which a miss is filled; empty: none
	Timeout        float64            // how long the router waits for the result
	RetentionRank  int                // rank that determines how long the server keeps the copy, 1 to 3; 0: none is kept
	MaxAge         float64            // maximum age of the copy; 0: the fresh time of the class
	FetchFlags     routing.FetchFlags // how the server fetches the copy from Source
	SendWithin     float64            // time after the call of Send within which it must be sent; 0: no limit of its own
	HasSideEffects bool               // it must not run twice; the response to another attempt must not end it
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Outcome     routing.AttemptOutcome
	CacheStatus routing.CacheStatus // how the server got the copy, or why it has none
	SourceWait  float64             // milliseconds that the server waited for Source; the module's UpstreamWait
	Body        []byte
	Release     func()  // releases the memory reserved for Body; nil: none is reserved. See Discard
	NotModified bool    // the client's own copy, whose ETag is ETag, is current: no body
	ETag        string  // ETag of the copy; empty: not reported
	LoadReport  string  // the server's load report as received, "NAME:VALUE;NAME:VALUE"; empty: none
	CopyMadeAt  float64 // when the origin issued the copy, in Unix milliseconds; 0: not reported
}

// Discard releases the memory reserved for the body. The owner of a result calls it, or passes Body and Release on.
func (r *AttemptResult) Discard() {
	if r.Release != nil {
		r.Release()
	}
}

// PendingAttempt is an attempt in flight. Its sender owns it until it has received the result or canceled the attempt.
type PendingAttempt interface {
	// Done returns the channel that delivers the attempt's result, once. It delivers nothing after Cancel.
	Done() <-chan AttemptResult
	// Cancel cancels the attempt; mayRetry is set if a retry may follow. It returns once the server has been notified
	// or the connection is closed, or after a short wait if neither is possible soon.
	Cancel(mayRetry bool)
}

// Upstream sends attempts to servers. Send must not wait for the network.
type Upstream interface {
	Send(Attempt) PendingAttempt
}
