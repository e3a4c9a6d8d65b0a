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

// Condition is the condition of a server in a health report. The values are part of the wire format.
type Condition byte

// The conditions.
const (
	// Failing means that the server returns errors or does not respond.
	Failing Condition = iota + 1
	// Overloaded means that the server responds late or rejects requests.
	Overloaded

	conditionEnd // the first value that is not a condition
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

// Times in microseconds. In a fleet of 300 routers with 30% datagram loss, a verdict that two sites support reaches 99%
// of the routers within 2.5 s of the observation at the second site. A test checks this for observations that start at
// both sites at once. A router sends reports as long as its observation lasts. Once fewer than two sites still report a
// server, the verdict on it ends within reportLifetime.
//
// Only a few of the routers that observe a condition of a server report it. A router decides once per round whether to
// report its observation. In each round the router first waits for a random time. After that time it sends a report,
// unless more than ejectionQuorum other sites have reported the same in that round. Short waits are rare, because the
// density of the waits grows exponentially towards the longest wait. The number of reports that are sent before they
// suppress the others therefore grows only with the logarithm of the number of routers: J. Nonnenmacher,
// E. W. Biersack, "Scalable feedback for large groups", IEEE/ACM Transactions on Networking 7(3), 1999.
const (
	maxInitialRoundDelay = 250_000   // longest wait in the initial rounds, while few others report
	initialRounds        = 6         // number of initial rounds
	maxRoundDelay        = 500_000   // longest wait in all other rounds
	observationLifetime  = 500_000   // an observation that is not repeated expires after this time
	reportLifetime       = 4_500_000 // a report expires this long after its receipt
	reportInterval       = 100_000   // time in which the rate limit of this router permits one more report
	reportBurst          = 8         // maximum number of reports that this router sends at once
)

// Bounds of the stored state.
const (
	maxObservations = 128  // maximum number of entries of HealthReports.observed
	maxReports      = 1024 // maximum number of entries of HealthReports.reports, and of HealthReports.succeededAt
)

// reportKey identifies a server and a condition.
type reportKey struct {
	server    uint32
	condition Condition
}

// byServer compares keys by server, then by condition. With this order, reports are sent in the same order in every
// run.
func byServer(a, b reportKey) int {
	return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.condition, b.condition))
}

// observation is the state of a condition that this router itself observes.
type observation struct {
	observedAt     int64 // time of the latest observation
	roundStartedAt int64 // time at which the current round started
	reportDueAt    int64 // time at which the router decides whether to report
	rounds         int   // number of rounds that have ended, with or without a report
}

// HealthReports stores the observations of one router and the reports of all sites, and decides when the router sends a
// report. It uses the configured number of routers, whether or not they are up. It is not safe for concurrent use.
type HealthReports struct {
	site      int // site of this router
	fleetSize int // configured number of routers
	rng       *rand.Rand
	broadcast func(server uint32, condition Condition) // sends a report to all members

	observed    map[reportKey]*observation
	reports     map[reportKey]map[int]int64 // time of the latest report, by site
	succeededAt map[uint32]int64            // time of the latest successful response to this router, by server
	rateLimit   gossip.TokenBucket          // limits the reports that this router sends
}

// NewHealthReports returns a HealthReports without observations and reports, for a router of the given site in a fleet
// of fleetSize routers. It calls broadcast to send a report to all other routers.
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

// ReportCondition records that this router itself observes a condition of a server. Reports are sent to all members for
// as long as the caller repeats the observation. Observations beyond maxObservations are dropped.
func (h *HealthReports) ReportCondition(now int64, server uint32, condition Condition) {
	key := reportKey{server, condition}
	seen := h.observed[key]
	if seen == nil {
		if len(h.observed) >= maxObservations {
			return
		}
		seen = &observation{}
		h.observed[key] = seen
		h.startRound(now, seen, maxInitialRoundDelay)
	}
	seen.observedAt = now
	h.record(now, key, h.site)
	h.reportIfDue(now, key, seen)
}

