package process

import (
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"spantack/core/cells"
	"spantack/core/migration"
	"spantack/core/rollout"
	"spantack/internal/features"
	"spantack/standin/cache"
)

// releaseFamily is the family of the release's objects; the tenant "first" asks for them, as for those of family 0.
const releaseFamily = 2

// rolloutFeatures is a features file with two cells and a release.
func rolloutFeatures(t *testing.T, release rollout.Rollout) string {
	t.Helper()
	spec := cells.Spec{
		Version: 1,
		Scheme:  cells.SchemeFixed,
		Cells:   []cells.Cell{{Name: "one", Share: 0.5}, {Name: "two", Share: 0.5}},
		Tenants: []cells.Tenant{{Name: "first", Cell: "one"}, {Name: "rest", Cell: "two"}},
		TenantKeys: []cells.TenantKey{
			{PurgeGroupRange: []int{0, 0}, Tenant: "first"},
			{PurgeGroupRange: []int{releaseFamily, releaseFamily}, Tenant: "first"},
			{Tenant: "rest"},
		},
	}
	file := features.File{
		Cells:   features.Cells{Enabled: true, Spec: spec},
		Rollout: features.Rollout{Enabled: true, Rollout: release},
	}
	file.Migration.Migrations = []migration.Migration{}
	text, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// ringOfCellOne is the only ring of a release, which opens at a time in Unix milliseconds.
func ringOfCellOne(opensAt float64) []rollout.Ring {
	return []rollout.Ring{{Cells: []string{"one"}, OpensAt: opensAt, JudgeWithin: 600_000}}
}

// rolloutLoad is a load on three families, one of which is the release's.
func rolloutLoad(seed uint64, requests int) Load {
	return Load{Seed: seed, Requests: requests, Interval: 2 * time.Millisecond, ConnsPerRouter: 2, Families: 3,
		ObjectsPerFamily: 50}
}

// Two routers and a release in one of two cells: refused before its ring opens, served after, and once its objects fail
// at the caches taken back by each router for itself, while nothing else is touched.
func TestReleaseInService(t *testing.T) {
	var isHarmful atomic.Bool
	opensAt := float64(time.Now().UnixMilli()) + 12_000 // the routers are up long before
	d := startDeployment(t, Options{
		Routers:       2,
		EdgeCaches:    4,
		ResponseDelay: time.Millisecond,
		Features: rolloutFeatures(t, rollout.Rollout{
			Version:     1,
			Name:        "r",
			FamilyRange: []int{releaseFamily, releaseFamily},
			Since:       opensAt - 12_000,
			Rings:       ringOfCellOne(opensAt),
		}),
		FaultScript: func(request cache.Request) cache.Fault {
			if isHarmful.Load() && strings.HasPrefix(request.Object, "02") {
				return cache.FaultError
			}
			return cache.FaultNone
		},
	})
	run := func(seed uint64, requests int) *LoadResult {
		t.Helper()
		result := mustRunLoad(t, d, rolloutLoad(seed, requests))
		checkOtherFamiliesServed(t, result)
		return result
	}
	before := run(1, 1500)
	isStillClosed := float64(time.Now().UnixMilli()) < opensAt
	if tally := before.ByFamily[releaseFamily]; isStillClosed && (tally.Served > 0 || tally.Rejected == 0) {
		t.Errorf("before the ring opens: %+v, reports %+v", tally, before.ByClass[classReport])
	}
	for _, r := range d.Routers {
		waitForLog(t, r, "release r, ring 0 ([one]): judging")
	}
	if tally := run(2, 600).ByFamily[releaseFamily]; tally.Served == 0 || tally.Rejected+tally.Failed > 0 {
		t.Errorf("where it is open: %+v", tally)
	}
	isHarmful.Store(true)
	for i := uint64(0); !isStoppedEverywhere(t, d); i++ {
		if i == 20 {
			t.Fatal("a release that fails whole is not stopped after 10,000 requests")
		}
		run(10+i, 500)
	}
	if tally := run(50, 500).ByFamily[releaseFamily]; tally.Served > 0 || tally.Failed > 0 {
		t.Errorf("after it was stopped: %+v", tally)
	}
}

// checkOtherFamiliesServed checks that no request was lost or answered wrongly, and that 99 of 100 requests of the
// families without the release were served.
func checkOtherFamiliesServed(t *testing.T, result *LoadResult) {
	t.Helper()
	for family, tally := range result.ByFamily {
		ended := tally.Served + tally.Rejected + tally.Failed
		isShort := family < releaseFamily && tally.Served < ended*99/100
		if tally.WrongBody+tally.Lost > 0 || isShort {
			t.Errorf("family %d: %+v", family, tally)
		}
	}
}

// isStoppedEverywhere reports that the logs of all routers say that the release was stopped.
func isStoppedEverywhere(t *testing.T, d *Deployment) bool {
	t.Helper()
	for _, r := range d.Routers {
		if !strings.Contains(readLog(t, r), "stopped, by ") {
			return false
		}
	}
	return true
}

// Two routers and prices renewed under their names, from the ring's time to the document's way back: every attempt for
// them at every server carries the age that its cell's ring allows at that moment, and nothing is refused.
func TestObjectReplacementInService(t *testing.T) {
	const oldCopyMaxAge = 3_600_000 // ms
	since := float64(time.Now().UnixMilli()) + 5000
	rollbackAt := since + 6000
	d := startDeployment(t, Options{
		Routers:       2,
		EdgeCaches:    4,
		ResponseDelay: time.Millisecond,
		Features: rolloutFeatures(t, rollout.Rollout{
			Version:         1,
			Name:            "r",
			FamilyRange:     []int{1, releaseFamily},
			Since:           since,
			ReplacesObjects: true,
			OldCopyMaxAge:   oldCopyMaxAge,
			RollbackAt:      rollbackAt,
			Rings:           ringOfCellOne(since),
		}),
	})
	for _, r := range d.Routers {
		waitForLog(t, r, "release r, ring 0 ([one]): judging")
	}
	seen := replacementRequests(t, d, 1)
	for _, request := range seen {
		at := float64(request.ArrivedAt.UnixMilli())
		family := request.Object[:2]
		switch {
		case at >= rollbackAt:
		case family == "02" && (request.MaxAgeMillis < 1 || float64(request.MaxAgeMillis) > at-since):
			t.Errorf("%s, cell one, %.0f ms since: copies of %d ms", request.Object, at-since, request.MaxAgeMillis)
		case family == "01" && request.MaxAgeMillis != 0 && request.MaxAgeMillis != oldCopyMaxAge:
			t.Errorf("%s, cell two: copies of %d ms", request.Object, request.MaxAgeMillis)
		}
	}
	for _, r := range d.Routers {
		waitForLog(t, r, "release r, ring 0 ([one]): stopped")
	}
	seenAfter := replacementRequests(t, d, 2)
	for _, request := range seenAfter {
		at := float64(request.ArrivedAt.UnixMilli())
		if request.MaxAgeMillis < 1 || float64(request.MaxAgeMillis) > at-rollbackAt {
			t.Errorf("%s, taken back %.0f ms before: copies of %d ms", request.Object, at-rollbackAt, request.MaxAgeMillis)
		}
	}
	if n := len(seen) + len(seenAfter); n < 200 {
		t.Errorf("%d attempts seen", n)
	}
}

// replacementRequests sends a load, all of which must be served, and returns the requests for replaced objects that
// reached servers.
func replacementRequests(t *testing.T, d *Deployment, seed uint64) (seen []cache.Request) {
	t.Helper()
	from := len(d.RequestLog.Requests())
	result := mustRunLoad(t, d, rolloutLoad(seed, 600))
	for family, tally := range result.ByFamily {
		if tally.WrongBody+tally.Lost+tally.Rejected+tally.Failed > 0 {
			t.Errorf("family %d: %+v", family, tally)
		}
	}
	for _, request := range d.RequestLog.Requests()[from:] {
		if request.Class != classReport && request.Object[:2] != "00" {
			seen = append(seen, request)
		}
	}
	return seen
}
