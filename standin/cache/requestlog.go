package cache

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// RequestLog records what reached the servers of one deployment, and finds what can be found from there: attempts of
// one request that overlap, and how many fills ask the origin at once. It is safe for concurrent use.
type RequestLog struct {
	mu                  sync.Mutex // guards the fields below
	requests            []Request
	attempts            map[string][]*attempt // by the request's id
	originFillsInFlight int
	maxOriginFills      int // greatest originFillsInFlight since OriginFills was last called
	totalOriginFills    int
}

// endReason tells how an attempt ended. Its text stands in what Overlaps returns.
type endReason string

const (
	endAnswered   endReason = "its answer"
	endCancelled  endReason = "DROP"
	endConnClosed endReason = "the close of its connection"
)

// attempt is the time from the arrival of a GET until its server had it no more. Arrivals are the kernel's times, so
// that the order in which this process reads its connections on a busy machine decides nothing. A close has no such
// time and counts from when it was read, an answer from before it is written.
type attempt struct {
	server     string
	clientAddr string
	startedAt  time.Time
	endedAt    time.Time // zero while the attempt is in flight
	endReason  endReason // empty while it is
}

// String names the connection that the attempt came on.
func (a *attempt) String() string { return a.server + " from " + a.clientAddr }

func (a *attempt) isInFlight() bool { return a.endedAt.IsZero() }

// endsAfter returns whether an attempt ends later than one that has ended.
func (a *attempt) endsAfter(ended *attempt) bool {
	return a.isInFlight() || a.endedAt.After(ended.endedAt)
}

// NewRequestLog returns an empty log.
func NewRequestLog() *RequestLog { return &RequestLog{attempts: map[string][]*attempt{}} }

// Requests returns all requests so far, in the order in which they were read.
func (l *RequestLog) Requests() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.requests)
}

// Overlaps describes, in sorted lines, each attempt that began while another attempt of the same request was in
// flight.
func (l *RequestLog) Overlaps() (lines []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, attempts := range l.attempts {
		lines = append(lines, overlapsOf(id, attempts)...)
	}
	slices.Sort(lines)
	return lines
}

// overlapTimeLayout is the layout of times in what Overlaps returns.
const overlapTimeLayout = "15:04:05.000000"

// overlapsOf compares each attempt of one request with the one before it that ended last. There is one at least.
func overlapsOf(id string, attempts []*attempt) (lines []string) {
	byStart := slices.SortedStableFunc(slices.Values(attempts), func(a, b *attempt) int {
		return a.startedAt.Compare(b.startedAt)
	})
	last := byStart[0]
	for _, next := range byStart[1:] {
		start := next.startedAt.Format(overlapTimeLayout)
		switch {
		case last.isInFlight():
			lines = append(lines, fmt.Sprintf("%s at %v at %s while out at %s", id, start, next, last))
			continue // nothing ends later
		case next.startedAt.Before(last.endedAt):
			overlap := last.endedAt.Sub(next.startedAt)
			lines = append(lines, fmt.Sprintf("%s at %v at %s, %v before it ended at %s by %s",
				id, start, next, overlap, last, last.endReason))
		}
		if next.endsAfter(last) {
			last = next
		}
	}
	return lines
}

// OriginFills returns the greatest number of fills from the origin that were in flight at once since it was last
// called, and how many there were in all.
func (l *RequestLog) OriginFills() (maxInFlight, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maxInFlight = l.maxOriginFills
	l.maxOriginFills = l.originFillsInFlight
	return maxInFlight, l.totalOriginFills
}

// beginOriginFill counts a fill from the origin, which is in flight until the returned function is called.
func (l *RequestLog) beginOriginFill() (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.originFillsInFlight++
	l.totalOriginFills++
	l.maxOriginFills = max(l.maxOriginFills, l.originFillsInFlight)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.originFillsInFlight--
	}
}

// begin records an attempt, which is in flight until end is called.
func (l *RequestLog) begin(request Request, clientAddr string) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
	a := &attempt{server: request.Server, clientAddr: clientAddr, startedAt: request.ArrivedAt}
	l.attempts[request.ID] = append(l.attempts[request.ID], a)
	return a
}

// end records when and how an attempt ended. Of several ends the earliest counts: a DROP that arrived before the
// response went out may be read after that.
func (l *RequestLog) end(a *attempt, at time.Time, reason endReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.isInFlight() || at.Before(a.endedAt) {
		a.endedAt = at
		a.endReason = reason
	}
}
