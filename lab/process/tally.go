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
	// maxLatencyMicros is the greatest latency that a histogram tells apart.
	maxLatencyMicros = 60_000_000
	// latencyDigits is the number of significant decimal digits that it keeps.
	latencyDigits = 3
)

// Tally counts requests by what became of them: each one in one of the first five fields.
type Tally struct {
	Served    int // with the body of their object
	Rejected  int
	Failed    int
	WrongBody int // served, with another body
	Lost      int // no response came: the connection closed, or the client's time was over
	// Resent is how many of all crossed the close of a connection and were sent once more.
	Resent int
	// Latency is that of served ones, in microseconds; nil: it is not kept.
	Latency *hdrhistogram.Histogram
}

// LoadResult is what became of the requests of a load.
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

// Total adds up the tallies of all classes, without latencies.
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

// record counts a request. err tells that no response came.
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
			_ = t.Latency.RecordValue(latency.Microseconds()) // one above maxLatencyMicros is left out
		}
	}
}
