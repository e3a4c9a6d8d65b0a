package process

import (
	"bytes"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spantack/internal/router"
	"spantack/standin/cache"
)

const (
	// maxLatencyMicros is the highest latency that a histogram records.
	maxLatencyMicros = 60_000_000
	// latencyDigits is the number of significant decimal digits of a recorded latency.
	latencyDigits = 3
)

// Tally counts requests by outcome. Each request counts in exactly one of the fields Served to Lost.
type Tally struct {
	Served    int // with the body of their object
	Rejected  int
	Failed    int
	WrongBody int // served with a wrong body
	Lost      int // no response: the connection closed, or the client timed out
	// Resent is the number of requests that were sent again because a connection closed while they were in flight.
	Resent int
	// Latency is the latency of served requests in microseconds; nil: not recorded.
	Latency *hdrhistogram.Histogram
}

// LoadResult is the outcomes of the requests of a load, by class and by family.
type LoadResult struct {
	ByClass  map[string]*Tally
	ByFamily []Tally
}

// newLoadResult returns an empty result.
func newLoadResult(families int) *LoadResult {
	result := &LoadResult{ByClass: map[string]*Tally{}, ByFamily: make([]Tally, families)}
	for _, class := range Classes {
		result.ByClass[class] = &Tally{Latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
	}
	return result
}

// Total returns the sum of the tallies of all classes, without latencies.
func (r *LoadResult) Total() (sum Tally) {
	for _, tally := range r.ByClass {
		sum.Served += tally.Served
		sum.Rejected += tally.Rejected
		sum.Failed += tally.Failed
		sum.WrongBody += tally.WrongBody
		sum.Lost += tally.Lost
		sum.Resent += tally.Resent
	}
	return sum
}

// record counts a request. A non-nil err means that there was no response.
func (t *Tally) record(request *router.Request, response router.Response, err error, latency time.Duration) {
	switch {
	case err != nil:
		t.Lost++
	case response.Outcome == router.Rejected:
		t.Rejected++
	case response.Outcome != router.Served:
		t.Failed++
	case !bytes.Equal(response.Body, cache.Body(request.Object, fmt.Sprint(request.Chunk))):
		t.WrongBody++
	default:
		t.Served++
		if t.Latency != nil {
			_ = t.Latency.RecordValue(latency.Microseconds()) // fails above maxLatencyMicros; such latencies are omitted
		}
	}
}
