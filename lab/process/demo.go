package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"spantack/standin/cache"
)

const (
	demoRequests  = 1500
	demoPerSecond = 150
)

// Demo starts a small deployment, sends it a load of the three classes, and prints the outcomes. progress is called
// with the number of requests that have ended.
func Demo(ctx context.Context, out io.Writer, progress func(done, all int)) (err error) {
	fmt.Fprintln(out, "building the router and starting 4 edge caches, a parent, the origin "+
		"and a discovery service")
	d, err := Start(ctx, Options{Routers: 1, EdgeCaches: 4, ResponseDelay: 3 * time.Millisecond})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.Stop()) }()
	fmt.Fprintf(out, "router ready at %s; %d requests in %d s\n", d.Routers[0].Addr, demoRequests,
		demoRequests/demoPerSecond)
	result, err := d.RunLoad(ctx, Load{
		Seed:             1,
		Requests:         demoRequests,
		Interval:         time.Second / demoPerSecond,
		ConnsPerRouter:   3,
		Families:         8,
		ObjectsPerFamily: 40,
		OnResponse:       func(done int) { progress(done, demoRequests) },
	})
	if err != nil {
		return err
	}
	printDemo(out, result, d.RequestLog.Requests())
	return nil
}

// printDemo prints a table with one row for each class. The column failed includes wrong bodies and lost requests.
func printDemo(out io.Writer, result *LoadResult, requests []cache.Request) {
	lookups, hits := countHits(requests)
	fmt.Fprintf(out, "\n%-14s %7s %8s %7s %6s %9s %9s\n",
		"class", "served", "refused", "failed", "hits", "p50 ms", "p99 ms")
	for _, class := range Classes {
		tally := result.ByClass[class]
		hitRatio := "-"
		if class != classReport {
			hitRatio = fmt.Sprintf("%.0f%%", 100*float64(hits[class])/float64(max(lookups[class], 1)))
		}
		fmt.Fprintf(out, "%-14s %7d %8d %7d %6s %9.1f %9.1f\n",
			class, tally.Served, tally.Rejected, tally.Failed+tally.WrongBody+tally.Lost, hitRatio,
			millisAtQuantile(tally, 50), millisAtQuantile(tally, 99))
	}
}

// millisAtQuantile returns the latency of a tally, in milliseconds, at a percentile.
func millisAtQuantile(tally *Tally, percent float64) float64 {
	return float64(tally.Latency.ValueAtQuantile(percent)) / 1000
}

// countHits counts lookups and hits by class. Every request that reached a server is a lookup. It is also a hit if an
// earlier request to the same server was for the same object and chunk.
func countHits(requests []cache.Request) (lookups, hits map[string]int) {
	lookups = map[string]int{}
	hits = map[string]int{}
	type copyKey struct{ server, object, chunk string }
	seen := map[copyKey]bool{}
	for _, request := range requests {
		key := copyKey{request.Server, request.Object, request.Chunk}
		lookups[request.Class]++
		if seen[key] {
			hits[request.Class]++
		}
		seen[key] = true
	}
	return lookups, hits
}
