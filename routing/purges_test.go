package routing

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// referencePurges is a simple reference implementation of purge records and age limits. It scans all records at each
// new purge, and computes each age limit independently.
type referencePurges struct{ *Engine }

// recordPurge is the reference of Engine.recordPurge.
func (p referencePurges) recordPurge(ev *Event) {
	maps.DeleteFunc(p.purgedAt, func(_ purgeKey, made int64) bool { return p.now-made > p.purgeRetention })
	key := purgeKey{object: ev.Object}
	if ev.Object == "" {
		key.group = ev.PurgeGroup
	}
	p.purgedAt[key] = max(p.purgedAt[key], p.now-ev.PurgeAge)
}

// sincePurge is the reference of Engine.timeSinceChange without a minimum version.
func (p referencePurges) sincePurge(req *request) (since int64) {
	for _, key := range []purgeKey{{object: req.Object}, {group: req.PurgeGroup}} {
		made, known := p.purgedAt[key]
		age := max(p.now-made-clockMargin, 1)
		if known && age <= p.purgeRetention && (since == 0 || age < since) {
			since = age
		}
	}
	return since
}

// maxAge is the reference of Engine.maxAge.
func (p referencePurges) maxAge(req *request) int64 {
	fresh := valueAt(p.settings.Hierarchy.FreshnessLifetime, req.class)
	limit := int64(0)
	if fresh > 0 {
		limit = fresh - int64(freshnessJitter*p.rng.Float64()*float64(fresh))
		if req.isCachedCopyOnly {
			limit = fresh + valueAt(p.settings.Hierarchy.StaleGracePeriod, req.class)
		}
		limit = max(limit, req.MaxAge)
	}
	if since := p.sincePurge(req); since != 0 && (limit == 0 || since < limit) {
		limit = since
	}
	since := max(p.now-req.MinVersionTime-clockMargin, 1)
	if req.MinVersionTime != 0 && (limit == 0 || since < limit) {
		limit = since
	}
	return limit
}

// Purges and age limits agree with the reference for random purges of objects and groups, of any age and in any order,
// and for random changes of settings. The test fails without the comparison of times in dropExpiredPurges, and without
// the check of the retention in timeSinceChange.
func TestPurgesAgreeWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		engine, err := NewEngine(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		referenceEngine, err := NewEngine(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		reference := referencePurges{referenceEngine}
		now := rapid.SampledFrom([]int64{0, 1, sec, 1000 * sec}).Draw(t, "start")
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			retention := engine.purgeRetention
			waits := []int64{
				0, 1, ms, 100 * ms, sec, 4 * sec,
				retention, retention + clockMargin/2, retention + clockMargin + 1,
			}
			now += rapid.SampledFrom(waits).Draw(t, "wait")
			engine.now = now
			reference.now = now
			object := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "object")
			group := rapid.Int64Range(0, 2).Draw(t, "group")
			ago := rapid.SampledFrom([]int64{
				0, 1, ms, sec, retention - 1, retention, retention + clockMargin, 20 * sec, 2000 * sec,
			})
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0:
				settings.Hierarchy.PurgePropagationTime = rapid.Int64Range(0, 9*sec).Draw(t, "propagation time")
				if err := engine.UpdateSettings(settings); err != nil {
					t.Fatal(err)
				}
				if err := referenceEngine.UpdateSettings(settings); err != nil {
					t.Fatal(err)
				}
			case 1, 2, 3, 4:
				ev := Event{Kind: EventPurge, Object: object, PurgeGroup: group, PurgeAge: ago.Draw(t, "age")}
				engine.recordPurge(&ev)
				reference.recordPurge(&ev)
				if !maps.Equal(engine.purgedAt, reference.purgedAt) {
					t.Fatalf("purges %v, want %v", engine.purgedAt, reference.purgedAt)
				}
			default:
				req := &request{
					class:            rapid.IntRange(0, 1).Draw(t, "class"),
					isCachedCopyOnly: rapid.Bool().Draw(t, "cached copy only"),
				}
				req.Object = object
				req.PurgeGroup = group
				req.MaxAge = rapid.SampledFrom([]int64{0, 30 * sec}).Draw(t, "max age")
				if rapid.Bool().Draw(t, "has minimum version") {
					req.MinVersionTime = max(now-ago.Draw(t, "minimum version age"), 0)
				}
				if got, want := engine.timeSinceChange(req, 0), reference.sincePurge(req); got != want {
					t.Fatalf("at %d: time since purge %d, want %d", now, got, want)
				}
				if got, want := engine.maxAge(req), reference.maxAge(req); got != want {
					t.Fatalf("at %d: maxAge %d for %+v, want %d", now, got, req.Event, want)
				}
			}
		}
	})
}

// Purges must be deleted after their retention. Otherwise memory grows without bound. At most the
// purges within the retention may be kept.
func TestPurgesAreDeletedAfterRetention(t *testing.T) {
	engine, err := NewEngine(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	const gap = 5 * ms
	maxKept := int(engine.purgeRetention/gap) + 1
	for i := range 20 * maxKept {
		object := fmt.Sprint(i)
		if i%2 == 0 {
			object = "again and again"
		}
		engine.Step(int64(i)*gap, []Event{{Kind: EventPurge, Object: object}})
		if len(engine.purges) > maxKept+1 || len(engine.purgedAt) > len(engine.purges) {
			t.Fatalf("after %d purges: %d in the heap, %d by key, want at most %d",
				i+1, len(engine.purges), len(engine.purgedAt), maxKept)
		}
	}
}
