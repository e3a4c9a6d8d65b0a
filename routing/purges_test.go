package routing

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// referencePurges is the reference: the way that walked all purges at each purge, and reckoned each limit on its own.
type referencePurges struct{ *Engine }

func (p referencePurges) recordPurge(ev *Event) {
	maps.DeleteFunc(p.purgedAt, func(_ purgeKey, made int64) bool { return p.now-made > p.purgeRetention })
	key := purgeKey{object: ev.Object}
	if ev.Object == "" {
		key.group = ev.PurgeGroup
	}
	p.purgedAt[key] = max(p.purgedAt[key], p.now-ev.PurgeAge)
}

func (p referencePurges) sincePurge(q *request) (since int64) {
	for _, key := range []purgeKey{{object: q.Object}, {group: q.PurgeGroup}} {
		made, known := p.purgedAt[key]
		age := max(p.now-made-purgeClockMargin, 1)
		if known && age <= p.purgeRetention && (since == 0 || age < since) {
			since = age
		}
	}
	return since
}

func (p referencePurges) maxAge(q *request) int64 {
	fresh := valueAt(p.settings.Hierarchy.FreshnessLifetime, q.class)
	limit := int64(0)
	if fresh > 0 {
		limit = fresh - int64(freshnessJitter*p.rng.Float64()*float64(fresh))
		if q.isCachedCopyOnly {
			limit = fresh + valueAt(p.settings.Hierarchy.StaleGracePeriod, q.class)
		}
		limit = max(limit, q.MaxAge)
	}
	if since := p.sincePurge(q); since != 0 && (limit == 0 || since < limit) {
		limit = since
	}
	if since := max(p.now-q.MinVersionTime-purgeClockMargin, 1); q.MinVersionTime != 0 && (limit == 0 || since < limit) {
		limit = since
	}
	return limit
}

// Purges and age limits are those of the plain way, for any purges of objects and groups, of any age and in any order,
// with settings that change meanwhile. Without the comparison of times in purge, or with the check of the span in
// timeSinceChange taken out, this fails.
func TestPurgesAreThoseOfThePlainWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings()
		r, err := NewEngine(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		same, err := NewEngine(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		plain := referencePurges{same}
		now := rapid.SampledFrom([]int64{0, 1, sec, 1000 * sec}).Draw(t, "start")
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.SampledFrom([]int64{0, 1, ms, 100 * ms, sec, 4 * sec, r.purgeRetention, r.purgeRetention + purgeClockMargin/2, r.purgeRetention + purgeClockMargin + 1}).Draw(t, "wait")
			r.now, plain.now = now, now
			object := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "object")
			group := rapid.Int64Range(0, 2).Draw(t, "group")
			ago := rapid.SampledFrom([]int64{0, 1, ms, sec, r.purgeRetention - 1, r.purgeRetention, r.purgeRetention + purgeClockMargin, 20 * sec, 2000 * sec})
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				set.Hierarchy.PurgePropagationTime = rapid.Int64Range(0, 9*sec).Draw(t, "takes")
				if err := r.UpdateSettings(set); err != nil {
					t.Fatal(err)
				}
				if err := same.UpdateSettings(set); err != nil {
					t.Fatal(err)
				}
			case 1, 2, 3, 4:
				ev := Event{Kind: EventPurge, Object: object, PurgeGroup: group, PurgeAge: ago.Draw(t, "age")}
				r.recordPurge(&ev)
				plain.recordPurge(&ev)
				if !maps.Equal(r.purgedAt, plain.purgedAt) {
					t.Fatalf("purges %v, the plain way %v", r.purgedAt, plain.purgedAt)
				}
			default:
				q := &request{class: rapid.IntRange(0, 1).Draw(t, "class"), isCachedCopyOnly: rapid.Bool().Draw(t, "held")}
				q.Object, q.PurgeGroup, q.MaxAge = object, group, rapid.SampledFrom([]int64{0, 30 * sec}).Draw(t, "may age")
				if rapid.Bool().Draw(t, "renewed") {
					q.MinVersionTime = max(now-ago.Draw(t, "renewed ago"), 0)
				}
				if got, want := r.timeSinceChange(q, 0), plain.sincePurge(q); got != want {
					t.Fatalf("at %d purged %d ago, the plain way %d", now, got, want)
				}
				if got, want := r.maxAge(q), plain.maxAge(q); got != want {
					t.Fatalf("at %d a limit of %d for %+v, the plain way %d", now, got, q.Event, want)
				}
			}
		}
	})
}

// What is remembered of purges ends: no more of them are held than came within the span.
func TestPurgesAreForgotten(t *testing.T) {
	r, err := NewEngine(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	const gap = 5 * ms
	most := int(r.purgeRetention/gap) + 1
	for i := range 20 * most {
		object := fmt.Sprint(i)
		if i%2 == 0 {
			object = "again and again"
		}
		r.Step(int64(i)*gap, []Event{{Kind: EventPurge, Object: object}})
		if len(r.purges) > most+1 || len(r.purgedAt) > len(r.purges) {
			t.Fatalf("after %d purges %d are held in the order of their times, %d by name, %d at most", i+1, len(r.purges), len(r.purgedAt), most)
		}
	}
}
