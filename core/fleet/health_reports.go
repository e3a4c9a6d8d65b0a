package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"spantack/core/gossip"
)

// Condition is what a health report tells of a server. The values are those on the wire.
type Condition byte

// The conditions.
const (
	// Failing: its answers fail, or do not come.
	Failing Condition = iota + 1
	// Overloaded: it is late, or rejects requests.
	Overloaded

	conditionEnd // the first value that is no condition
)

func (c Condition) isKnown() bool { return c > 0 && c < conditionEnd }

// String returns the condition's name.
func (c Condition) String() string {
	switch c {
	case Failing:
		return "failing"
	case Overloaded:
		return "overloaded"
	}
	return fmt.Sprintf("Condition(%d)", byte(c))
}

// Times in microseconds. At 30% loss a verdict that two sites support has reached 99 in 100 of the routers 2.5 s
// after the second one observed the server. A verdict ends reportLifetime after the last report of all sites but
// one at the latest, and reports are sent for as long as their observation stands.
//
// However many routers observe a server, few report it. Each waits for a random part of a round before it reports,
// and does not if more than ejectionQuorum other sites have reported the same in that round. The waits are
// distributed exponentially towards the round's end, so that the number of reports sent before they suppress the
// others grows with the logarithm of the number of routers only: J. Nonnenmacher, E. W. Biersack, "Scalable
// feedback for large groups", IEEE/ACM Transactions on Networking 7(3), 1999.
const (
	firstRound          = 250_000   // longest wait of the first rounds, while few others report
	firstRounds         = 6         // how many of those there are
	laterRound          = 500_000   // longest wait of all other rounds
	observationLifetime = 500_000   // of an observation that is not made again
	reportLifetime      = 4_500_000 // of a report that was received
	reportInterval      = 100_000   // between reports that this router sends, on average
	reportBurst         = 8         // reports that it may send at once
)

// Bounds of what is kept.
const (
	maxObservations = 128  // of this router
	maxReports      = 1024 // servers and conditions of which reports are kept, and servers with good answers
)

// reportKey names a server and a condition reported of it.
type reportKey struct {
	server    uint32
	condition Condition
}

// byServer orders keys, so that reports are sent in the same order on every run.
func byServer(a, b reportKey) int {
	return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.condition, b.condition))
}

// observation is what this router itself observes of a server.
type observation struct {
	observedAt     int64 // last
	roundStartedAt int64
	reportDueAt    int64
	rounds         int // that have ended, with a report or without
}

// HealthReports holds one router's observations of servers and the reports of all sites, and decides when to
// report. It needs no membership: only how many routers there are. It is not safe for concurrent use.
type HealthReports struct {
	site      int // of this router
	fleetSize int
	rng       *rand.Rand
	broadcast func(server uint32, condition Condition) // sends a report to all

	observed    map[reportKey]*observation
	reports     map[reportKey]map[int]int64 // time of the last report, by site
	succeededAt map[uint32]int64            // time of the last good answer to this router, by server
	rateLimit   gossip.TokenBucket          // of reports sent
}

// NewHealthReports returns the state of a router of this site, one of so many in the fleet, that has observed and
// received nothing. It calls broadcast to have a report sent to all others.
func NewHealthReports(
	site, fleetSize int, rng *rand.Rand, broadcast func(server uint32, condition Condition),
) *HealthReports {
	return &HealthReports{
		site:        site,
		fleetSize:   fleetSize,
		rng:         rng,
		broadcast:   broadcast,
		observed:    map[reportKey]*observation{},
		reports:     map[reportKey]map[int]int64{},
		succeededAt: map[uint32]int64{},
		rateLimit:   gossip.NewTokenBucket(reportInterval, reportBurst),
	}
}

// ReportFailure notes that this router itself observes a condition of a server. All members are told, repeatedly
// for as long as the caller repeats it. Observations beyond maxObservations are dropped.
func (h *HealthReports) ReportFailure(now int64, server uint32, condition Condition) {
	key := reportKey{server, condition}
	seen := h.observed[key]
	if seen == nil {
		if len(h.observed) >= maxObservations {
			return
		}
		seen = &observation{}
		h.observed[key] = seen
		h.beginRound(now, seen, firstRound)
	}
	seen.observedAt = now
	h.record(now, key, h.site)
	h.reportIfDue(now, key, seen)
}

