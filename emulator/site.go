package emulator

import (
	"fmt"
	"math"

	"spantack/routing"
)

// Deployment is what sets a deployment apart from the first one.
type Deployment struct {
	CachesOnly             bool    `json:"cachesOnly,omitempty"`  // requests go to the own depot's caches alone, never straight to what is behind
	FetchesSeparately      bool    `json:"apart,omitempty"`       // area caches fetch for each fill apart, and a fill whose client has left runs on
	ReportsLinkLoad        bool    `json:"linkTold,omitempty"`    // caches report in every answer how full their depot's link is
	OriginDelayMillis      float64 `json:"originWayMs,omitempty"` // from an area cache to the head office; 0: as usual
	FreshSeconds           float64 `json:"freshS,omitempty"`      // of the catalogue; 0: as usual
	StaleGraceSeconds      float64 `json:"graceS,omitempty"`      // as well
	LatencyObjectiveMillis float64 `json:"promiseMs,omitempty"`   // of the catalogue; 0: as usual
}

// Bounds of what routers and servers need to hear and heed of a purge.
const (
	maxPurgeNoticeDelay  = 400 * millisecond
	purgeGracePeriod     = 500 * millisecond
	purgePropagationTime = 6 * second
	loadReportInterval   = 400 * millisecond // how old a report is
)

func (s *Deployment) validate() error {
	if s == nil {
		return nil
	}
	for _, f := range []struct {
		name        string
		value, most float64
	}{{"originWayMs", s.OriginDelayMillis, 1000}, {"freshS", s.FreshSeconds, 3600}, {"graceS", s.StaleGraceSeconds, 3600}, {"promiseMs", s.LatencyObjectiveMillis, 60_000}} {
		if !(f.value >= 0 && f.value <= f.most) {
			return fmt.Errorf("site.%s: %v is not 0 to %v", f.name, f.value, f.most)
		}
	}
	return nil
}

// deployment is the config's, or one like the first.
func (c *Config) deployment() Deployment {
	if c.Deployment == nil {
		return Deployment{}
	}
	return *c.Deployment
}

// configuredOr is a figure of the site, or the usual one in microseconds.
func configuredOr(figure float64, unit, usual int64) int64 {
	if figure == 0 {
		return usual
	}
	return int64(figure * float64(unit))
}

func (c *Config) originDelay() int64 {
	return configuredOr(c.deployment().OriginDelayMillis, millisecond, defaultOriginDelay)
}
func (c *Config) freshnessLifetime() int64 {
	return configuredOr(c.deployment().FreshSeconds, second, defaultFreshnessLifetime)
}
func (c *Config) staleGracePeriod() int64 {
	return configuredOr(c.deployment().StaleGraceSeconds, second, defaultStaleGracePeriod)
}

// latencyObjectiveMs is the time in which an answer of a class has full worth, in milliseconds, without its stretch.
func (c *Config) latencyObjectiveMs(class int) float64 {
	if p := c.deployment().LatencyObjectiveMillis; class == classCatalogue && p != 0 {
		return p
	}
	return classModels[class].latencyObjectiveMs
}

// applyTo puts what the site allows into a router's settings.
func (s *Deployment) applyTo(set *routing.Settings) {
	if s == nil {
		return
	}
	set.Hierarchy.AllowsDirectFetch = !s.CachesOnly
	if s.ReportsLinkLoad {
		set.LoadReporting = routing.LoadReporting{Fields: []string{"x1"}, Delivery: "piggyback"}
	}
}

// purge is a purge of many groups at once.
type purge struct {
	startedAt int64
	fraction  float64
	salt      uint64
}

// includes tells whether a group is purged.
func (f *purge) includes(group int64) bool {
	return float64(hashMix(uint64(group)^f.salt)>>11)/(1<<53) < f.fraction
}

// startPurge makes copies of a part of all groups void. Routers are told one by one; servers drop what they have in their own time.
func (w *World) startPurge(fault Fault) {
	w.purges = append(w.purges, purge{startedAt: w.now, fraction: fault.Fraction, salt: w.config.Seed ^ uint64(w.now)})
	for r := range w.routers {
		if router := &w.routers[r]; router.running {
			w.push(event{time: w.now + int64(w.miscRandom.Float64()*float64(maxPurgeNoticeDelay)), kind: eventPurge, target: int32(r), generation: router.generation, value: int64(len(w.purges) - 1)})
		}
	}
}

// notifyPurge takes a purge to a router, group by group.
func (w *World) notifyPurge(id int32, which int) {
	f := &w.purges[which]
	router := &w.routers[id]
	router.purgeDeadlines = append(router.purgeDeadlines, purgeDeadline{int32(which), w.now + purgeGracePeriod})
	for group := range int64(releaseFamily) {
		if f.includes(group) {
			w.stepRouter(id, routing.Event{Kind: routing.EventPurge, PurgeGroup: group, PurgeAge: w.now - f.startedAt})
		}
	}
}

// purgeDeadline is a purge that binds a router from a time on.
type purgeDeadline struct {
	purge int32
	from  int64
}

// purgedBefore is the time from which a copy of a group must be at a server that has dropped what it had to by now.
func (w *World) purgedBefore(server int32, group int64) int64 {
	least := int64(math.MinInt64)
	for i := range w.purges {
		f := &w.purges[i]
		takes := int64(hashMix(uint64(server)<<8|uint64(i)) % uint64(purgePropagationTime))
		if f.startedAt+takes <= w.now && f.startedAt > least && f.includes(group) {
			least = f.startedAt
		}
	}
	return least
}

// checkPurges checks an answer against the purges that bound its router when it was sent.
func (w *World) checkPurges(attempt *serverAttempt) {
	request := &w.requests[attempt.request]
	group := purgeGroup(&w.operations[request.operation])
	for _, h := range w.routers[request.router].purgeDeadlines {
		if f := &w.purges[h.purge]; attempt.sentAt > h.from && attempt.producedAt < f.startedAt && f.includes(group) {
			w.result.violation("an answer from a purged copy")
		}
	}
}

// linkLoadReport is how many fills a depot's link has under way for those that fit at full pace: what its caches report. It is as of some
// time ago, as reports are.
func (w *World) linkLoadReport(depot int) []float64 {
	if w.config.Deployment == nil || !w.config.Deployment.ReportsLinkLoad {
		return nil
	}
	u := &w.linkReports[depot]
	if w.now-u.sampledAt >= loadReportInterval {
		u.sampledAt, u.reported, u.next = w.now, u.next, float64(w.links[w.siteLinks[depot]].active)*responseKBPerSecond/w.config.siteLinkKBPerSecond()
	}
	return []float64{u.reported}
}

// linkReport is the state of a depot's link as it was looked at last, and the time before.
type linkReport struct {
	sampledAt      int64
	reported, next float64
}
