package cache

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// RequestLog notes what reached the servers of one deployment, and judges what can be judged from there. It is safe for concurrent use.
type RequestLog struct {
	mu                  sync.Mutex
	requests            []Request
	attempts            map[string][]*attempt // by the request's id
	originFillsInFlight int                   // fills that ask the head office, out at present
	maxOriginFills      int                   // the most of those since Asks was last called
	totalOriginFills    int                   // in all
}

// endReason tells how an attempt ended.
type endReason string

const (
	endAnswered   endReason = "its answer"
	endCancelled  endReason = "DROP"
	endConnClosed endReason = "the close of its connection"
)

// attempt is the time from the arrival of a GET until its server had it no more. Arrivals are the kernel's times, so that the order in which this process
// reads its connections on a busy machine decides nothing. A close has no such time and counts from when it was read, an answer from before it is written.
type attempt struct {
	server     string
	clientAddr string // the connection's other end
	startedAt  time.Time
	endedAt    time.Time // zero: it is out
	endReason  endReason
}

// overlapTimeLayout is how a time stands in what Overlaps tells.
const overlapTimeLayout = "15:04:05.000000"

func (a *attempt) String() string { return a.server + " from " + a.clientAddr }

// NewRequestLog returns an empty log.
func NewRequestLog() *RequestLog { return &RequestLog{attempts: map[string][]*attempt{}} }

// Requests lists all attempts so far, in the order in which they were read.
func (l *RequestLog) Requests() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.requests)
}

// Overlaps describes the requests that had two attempts at servers at once, one line for each attempt that began while another was out.
func (l *RequestLog) Overlaps() (lines []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, attempts := range l.attempts {
		if len(attempts) > 1 {
			lines = append(lines, overlapsOf(id, attempts)...)
		}
	}
	slices.Sort(lines)
	return lines
}

// overlapsOf compares the attempts of one request with the one before that ended last.
func overlapsOf(id string, attempts []*attempt) (lines []string) {
	byTime := slices.SortedStableFunc(slices.Values(attempts), func(a, b *attempt) int { return a.startedAt.Compare(b.startedAt) })
	last := byTime[0]
	for _, next := range byTime[1:] {
		switch {
		case last.endedAt.IsZero():
			lines = append(lines, fmt.Sprintf("%s at %v at %s while out at %s", id, next.startedAt.Format(overlapTimeLayout), next, last))
		case next.startedAt.Before(last.endedAt):
			lines = append(lines, fmt.Sprintf("%s at %v at %s, %v before it ended at %s by %s", id, next.startedAt.Format(overlapTimeLayout), next, last.endedAt.Sub(next.startedAt), last, last.endReason))
		}
		if !last.endedAt.IsZero() && (next.endedAt.IsZero() || next.endedAt.After(last.endedAt)) {
			last = next
		}
	}
	return lines
}

// OriginFills tells of the fills that ask the head office: the most that were out at once since Asks was last called, and how many there were in all.
func (l *RequestLog) OriginFills() (most, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, l.maxOriginFills = l.maxOriginFills, l.originFillsInFlight
	return most, l.totalOriginFills
}

// beginOriginFill counts a fill that asks the head office, until what it returns is called.
func (l *RequestLog) beginOriginFill() (done func()) {
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

// begin notes an attempt, which is out until end is called.
func (l *RequestLog) begin(g Request, from string) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, g)
	a := &attempt{server: g.Server, clientAddr: from, startedAt: g.ArrivedAt}
	l.attempts[g.ID] = append(l.attempts[g.ID], a)
	return a
}

// end notes when and how an attempt ended. Of several ends the earliest counts: a DROP that arrived before the answer went out may be read after that.
func (l *RequestLog) end(a *attempt, at time.Time, how endReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.endedAt.IsZero() || at.Before(a.endedAt) {
		a.endedAt, a.endReason = at, how
	}
}