// ReportSuccess records that a server has just responded successfully to a request of this router. At this router, the
// success overrides earlier reports of all sites about the server and ends the router's own observations of the server.
func (h *HealthReports) ReportSuccess(now int64, server uint32) {
	if len(h.succeededAt) < maxReports || h.succeededAt[server] != 0 {
		h.succeededAt[server] = now
	}
	for condition := Failing; condition < conditionEnd; condition++ {
		delete(h.observed, reportKey{server, condition})
	}
}

// Receive records a report of a site about a condition of a server. Reports about more than maxReports pairs of server
// and condition are dropped.
func (h *HealthReports) Receive(now int64, server uint32, condition Condition, site int) {
	h.record(now, reportKey{server, condition}, site)
}

// Tick sends the reports that are due and removes expired state. It must be called every 50 ms.
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

// record records a report of a site, which may be the site of this router.
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

// expire removes reports and successful responses that were received reportLifetime ago or earlier.
func (h *HealthReports) expire(now int64) {
	isExpired := func(at int64) bool { return now-at >= reportLifetime }
	maps.DeleteFunc(h.reports, func(_ reportKey, bySite map[int]int64) bool {
		maps.DeleteFunc(bySite, func(_ int, at int64) bool { return isExpired(at) })
		return len(bySite) == 0
	})
	maps.DeleteFunc(h.succeededAt, func(_ uint32, at int64) bool { return isExpired(at) })
}

// reportIfDue does nothing if the report of an observation is not due. Otherwise it ends the round and starts the next
// one. It sends the report to all members unless more than ejectionQuorum other sites have reported the same in this
// round. If the rate limit does not permit a report that must be sent, the round does not end and the report stays due.
func (h *HealthReports) reportIfDue(now int64, key reportKey, seen *observation) {
	if now < seen.reportDueAt {
		return
	}
	// Suppression needs one report more than the quorum, because some of the reports may not reach other routers.
	isSuppressed := h.countOtherSites(key, seen.roundStartedAt) > ejectionQuorum
	if !isSuppressed {
		if !h.rateLimit.Take(now) {
			return
		}
		h.broadcast(key.server, key.condition)
	}
	seen.rounds++
	longest := int64(maxRoundDelay)
	if !isSuppressed && seen.rounds < initialRounds {
		longest = maxInitialRoundDelay
	}
	h.startRound(now, seen, longest)
}

// startRound starts a round and chooses the random time in it at which the observation is reported.
func (h *HealthReports) startRound(now int64, seen *observation, longest int64) {
	seen.roundStartedAt = now
	seen.reportDueAt = now + int64(h.drawDelay()*float64(longest))
}

// drawDelay returns a random wait as a fraction of the longest wait. The density of the wait grows exponentially. Its
// growth rate, ln(fleetSize) + 1, is optimal for the size of the fleet (Nonnenmacher and Biersack).
func (h *HealthReports) drawDelay() float64 {
	rate := math.Log(float64(h.fleetSize)) + 1
	return math.Log1p(h.rng.Float64()*math.Expm1(rate)) / rate
}

// countOtherSites returns the number of other sites whose latest report was received at or after the time since.
func (h *HealthReports) countOtherSites(key reportKey, since int64) (others int) {
	for site, at := range h.reports[key] {
		if site != h.site && at >= since {
			others++
		}
	}
	return others
}

// ReportCondition records that this router itself observes a condition of a server. See HealthReports.
func (n *Node) ReportCondition(now int64, server uint32, condition Condition) {
	n.healthReports.ReportCondition(now, server, condition)
}

// ReportSuccess records that a server has just responded successfully to a request of this router. See HealthReports.
func (n *Node) ReportSuccess(now int64, server uint32) { n.healthReports.ReportSuccess(now, server) }

// broadcastHealthReport sends a report to all members.
func (n *Node) broadcastHealthReport(server uint32, condition Condition) {
	n.send(Broadcast, &message{kind: healthReportMessage, server: server, condition: condition})
}
