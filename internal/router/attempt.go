package router

import "spantack/routing"

// Attempt is one attempt of a request at one server. Times are milliseconds.
type Attempt struct {
	*Request
	Server         string             // id of the server
	Source         string             // id of the server that fills a miss; empty: none
	Timeout        float64            // how long the router waits for the result
	RetentionRank  int                // how long the server is to keep the copy, as a rank; only with a Source
	MaxAge         float64            // of the copy; 0: the class's fresh time
	FetchFlags     routing.FetchFlags // how the copy is to be fetched from Source
	SendWithin     float64            // from the decision on; 0: as long as its server may be sent to
	HasSideEffects bool               // run twice it does harm: no other attempt may be taken for it
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome     routing.AttemptOutcome
	CacheStatus routing.CacheStatus // how the server came by the copy, or why it has none
	SourceWait  float64             // milliseconds that the server waited for Source
	Body        []byte
	NotModified bool    // the client's own copy is current: no body
	LoadReport  string  // the server's load report as it came, "NAME:VALUE;NAME:VALUE"; empty: none
	CopyMadeAt  float64 // Unix milliseconds at which the origin gave the copy out; 0: not told
}

// PendingAttempt is an attempt in flight. Whoever sent it owns it until its result has come or it was canceled.
type PendingAttempt interface {
	// Done yields the attempt's result, once; nothing after Cancel.
	Done() <-chan AttemptResult
	// Cancel gives the attempt up; mayRetry tells that a retry may follow. It returns once the server has been told or
	// the connection closed, or neither can be done soon.
	Cancel(mayRetry bool)
}

// Upstream carries attempts to servers. Send must not wait for the network.
type Upstream interface {
	Send(Attempt) PendingAttempt
}
