package main

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"spantack/internal/admin"
	"spantack/internal/clock"
	"spantack/internal/resp"
	"spantack/internal/router"
	"spantack/routing"
)

// Guards against a change of the metrics, which dashboards read by name. testdata/figures.txt is the output of the
// program at commit e67ffc3. It must never be changed to match a later commit.
func TestMetricsAreUnchanged(t *testing.T) {
	text, err := os.ReadFile("testdata/figures.txt")
	if err != nil {
		t.Fatal(err)
	}
	now := clock.NewFake(1_764_576_000_000)
	pools := resp.NewPools(t.Context(), resp.Options{DialTimeout: 5000, MaxStreams: 1, MaxConns: 1}, now, zerolog.Nop())
	core, err := router.New(routing.Settings{
		Classes: []routing.Class{{
			Name: "page", Deadline: 3_000_000, LatencyObjective: 400_000, PriorityWeight: 1,
			Idempotency: routing.IdempotentRead, DeduplicationScope: "all",
		}},
		Hierarchy:   routing.CacheHierarchy{OriginKind: 1, ParentKind: -1, CacheStatusReporting: "all"},
		Kinds:       []string{"box", "origin"},
		Permissions: routing.Permissions{MaxAttempts: 3},
		Zone:        "east",
		Zones:       []string{"east"},
	}, 1, now, pools, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	event := router.WatchEvent{IsSnapshot: true}
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		event.Servers = append(event.Servers, router.Server{ID: id, Addr: "127.0.0.1:1", Zone: "east", Kind: "box",
			Status: "healthy", Weight: 4})
	}
	event.Servers[2].Kind = "origin" // not counted as a cache
	core.Apply(event)
	if err := core.Exclude("s-1"); err != nil {
		t.Fatal(err)
	}
	counters := core.CountersByClass()[0]
	counters.Served.Add(3)
	counters.Rejected.Add(4)
	counters.Failed.Add(5)
	core.Counters.Accepted.Add(9)
	reloads := &reloadCounters{}
	reloads.applied.Add(6)
	reloads.rejected.Add(7)
	if got := string(admin.AppendMetrics(nil, metrics(core, pools, reloads))); got != string(text) {
		t.Errorf("got\n%s\nwant\n%s", got, text)
	}
}

var quoted = regexp.MustCompile("`([^`]*)`")

// Guards against metrics that docs/operation.md omits, and against entries there without a metric.
func TestOperatorsPageHasTheMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/operation.md")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("testdata/figures.txt")
	if err != nil {
		t.Fatal(err)
	}
	var named, written []string
	for line := range strings.Lines(string(page)) {
		if first, _, found := strings.Cut(strings.TrimPrefix(line, "| "), " | "); found && strings.HasPrefix(first, "`app.") {
			names := quoted.FindAllStringSubmatch(first, -1)
			for _, name := range names {
				full := name[1]
				if strings.HasPrefix(full, ".") { // a suffix: replaces the last part of the row's first name
					full = names[0][1][:strings.LastIndex(names[0][1], ".")] + full
				}
				named = append(named, strings.Replace(full, "CLASS", "page", 1))
			}
		}
	}
	for line := range strings.Lines(string(text)) {
		name, _, _ := strings.Cut(line, ":")
		written = append(written, name)
	}
	if got, want := strings.Join(named, "\n"), strings.Join(written, "\n"); got != want {
		t.Errorf("the page has\n%s\nwant\n%s", got, want)
	}
}