// ReportSuccess notes that a server has just answered this router well. That overrides earlier reports of others
// here, and ends this router's own observations.
func (h *HealthReports) ReportSuccess(now int64, server uint32) {
	if len(h.succeededAt) < maxReports || h.succeededAt[server] != 0 {
		h.succeededAt[server] = now
	}
	for condition := Failing; condition < conditionEnd; condition++ {
		delete(h.observed, reportKey{server, condition})
	}
}

// Receive notes that a router of a site reports a condition of a server. Reports of more than maxReports servers and
// conditions are dropped.
func (h *HealthReports) Receive(now int64, server uint32, condition Condition, site int) {
	h.record(now, reportKey{server, condition}, site)
}

// Tick sends the reports that are due, and removes what no longer counts. It is called every tickInterval.
func (h *HealthReports) Tick(now int64) {
	keys := slices.Collect(maps.Keys(h.observed))
	slices.SortFunc(keys, byServer)
	for _, key := range keys {
		seen := h.observed[key]
		if now-seen.observedAt >= observationLifetime {
			delete(h.observed, key)
			continue
		}
		h.record(now, key, h.site)
		h.reportIfDue(now, key, seen)
	}
	if len(h.reports) >= maxReports/2 {
		h.expire(now)
	}
}

// record books a report of a site, which may be this router's own.
func (h *HealthReports) record(now int64, key reportKey, site int) {
	bySite := h.reports[key]
	if bySite == nil {
		if len(h.reports) >= maxReports {
			return
		}
		bySite = map[int]int64{}
		h.reports[key] = bySite
	}
	bySite[site] = now
}

// expire removes reports and good answers that no longer count.
func (h *HealthReports) expire(now int64) {
	isExpired := func(at int64) bool { return now-at >= reportLifetime }
	maps.DeleteFunc(h.reports, func(_ reportKey, bySite map[int]int64) bool {
		maps.DeleteFunc(bySite, func(_ int, at int64) bool { return isExpired(at) })
		return len(bySite) == 0
	})
	maps.DeleteFunc(h.succeededAt, func(_ uint32, at int64) bool { return isExpired(at) })
}

// reportIfDue ends a round that is over: it reports the observation to all members, within the rate allowed, unless
// enough other sites have reported the same in this round. Then it begins the next round.
func (h *HealthReports) reportIfDue(now int64, key reportKey, seen *observation) {
	if now < seen.reportDueAt {
		return
	}
	// One report more than needed suppresses this one: some of the others' may be lost elsewhere.
	isSuppressed := h.countOtherReporters(key, seen.roundStartedAt) > ejectionQuorum
	if !isSuppressed {
		if !h.rateLimit.Take(now) {
			return
		}
		h.broadcast(key.server, key.condition)
	}
	seen.rounds++
	longest := int64(laterRound)
	if !isSuppressed && seen.rounds < firstRounds {
		longest = firstRound
	}
	h.beginRound(now, seen, longest)
}

// beginRound draws when the observation is to be reported next.
func (h *HealthReports) beginRound(now int64, seen *observation, longest int64) {
	seen.roundStartedAt = now
	seen.reportDueAt = now + int64(h.drawDelay()*float64(longest))
}

// drawDelay draws a wait as a part of the longest, with a density that grows exponentially by the optimal rate for
// the size of the fleet.
func (h *HealthReports) drawDelay() float64 {
	rate := math.Log(float64(h.fleetSize)) + 1
	return math.Log1p(h.rng.Float64()*math.Expm1(rate)) / rate
}

// countOtherReporters counts the other sites from which a report was received since a time.
func (h *HealthReports) countOtherReporters(key reportKey, since int64) (others int) {
	for site, at := range h.reports[key] {
		if site != h.site && at >= since {
			others++
		}
	}
	return others
}

// ReportFailure notes that this router itself observes a condition of a server: see HealthReports.
func (n *Node) ReportFailure(now int64, server uint32, condition Condition) {
	n.healthReports.ReportFailure(now, server, condition)
}

// ReportSuccess notes that a server has just answered this router well: see HealthReports.
func (n *Node) ReportSuccess(now int64, server uint32) { n.healthReports.ReportSuccess(now, server) }

// broadcastHealthReport sends a report to all members.
func (n *Node) broadcastHealthReport(server uint32, condition Condition) {
	n.send(Broadcast, &message{kind: healthReportMessage, server: server, condition: condition})
}
