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

// releaseFamily is the family of the release's objects. It belongs to the tenant "first", like family 0.
const releaseFamily = 2

// rolloutFeatures returns a features file with two cells and a release.
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

// ringOfCellOne returns the only ring of a release. opensAt is in Unix milliseconds.
func ringOfCellOne(opensAt float64) []rollout.Ring {
	return []rollout.Ring{{Cells: []string{"one"}, OpensAt: opensAt, JudgeWithin: 600_000}}
}

// rolloutLoad returns a load for three families, including that of the release.
func rolloutLoad(seed uint64, requests int) Load {
	return Load{Seed: seed, Requests: requests, Interval: 2 * time.Millisecond, ConnsPerRouter: 2, Families: 3,
		ObjectsPerFamily: 50}
}

// Two routers reject requests for the objects of a release in one of two cells before its ring opens, and serve them
// afterwards. When the objects fail at the caches, each router stops the release independently. Requests for other
// objects are not affected.
func TestHarmfulReleaseIsStopped(t *testing.T) {
	var isHarmful atomic.Bool
	opensAt := float64(time.Now().UnixMilli()) + 12_000 // long after the routers are ready
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
		t.Errorf("release before the ring opens: %+v, want some rejected and none served; reports %+v",
			tally, before.ByClass[classReport])
	}
	for _, r := range d.Routers {
		waitForLog(t, r, "release r, ring 0 ([one]): judging")
	}
	if tally := run(2, 600).ByFamily[releaseFamily]; tally.Served == 0 || tally.Rejected+tally.Failed > 0 {
		t.Errorf("release in the open ring: %+v", tally)
	}
	isHarmful.Store(true)
	for i := uint64(0); !isStoppedEverywhere(t, d); i++ {
		if i == 20 {
			t.Fatal("a release whose requests all fail is not stopped after 10,000 requests")
		}
		run(10+i, 500)
	}
	if tally := run(50, 500).ByFamily[releaseFamily]; tally.Served > 0 || tally.Failed > 0 {
		t.Errorf("release after it was stopped: %+v", tally)
	}
}

// checkOtherFamiliesServed checks that no request was lost or got a wrong body, and that at least 99% of the requests
// for families without the release were served.
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

// isStoppedEverywhere reports whether all routers have logged that the release was stopped.
func isStoppedEverywhere(t *testing.T, d *Deployment) bool {
	t.Helper()
	for _, r := range d.Routers {
		if !strings.Contains(readLog(t, r), "stopped, by ") {
			return false
		}
	}
	return true
}

// Two routers apply a release that replaces objects under the same names, from the time when its ring opens until the
// document's RollbackAt. Every attempt for these objects, at every server, states the maximum age of copies that is
// allowed at that time in the cell of the object's tenant. No request is rejected.
func TestObjectReplacementLimitsCopyAge(t *testing.T) {
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
			t.Errorf("%s in cell one, %.0f ms after the opening: max age %d ms", request.Object, at-since, request.MaxAgeMillis)
		case family == "01" && request.MaxAgeMillis != 0 && request.MaxAgeMillis != oldCopyMaxAge:
			t.Errorf("%s in cell two: max age %d ms", request.Object, request.MaxAgeMillis)
		}
	}
	for _, r := range d.Routers {
		waitForLog(t, r, "release r, ring 0 ([one]): stopped")
	}
	seenAfter := replacementRequests(t, d, 2)
	for _, request := range seenAfter {
		at := float64(request.ArrivedAt.UnixMilli())
		if request.MaxAgeMillis < 1 || float64(request.MaxAgeMillis) > at-rollbackAt {
			t.Errorf("%s, %.0f ms after the rollback: max age %d ms", request.Object, at-rollbackAt, request.MaxAgeMillis)
		}
	}
	if n := len(seen) + len(seenAfter); n < 200 {
		t.Errorf("%d attempts for replaced objects, want at least 200", n)
	}
}

// replacementRequests sends a load that must be served completely, and returns the requests for replaced objects that
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
