package fleet

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Condition is what a health report tells of a server.
type Condition byte

// The conditions.
const (
	Failing      Condition = iota + 1 // its answers fail, or do not come
	Overloaded                        // it is late, or turns requests away
	conditionEnd                      // first value that is none
)

// Broadcast stands for all members in place of a rank: one datagram that reaches all.
const Broadcast = -1

// Times in microseconds. At 30% loss a verdict that two depots support has reached 99 in 100 of the routers 2.5 s after the second one observed the server.
// A verdict ends reportLifetime after the last report of all depots but one at the latest, and a report is sent for as long as its observation stands.
//
// However many routers observe a server, few report it. Each waits for a random part of a round before it reports, and does not if more than ejectionQuorum
// other depots have reported the same in that round. The waits are distributed exponentially towards the round's end, so that with the number of routers only
// the logarithm of the reports sent before they suppress the others grows: J. Nonnenmacher, E. W. Biersack, "Scalable feedback for large groups",
// IEEE/ACM Transactions on Networking 7(3), 1999.
const (
	ejectionQuorum      = 2       // depots that must report a server: behind a full or broken link of one depot every server looks bad
	firstRound          = 250_000 // longest wait of the first rounds, while few others report
	firstRounds         = 6
	laterRound          = 500_000   // longest wait of all others
	observationLifetime = 500_000   // of an observation that is not made again
	reportLifetime      = 4_500_000 // of a report that was received
	serversPerEjection  = 3         // one in so many servers of a kind may be ejected: verdicts must not empty a kind
	maxObservations     = 128       // of this router
	maxReports          = 1024      // servers and conditions of which reports are kept
	reportInterval      = 100_000   // least mean time between reports that this router sends
	reportBurst         = 8
)

// reportKey names a server and a condition reported of it.
type reportKey struct {
	server    uint32
	condition Condition
}

// observation is what this router itself saw of a server.
type observation struct {
	observedAt     int64
	roundStartedAt int64
	reportDueAt    int64
	rounds         int // ended, with a report or without
}

// HealthReports holds one router's observations of servers and the reports of all depots, and decides when to report. It needs no membership: only how many
// routers there are. It is not safe for concurrent use. Times are microseconds.
type HealthReports struct {
	site      int // of this router
	fleetSize int
	rng       *rand.Rand
	broadcast func(server uint32, condition Condition) // sends a report to all

	observed         map[reportKey]*observation
	reports          map[reportKey]map[int]int64 // time of the last report, by depot
	succeededAt      map[uint32]int64            // time of the last good answer here, by server
	tokens           float64                     // reports that may be sent now
	tokensRefilledAt int64
}

// NewHealthReports returns the state of a router of this depot, one of so many, that has observed and received nothing.
func NewHealthReports(depot, routers int, rng *rand.Rand, broadcast func(server uint32, condition Condition)) *HealthReports {
	return &HealthReports{site: depot, fleetSize: routers, rng: rng, broadcast: broadcast, observed: map[reportKey]*observation{},
		reports: map[reportKey]map[int]int64{}, succeededAt: map[uint32]int64{}, tokens: reportBurst}
}

// ReportFailure tells that this router itself saw a condition of a server. All members are told, again and again for as long as the caller repeats it.
// Observations beyond maxObservations are dropped.
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
	h.receive(now, key, h.site)
	h.sendReport(now, key, seen)
}

// ReportSuccess tells that a server has just answered this router well. That overrides earlier reports of others here, and ends this router's own.
func (h *HealthReports) ReportSuccess(now int64, server uint32) {
	if len(h.succeededAt) < maxReports || h.succeededAt[server] != 0 {
		h.succeededAt[server] = now
	}
	for condition := Failing; condition < conditionEnd; condition++ {
		delete(h.observed, reportKey{server, condition})
	}
}

// Ejected lists the servers, of all that there are, on which a verdict is in force: those that most depots report first, of equals the one with the lesser
// number, the same at all routers that have received the same. One in serversPerEjection of all at most, but one of two or more.
func (h *HealthReports) Ejected(now int64, condition Condition, all []uint32) []uint32 {
	type verdict struct {
		server uint32
		depots int
	}
	var verdicts []verdict
	for _, server := range all {
		depots := 0
		for _, at := range h.reports[reportKey{server, condition}] {
			if now-at < reportLifetime && at > h.succeededAt[server] {
				depots++
			}
		}
		if depots >= ejectionQuorum {
			verdicts = append(verdicts, verdict{server, depots})
		}
	}
	slices.SortFunc(verdicts, func(a, b verdict) int {
		if a.depots != b.depots {
			return b.depots - a.depots
		}
		return int(int64(a.server) - int64(b.server))
	})
	most := len(all) / serversPerEjection
	if most == 0 && len(all) > 1 {
		most = 1
	}
	var ejected []uint32
	for _, v := range verdicts[:min(len(verdicts), most)] {
		ejected = append(ejected, v.server)
	}
	return ejected
}

