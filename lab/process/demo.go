package process

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Demo brings a small deployment up, puts a load of the three classes on it, and prints what became of it. progress is
// called with the share that is done.
func Demo(ctx context.Context, out io.Writer, progress func(done, all int)) (err error) {
	const requests = 1500
	fmt.Fprintln(out, "building the router and starting 4 depot caches, an area cache, the head office, a discovery service")
	d, err := Start(ctx, Options{Routers: 1, EdgeCaches: 4, ResponseDelay: 3 * time.Millisecond})
	if err != nil {
		return err
	}
	defer func() {
		if e := d.Stop(); err == nil {
			err = e
		}
	}()
	fmt.Fprintf(out, "router ready at %s; %d requests in %d s\n", d.Routers[0].Addr, requests, requests/150)
	rep, err := d.RunLoad(ctx, Load{Seed: 1, Requests: requests, Interval: time.Second / 150, ConnsPerRouter: 3, Families: 8, ObjectsPerFamily: 40,
		OnResponse: func(done int) { progress(done, requests) }})
	if err != nil {
		return err
	}
	looks, hits := map[string]int{}, map[string]int{}
	held := map[string]bool{}
	for _, g := range d.RequestLog.Requests() {
		key := g.Server + " " + g.Object + "/" + g.Chunk
		if looks[g.Class]++; held[key] {
			hits[g.Class]++
		}
		held[key] = true
	}
	fmt.Fprintf(out, "\n%-14s %7s %8s %7s %6s %9s %9s\n", "class", "served", "refused", "failed", "hits", "p50 ms", "p99 ms")
	for _, class := range Classes {
		c := rep.ByClass[class]
		share := "-"
		if class != Classes[2] {
			share = fmt.Sprintf("%.0f%%", 100*float64(hits[class])/float64(max(looks[class], 1)))
		}
		fmt.Fprintf(out, "%-14s %7d %8d %7d %6s %9.1f %9.1f\n", class, c.Served, c.Rejected, c.Failed+c.WrongBody+c.Lost, share,
			float64(c.Latency.ValueAtQuantile(50))/1000, float64(c.Latency.ValueAtQuantile(99))/1000)
	}
	return nil
}
