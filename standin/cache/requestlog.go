package cache

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// RequestLog notes what reached the servers of one deployment, and judges what can be judged from there. It is safe for concurrent use.
type RequestLog struct {
	mu       sync.Mutex
	gets     []Get
	attempts map[string][]*attempt // by the request's id
	asks     int                   // fills that ask the head office, out at present
	most     int                   // the most of those since Asks was last called
	asked    int                   // in all
}

// ending tells how an attempt ended.
type ending string

const (
	answered ending = "its answer"
	dropped  ending = "DROP"
	closed   ending = "the close of its connection"
)

// attempt is the time from the arrival of a GET until its server had it no more. Arrivals are the kernel's times, so that the order in which this process
// reads its connections on a busy machine decides nothing. A close has no such time and counts from when it was read, an answer from before it is written.
type attempt struct {
	server string
	from   string // the connection's other end
	begun  time.Time
	ended  time.Time // zero: it is out
	ending ending
}

// overlapTime is how a time stands in what Overlaps tells.
const overlapTime = "15:04:05.000000"

func (a *attempt) String() string { return a.server + " from " + a.from }

// NewRequestLog returns an empty log.
func NewRequestLog() *RequestLog { return &RequestLog{attempts: map[string][]*attempt{}} }

// Gets lists all attempts so far, in the order in which they were read.
func (l *RequestLog) Gets() []Get {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.gets)
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
	byTime := slices.SortedStableFunc(slices.Values(attempts), func(a, b *attempt) int { return a.begun.Compare(b.begun) })
	last := byTime[0]
	for _, next := range byTime[1:] {
		switch {
		case last.ended.IsZero():
			lines = append(lines, fmt.Sprintf("%s at %v at %s while out at %s", id, next.begun.Format(overlapTime), next, last))
		case next.begun.Before(last.ended):
			lines = append(lines, fmt.Sprintf("%s at %v at %s, %v before it ended at %s by %s", id, next.begun.Format(overlapTime), next, last.ended.Sub(next.begun), last, last.ending))
		}
		if !last.ended.IsZero() && (next.ended.IsZero() || next.ended.After(last.ended)) {
			last = next
		}
	}
	return lines
}

// Asks tells of the fills that ask the head office: the most that were out at once since Asks was last called, and how many there were in all.
func (l *RequestLog) Asks() (most, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, l.most = l.most, l.asks
	return most, l.asked
}

// ask counts a fill that asks the head office, until what it returns is called.
func (l *RequestLog) ask() (done func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asks++
	l.asked++
	l.most = max(l.most, l.asks)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.asks--
	}
}

// begin notes an attempt, which is out until end is called.
func (l *RequestLog) begin(g Get, from string) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gets = append(l.gets, g)
	a := &attempt{server: g.Server, from: from, begun: g.At}
	l.attempts[g.ID] = append(l.attempts[g.ID], a)
	return a
}

// end notes when and how an attempt ended. Of several ends the earliest counts: a DROP that arrived before the answer went out may be read after that.
func (l *RequestLog) end(a *attempt, at time.Time, how ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.ended.IsZero() || at.Before(a.ended) {
		a.ended, a.ending = at, how
	}
}
