package routing

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// referencePurges is the reference: it walks all purges at each purge, and computes each limit on its own.
type referencePurges struct{ *Engine }

// recordPurge is Engine.recordPurge.
func (p referencePurges) recordPurge(ev *Event) {
	maps.DeleteFunc(p.purgedAt, func(_ purgeKey, made int64) bool { return p.now-made > p.purgeRetention })
	key := purgeKey{object: ev.Object}
	if ev.Object == "" {
		key.group = ev.PurgeGroup
	}
	p.purgedAt[key] = max(p.purgedAt[key], p.now-ev.PurgeAge)
}

// sincePurge is Engine.timeSinceChange without a minimum version.
func (p referencePurges) sincePurge(req *request) (since int64) {
	for _, key := range []purgeKey{{object: req.Object}, {group: req.PurgeGroup}} {
		made, known := p.purgedAt[key]
		age := max(p.now-made-purgeClockMargin, 1)
		if known && age <= p.purgeRetention && (since == 0 || age < since) {
			since = age
		}
	}
	return since
}

// maxAge is Engine.maxAge.
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
	since := max(p.now-req.MinVersionTime-purgeClockMargin, 1)
	if req.MinVersionTime != 0 && (limit == 0 || since < limit) {
		limit = since
	}
	return limit
}

// Purges and age limits are those of the reference, for any purges of objects and groups, of any age and in any
// order, with settings that change meanwhile. Without the comparison of times in dropExpiredPurges, or without the
// check of the retention in timeSinceChange, this fails.
func TestPurgesAgreeWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		engine, err := NewEngine(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		same, err := NewEngine(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		reference := referencePurges{same}
		now := rapid.SampledFrom([]int64{0, 1, sec, 1000 * sec}).Draw(t, "start")
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			retention := engine.purgeRetention
			waits := []int64{
				0, 1, ms, 100 * ms, sec, 4 * sec,
				retention, retention + purgeClockMargin/2, retention + purgeClockMargin + 1,
			}
			now += rapid.SampledFrom(waits).Draw(t, "wait")
			engine.now = now
			reference.now = now
			object := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "object")
			group := rapid.Int64Range(0, 2).Draw(t, "group")
			ago := rapid.SampledFrom([]int64{
				0, 1, ms, sec, retention - 1, retention, retention + purgeClockMargin, 20 * sec, 2000 * sec,
			})
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				settings.Hierarchy.PurgePropagationTime = rapid.Int64Range(0, 9*sec).Draw(t, "takes")
				if err := engine.UpdateSettings(settings); err != nil {
					t.Fatal(err)
				}
				if err := same.UpdateSettings(settings); err != nil {
					t.Fatal(err)
				}
			case 1, 2, 3, 4:
				ev := Event{Kind: EventPurge, Object: object, PurgeGroup: group, PurgeAge: ago.Draw(t, "age")}
				engine.recordPurge(&ev)
				reference.recordPurge(&ev)
				if !maps.Equal(engine.purgedAt, reference.purgedAt) {
					t.Fatalf("purges %v, the reference %v", engine.purgedAt, reference.purgedAt)
				}
			default:
				req := &request{
					class:            rapid.IntRange(0, 1).Draw(t, "class"),
					isCachedCopyOnly: rapid.Bool().Draw(t, "cached copy only"),
				}
				req.Object = object
				req.PurgeGroup = group
				req.MaxAge = rapid.SampledFrom([]int64{0, 30 * sec}).Draw(t, "max age")
				if rapid.Bool().Draw(t, "renewed") {
					req.MinVersionTime = max(now-ago.Draw(t, "renewed ago"), 0)
				}
				if got, want := engine.timeSinceChange(req, 0), reference.sincePurge(req); got != want {
					t.Fatalf("at %d purged %d ago, the reference %d", now, got, want)
				}
				if got, want := engine.maxAge(req), reference.maxAge(req); got != want {
					t.Fatalf("at %d a limit of %d for %+v, the reference %d", now, got, req.Event, want)
				}
			}
		}
	})
}

// What is remembered of purges ends: no more of them are held than came within the retention.
func TestPurgesAreForgotten(t *testing.T) {
	engine, err := NewEngine(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	const gap = 5 * ms
	within := int(engine.purgeRetention/gap) + 1
	for i := range 20 * within {
		object := fmt.Sprint(i)
		if i%2 == 0 {
			object = "again and again"
		}
		engine.Step(int64(i)*gap, []Event{{Kind: EventPurge, Object: object}})
		if len(engine.purges) > within+1 || len(engine.purgedAt) > len(engine.purges) {
			t.Fatalf("after %d purges %d are kept in the order of their times, %d by name, %d at most",
				i+1, len(engine.purges), len(engine.purgedAt), within)
		}
	}
}