// Tick sends the reports that are due, and forgets observations that no longer stand. It is called every tickInterval.
func (h *HealthReports) Tick(now int64) {
	for _, key := range sortedKeys(h.observed) {
		seen := h.observed[key]
		if now-seen.observedAt >= observationLifetime {
			delete(h.observed, key)
			continue
		}
		h.receive(now, key, h.site)
		h.sendReport(now, key, seen)
	}
	if len(h.reports) >= maxReports/2 {
		h.expire(now)
	}
}

// expire forgets reports and good answers that no longer count.
func (h *HealthReports) expire(now int64) {
	maps.DeleteFunc(h.reports, func(_ reportKey, byDepot map[int]int64) bool {
		maps.DeleteFunc(byDepot, func(_ int, at int64) bool { return now-at >= reportLifetime })
		return len(byDepot) == 0
	})
	maps.DeleteFunc(h.succeededAt, func(_ uint32, at int64) bool { return now-at >= reportLifetime })
}

// sortedKeys orders observations, so that reports are sent in the same order on every run.
func sortedKeys(observed map[reportKey]*observation) []reportKey {
	keys := slices.Collect(maps.Keys(observed))
	slices.SortFunc(keys, func(a, b reportKey) int {
		if a.server != b.server {
			return int(int64(a.server) - int64(b.server))
		}
		return int(a.condition) - int(b.condition)
	})
	return keys
}

// sendReport ends a round that is over: it tells all members of the observation, within the rate allowed, unless enough other depots have reported the same
// in this round. Then it begins the next round.
func (h *HealthReports) sendReport(now int64, key reportKey, seen *observation) {
	if now < seen.reportDueAt {
		return
	}
	suppressed := h.countOtherReporters(key, seen.roundStartedAt) > ejectionQuorum // one more than needed: some of their reports may be lost elsewhere
	if !suppressed {
		if !h.takeToken(now) {
			return
		}
		h.broadcast(key.server, key.condition)
	}
	seen.rounds++
	longest := int64(laterRound)
	if !suppressed && seen.rounds < firstRounds {
		longest = firstRound
	}
	h.beginRound(now, seen, longest)
}

// beginRound draws when the observation is to be reported next.
func (h *HealthReports) beginRound(now int64, seen *observation, longest int64) {
	seen.roundStartedAt = now
	seen.reportDueAt = now + int64(h.suppressionDelay()*float64(longest))
}

// suppressionDelay draws a wait as a part of the longest, with a density that grows exponentially by the optimal rate for the number of routers.
func (h *HealthReports) suppressionDelay() float64 {
	rate := math.Log(float64(h.fleetSize)) + 1
	return math.Log1p(h.rng.Float64()*math.Expm1(rate)) / rate
}

// countOtherReporters counts the other depots from which a report was received since a time.
func (h *HealthReports) countOtherReporters(key reportKey, since int64) (others int) {
	for depot, at := range h.reports[key] {
		if depot != h.site && at >= since {
			others++
		}
	}
	return others
}

// takeToken takes from the bucket that bounds the rate of reports; false: it is empty.
func (h *HealthReports) takeToken(now int64) bool {
	h.tokens = min(h.tokens+float64(now-h.tokensRefilledAt)/reportInterval, reportBurst)
	h.tokensRefilledAt = now
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

// Receive notes that a depot reports a condition of a server. Beyond maxReports of them it is dropped.
func (h *HealthReports) Receive(now int64, server uint32, condition Condition, depot int) {
	h.receive(now, reportKey{server, condition}, depot)
}

func (h *HealthReports) receive(now int64, key reportKey, depot int) {
	byDepot := h.reports[key]
	if byDepot == nil {
		if len(h.reports) >= maxReports {
			return
		}
		byDepot = map[int]int64{}
		h.reports[key] = byDepot
	}
	byDepot[depot] = now
}

// ReportFailure tells that this router itself saw a condition of a server: see HealthReports.
func (n *Node) ReportFailure(now int64, server uint32, condition Condition) {
	n.healthReports.ReportFailure(now, server, condition)
}

// ReportSuccess tells that a server has just answered this router well: see HealthReports.
func (n *Node) ReportSuccess(now int64, server uint32) { n.healthReports.ReportSuccess(now, server) }

// Ejected lists the servers on which a verdict is in force: see HealthReports.
func (n *Node) Ejected(now int64, condition Condition, all []uint32) []uint32 {
	return n.healthReports.Ejected(now, condition, all)
}

// broadcastReport sends a report to all members.
func (n *Node) broadcastReport(server uint32, condition Condition) {
	n.outgoing.kind, n.outgoing.server, n.outgoing.condition = healthReportMessage, server, condition
	n.send(Broadcast)
}
