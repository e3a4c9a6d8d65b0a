package process

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"time"

	"spantack/core/cells"
	"spantack/internal/features"
	"spantack/standin/cache"
)

// loudFamily is the prefix of the object names of the tenant "loud".
const loudFamily = "00"

// cellsFeatures returns a features file that assigns the tenants "loud" and "rest" to cells "one" and "two".
func cellsFeatures(t *testing.T, version int64, loudCell, restCell string) string {
	t.Helper()
	spec := cells.Spec{
		Version:    version,
		Scheme:     cells.SchemeFixed,
		Cells:      []cells.Cell{{Name: "one", Share: 0.5}, {Name: "two", Share: 0.5}},
		Tenants:    []cells.Tenant{{Name: "loud", Cell: loudCell}, {Name: "rest", Cell: restCell}},
		TenantKeys: []cells.TenantKey{{PurgeGroupRange: []int{0, 0}, Tenant: "loud"}, {Tenant: "rest"}},
		Budget:     cells.Budget{RequestsPerSecond: 3000, MaxOpenRequests: 200},
	}
	text, err := json.Marshal(map[string]any{"cells": features.Cells{Enabled: true, Spec: spec}})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// One tenant floods three routers, and some of its requests fail at the caches. No request of any tenant reaches a
// cache outside its cell, every request gets one correct response, and no two attempts of a request overlap.
func TestFloodIsConfinedToItsCell(t *testing.T) {
	const requests = 3000
	text := cellsFeatures(t, 1, "one", "two")
	d := startDeployment(t, Options{
		Routers:       3,
		EdgeCaches:    6,
		ResponseDelay: 2 * time.Millisecond,
		Features:      text,
		FaultScript: func(request cache.Request) cache.Fault {
			if strings.HasPrefix(request.Object, loudFamily) && strings.HasSuffix(request.ID, "7") {
				return cache.FaultError
			}
			return cache.FaultNone
		},
	})
	result := mustRunLoad(t, d, Load{
		Seed:             5,
		Requests:         requests,
		Interval:         700 * time.Microsecond,
		ConnsPerRouter:   2,
		Families:         4,
		ObjectsPerFamily: 200,
		FloodFamily:      0,
		FloodFactor:      3,
	})
	total := result.Total()
	checkAllAnswered(t, total, requests)
	if total.Served < requests/2 {
		t.Errorf("only %d served", total.Served)
	}
	for family, tally := range result.ByFamily[1:] {
		if tally.Failed > 0 {
			t.Errorf("family %d: %d failed", family+1, tally.Failed)
		}
	}
	for _, r := range d.Routers { // on SIGUSR1 routers log the demand of each tenant, the input for cell plans
		signal(t, r, syscall.SIGUSR1)
		waitForLog(t, r, `"name":"loud"`)
	}
	cellOf := cellByCache(t, d, text)
	attempts := map[string]int{}
	for _, request := range d.RequestLog.Requests() {
		want := "two"
		if strings.HasPrefix(request.Object, loudFamily) {
			want = "one"
		}
		cell, isCache := cellOf[request.Server]
		if isCache && cell != want {
			t.Fatalf("object %s reached %s of cell %s", request.Object, request.Server, cell)
		}
		attempts[cell]++
	}
	if attempts["one"] == 0 || attempts["two"] == 0 {
		t.Errorf("attempts by cell: %v", attempts)
	}
	checkNoOverlaps(t, d)
}

// Features files are reloaded on SIGHUP under load. An invalid file changes nothing. A valid one exchanges the cells of
// the two tenants, and no request is lost.
func TestCellsReloadLosesNoRequest(t *testing.T) {
	before := cellsFeatures(t, 1, "one", "two")
	after := cellsFeatures(t, 2, "two", "one")
	d := startDeployment(t, Options{Routers: 2, EdgeCaches: 4, ResponseDelay: time.Millisecond, Features: before})
	// maxInFlight is less than half of a router's initial concurrency limit of 10 at a cache. So the caches of a cell
	// are never full, and no late response reduces their limits. Without maxInFlight, on a busy machine, more requests
	// than the limit could be in flight, and routers would correctly reject the excess.
	const maxInFlight = 4
	load := func(seed uint64, requests int) Load {
		return Load{Seed: seed, Requests: requests, Interval: time.Millisecond, ConnsPerRouter: 2,
			MaxInFlight: maxInFlight, Families: 4, ObjectsPerFamily: 50}
	}
	checkServed := func(seed uint64) {
		t.Helper()
		if total := mustRunLoad(t, d, load(seed, 300)).Total(); total.Served != 300 {
			t.Errorf("outcomes of 300 requests: %+v", total)
		}
	}
	checkServed(1)
	reloadFeatures(t, d, strings.Replace(after, `"two"`, `"three"`, 1), "new features can't be used")
	checkServed(2)
	got := cellsReached(d.RequestLog.Requests(), cellByCache(t, d, before))
	if !got["loud"]["one"] || got["loud"]["two"] || got["rest"]["one"] {
		t.Errorf("cells reached before the change: %v", got)
	}

	ended := startLoad(t, d, load(3, 600))
	reloadFeatures(t, d, after, `"cells":2`)
	if total := waitForLoad(t, ended).Total(); total.Served != 600 {
		t.Errorf("outcomes of 600 requests during the change: %+v", total)
	}
	from := len(d.RequestLog.Requests())
	checkServed(4)
	got = cellsReached(d.RequestLog.Requests()[from:], cellByCache(t, d, before))
	if !got["loud"]["two"] || got["loud"]["one"] || got["rest"]["two"] {
		t.Errorf("cells reached after the change: %v", got)
	}
}

// cellsReached returns, for each tenant, the cells whose caches its requests reached.
func cellsReached(requests []cache.Request, cellOf map[string]string) map[string]map[string]bool {
	reached := map[string]map[string]bool{"loud": {}, "rest": {}}
	for _, request := range requests {
		tenant := "rest"
		if strings.HasPrefix(request.Object, loudFamily) {
			tenant = "loud"
		}
		if cell := cellOf[request.Server]; cell != "" {
			reached[tenant][cell] = true
		}
	}
	return reached
}
