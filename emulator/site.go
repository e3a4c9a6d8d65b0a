package emulator

import (
	"fmt"
	"math"

	"spantack/routing"
)

// Site is what sets a deployment apart from the first one.
type Site struct {
	CachesOnly  bool    `json:"cachesOnly,omitempty"`  // requests go to the own depot's caches alone, never straight to what is behind
	Apart       bool    `json:"apart,omitempty"`       // area caches fetch for each fill apart, and a fill whose client has left runs on
	LinkTold    bool    `json:"linkTold,omitempty"`    // caches report in every answer how full their depot's link is
	OriginWayMs float64 `json:"originWayMs,omitempty"` // from an area cache to the head office; 0: as usual
	FreshS      float64 `json:"freshS,omitempty"`      // of the catalogue; 0: as usual
	GraceS      float64 `json:"graceS,omitempty"`      // as well
	PromiseMs   float64 `json:"promiseMs,omitempty"`   // of the catalogue; 0: as usual
}

// Bounds of what routers and servers need to hear and heed of a purge.
const (
	purgeTells = 400 * ms
	purgeBinds = 500 * ms
	purgeTakes = 6 * sec
	reportAge  = 400 * ms // how old a report is
)

func (s *Site) check() error {
	if s == nil {
		return nil
	}
	for _, f := range []struct {
		name        string
		value, most float64
	}{{"originWayMs", s.OriginWayMs, 1000}, {"freshS", s.FreshS, 3600}, {"graceS", s.GraceS, 3600}, {"promiseMs", s.PromiseMs, 60_000}} {
		if !(f.value >= 0 && f.value <= f.most) {
			return fmt.Errorf("site.%s: %v is not 0 to %v", f.name, f.value, f.most)
		}
	}
	return nil
}

// site is the config's, or one like the first.
func (c *Config) site() Site {
	if c.Site == nil {
		return Site{}
	}
	return *c.Site
}

// or is a figure of the site, or the usual one in microseconds.
func or(figure float64, unit, usual int64) int64 {
	if figure == 0 {
		return usual
	}
	return int64(figure * float64(unit))
}

func (c *Config) originWay() int64 { return or(c.site().OriginWayMs, ms, originWay) }
func (c *Config) fresh() int64     { return or(c.site().FreshS, sec, freshUs) }
func (c *Config) grace() int64     { return or(c.site().GraceS, sec, graceUs) }

// promise is the time in which an answer of a class has full worth, in milliseconds, without its stretch.
func (c *Config) promise(class int) float64 {
	if p := c.site().PromiseMs; class == catalogue && p != 0 {
		return p
	}
	return classOf[class].promise
}

// differ puts what the site allows into a router's settings.
func (s *Site) differ(set *routing.Settings) {
	if s == nil {
		return
	}
	set.Hierarchy.AllowsDirectFetch = !s.CachesOnly
	if s.LinkTold {
		set.LoadReporting = routing.LoadReporting{Fields: []string{"x1"}, Delivery: "piggyback"}
	}
}

// flush is a purge of many groups at once.
type flush struct {
	at   int64
	part float64
	salt uint64
}

// names tells whether a group is purged.
func (f *flush) names(group int64) bool {
	return float64(mix(uint64(group)^f.salt)>>11)/(1<<53) < f.part
}

// purge makes copies of a part of all groups void. Routers are told one by one; servers drop what they have in their own time.
func (w *World) purge(f Fault) {
	w.flushes = append(w.flushes, flush{at: w.now, part: f.Part, salt: w.cfg.Seed ^ uint64(w.now)})
	for r := range w.routers {
		if rt := &w.routers[r]; rt.up {
			w.push(event{at: w.now + int64(w.misc.Float64()*float64(purgeTells)), kind: evPurge, id: int32(r), gen: rt.gen, x: int64(len(w.flushes) - 1)})
		}
	}
}

// purgeHeard takes a purge to a router, group by group.
func (w *World) purgeHeard(id int32, which int) {
	f := &w.flushes[which]
	r := &w.routers[id]
	r.heeds = append(r.heeds, heed{int32(which), w.now + purgeBinds})
	for group := range int64(releaseFamily) {
		if f.names(group) {
			w.step(id, routing.Event{Kind: routing.EventPurge, PurgeGroup: group, PurgeAge: w.now - f.at})
		}
	}
}

// heed is a purge that binds a router from a time on.
type heed struct {
	which int32
	from  int64
}

// purgedBefore is the time from which a copy of a group must be at a server that has dropped what it had to by now.
func (w *World) purgedBefore(server int32, group int64) int64 {
	least := int64(math.MinInt64)
	for i := range w.flushes {
		f := &w.flushes[i]
		takes := int64(mix(uint64(server)<<8|uint64(i)) % uint64(purgeTakes))
		if f.at+takes <= w.now && f.at > least && f.names(group) {
			least = f.at
		}
	}
	return least
}

// heeded checks an answer against the purges that bound its router when it was sent.
func (w *World) heeded(t *try) {
	rq := &w.requests[t.request]
	group := groupOf(&w.wishes[rq.wish])
	for _, h := range w.routers[rq.router].heeds {
		if f := &w.flushes[h.which]; t.sent > h.from && t.made < f.at && f.names(group) {
			w.res.broken("an answer from a purged copy")
		}
	}
}

// linkUse is how many fills a depot's link has under way for those that fit at full pace: what its caches report. It is as of some
// time ago, as reports are.
func (w *World) linkUse(depot int) []float64 {
	if w.cfg.Site == nil || !w.cfg.Site.LinkTold {
		return nil
	}
	u := &w.uses[depot]
	if w.now-u.at >= reportAge {
		u.at, u.told, u.next = w.now, u.next, float64(w.links[w.depotCap[depot]].n)*paceKbS/w.cfg.linkKbS()
	}
	return []float64{u.told}
}

// use is the state of a depot's link as it was looked at last, and the time before.
type use struct {
	at         int64
	told, next float64
}
