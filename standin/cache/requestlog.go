package cache

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// RequestLog records the requests that the servers of one deployment received, and the fills from the origin. From
// these records it derives overlapping attempts of one request and the number of concurrent fills from the origin. It
// is safe for concurrent use.
type RequestLog struct {
	mu                  sync.Mutex // guards the fields below
	requests            []Request
	attempts            map[string][]*attempt // by the request's id
	originFillsInFlight int
	maxOriginFills      int // maximum of originFillsInFlight since OriginFills was last called
	totalOriginFills    int
}

// endReason is why an attempt ended. The lines that Overlaps returns contain its text.
type endReason string

const (
	endAnswered   endReason = "its response"
	endCancelled  endReason = "DROP"
	endConnClosed endReason = "the close of its connection"
)

// attempt is the time from the arrival of a GET until the server stopped working on it. Arrival times come from the
// kernel. Therefore the order in which this process reads its connections on a busy machine has no influence on them.
// The kernel gives no time for the close of a connection. The time when this process detects the close is used instead.
// An attempt that is answered ends just before its response is written.
type attempt struct {
	server     string
	clientAddr string
	startedAt  time.Time
	endedAt    time.Time // zero while the attempt is in flight
	endReason  endReason // empty while the attempt is in flight
}

// String returns the server's name and the client address of the attempt's connection.
func (a *attempt) String() string { return a.server + " from " + a.clientAddr }

func (a *attempt) isInFlight() bool { return a.endedAt.IsZero() }

// endsAfter returns whether a is in flight or ended later than other. The attempt other must not be in flight.
func (a *attempt) endsAfter(other *attempt) bool {
	return a.isInFlight() || a.endedAt.After(other.endedAt)
}

// NewRequestLog returns an empty log.
func NewRequestLog() *RequestLog { return &RequestLog{attempts: map[string][]*attempt{}} }

// Requests returns all requests so far, in the order in which they were read.
func (l *RequestLog) Requests() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.requests)
}

// Overlaps returns one line for each attempt that started while another attempt of the same request was in flight. The
// lines are sorted.
func (l *RequestLog) Overlaps() (lines []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, attempts := range l.attempts {
		lines = append(lines, overlapsOf(id, attempts)...)
	}
	slices.Sort(lines)
	return lines
}

// overlapTimeLayout is the layout of times in the lines that Overlaps returns.
const overlapTimeLayout = "15:04:05.000000"

// overlapsOf returns the lines of Overlaps for one request. It compares each attempt with the earlier one that ended
// last. There must be at least one attempt.
func overlapsOf(id string, attempts []*attempt) (lines []string) {
	byStart := slices.SortedStableFunc(slices.Values(attempts), func(a, b *attempt) int {
		return a.startedAt.Compare(b.startedAt)
	})
	last := byStart[0]
	for _, next := range byStart[1:] {
		start := next.startedAt.Format(overlapTimeLayout)
		switch {
		case last.isInFlight():
			lines = append(lines, fmt.Sprintf(
				"request %s, attempt started at %v on server %s while another was in flight on %s",
				id, start, next, last))
			continue // no attempt ends later than one in flight
		case next.startedAt.Before(last.endedAt):
			overlap := last.endedAt.Sub(next.startedAt)
			lines = append(lines, fmt.Sprintf(
				"request %s, attempt started at %v on server %s, %v before the one on %s was ended by %s",
				id, start, next, overlap, last, last.endReason))
		}
		if next.endsAfter(last) {
			last = next
		}
	}
	return lines
}

// OriginFills returns the maximum number of concurrent fills from the origin since its last call, and the total number
// of such fills since the log was created.
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

// end records when and why an attempt ended. It may be called several times for one attempt, and the earliest time
// counts. This happens if a DROP arrives before the response is sent, but is read afterwards.
func (l *RequestLog) end(a *attempt, at time.Time, reason endReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.isInFlight() || at.Before(a.endedAt) {
		a.endedAt = at
		a.endReason = reason
	}
}
