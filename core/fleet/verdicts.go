package fleet

import (
	"maps"
	"slices"
)

// Condition is what a health report tells of a server.
type Condition byte

// The conditions.
const (
	Failing      Condition = iota + 1 // its answers fail, or do not come
	Crowded                           // it is late, or turns requests away
	conditionEnd                      // first value that is none
)

// Broadcast stands for all members in place of a rank: one datagram that reaches all.
const Broadcast = -1

// Times in microseconds. At 30% loss a verdict that two depots support has reached 99 in 100 of the routers 2.5 s after the second one observed the server.
// A verdict ends reportLifetime after the last report of all depots but one at the latest, and a report is sent for as long as its observation stands.
const (
	verdictQuorum       = 2 // depots that must report a server: behind a full or broken link of one depot every server looks bad
	firstRepeatInterval = 250_000
	firstRepeats        = 6 // reports of an observation that are sent at firstRepeatInterval
	repeatInterval      = 500_000
	observationLifetime = 500_000   // of an observation that is not made again
	reportLifetime      = 4_500_000 // of a report that was received
	ejectedPart         = 3         // one in so many servers of a kind may be ejected: verdicts must not empty a kind
	maxObservations     = 128       // of this router
	maxReported         = 1024      // servers and conditions of which reports are kept
	reportInterval      = 100_000   // least mean time between reports that this router sends
	reportBurst         = 8
)

// healthKey names a server and a condition reported of it.
type healthKey struct {
	server    uint32
	condition Condition
}

// observation is what this router itself saw of a server.
type observation struct {
	seenAt     int64
	reportedAt int64
	reports    int // sent, or left to others that sent the same
}

// health holds this router's observations and the reports of all depots.
type health struct {
	observed  map[healthKey]*observation
	reports   map[healthKey]map[int]int64 // time of the last report, by depot
	succeeded map[uint32]int64            // time of the last good answer here, by server
	tokens    float64                     // reports that may be sent now
	tokensAt  int64
}

func newHealth() health {
	return health{observed: map[healthKey]*observation{}, reports: map[healthKey]map[int]int64{}, succeeded: map[uint32]int64{}, tokens: reportBurst}
}

// ReportFailure tells that this router itself saw a condition of a server. All members are told, again and again for as long as the caller repeats it.
// Observations beyond maxObservations are dropped.
func (n *Node) ReportFailure(now int64, server uint32, condition Condition) {
	key := healthKey{server, condition}
	seen := n.health.observed[key]
	if seen == nil {
		if len(n.health.observed) >= maxObservations {
			return
		}
		seen = &observation{}
		n.health.observed[key] = seen
	}
	seen.seenAt = now
	n.receiveReport(now, key, n.opt.Depot)
	n.sendReport(now, key, seen)
}

// ReportSuccess tells that a server has just answered this router well. That overrides earlier reports of others here, and ends this router's own.
func (n *Node) ReportSuccess(now int64, server uint32) {
	h := &n.health
	if len(h.succeeded) < maxReported || h.succeeded[server] != 0 {
		h.succeeded[server] = now
	}
	for condition := Failing; condition < conditionEnd; condition++ {
		delete(h.observed, healthKey{server, condition})
	}
}

// Ejected lists the servers, of all that there are, on which a verdict is in force: those that most depots report first, of equals the one with the lesser
// number, the same at all routers that have received the same. One in ejectedPart of all at most, but one of two or more.
func (n *Node) Ejected(now int64, condition Condition, all []uint32) []uint32 {
	type verdict struct {
		server uint32
		depots int
	}
	var verdicts []verdict
	for _, server := range all {
		depots := 0
		for _, at := range n.health.reports[healthKey{server, condition}] {
			if now-at < reportLifetime && at > n.health.succeeded[server] {
				depots++
			}
		}
		if depots >= verdictQuorum {
			verdicts = append(verdicts, verdict{server, depots})
		}
	}
	slices.SortFunc(verdicts, func(a, b verdict) int {
		if a.depots != b.depots {
			return b.depots - a.depots
		}
		return int(int64(a.server) - int64(b.server))
	})
	most := len(all) / ejectedPart
	if most == 0 && len(all) > 1 {
		most = 1
	}
	var ejected []uint32
	for _, v := range verdicts[:min(len(verdicts), most)] {
		ejected = append(ejected, v.server)
	}
	return ejected
}

// repeatReports sends reports of the observations that stand, and forgets those that do not.
func (n *Node) repeatReports(now int64) {
	h := &n.health
	for _, key := range sortedKeys(h.observed) {
		seen := h.observed[key]
		if now-seen.seenAt >= observationLifetime {
			delete(h.observed, key)
			continue
		}
		n.receiveReport(now, key, n.opt.Depot)
		n.sendReport(now, key, seen)
	}
	if len(h.reports) >= maxReported/2 {
		h.expire(now)
	}
}

// expire forgets reports and good answers that no longer count.
func (h *health) expire(now int64) {
	maps.DeleteFunc(h.reports, func(_ healthKey, byDepot map[int]int64) bool {
		maps.DeleteFunc(byDepot, func(_ int, at int64) bool { return now-at >= reportLifetime })
		return len(byDepot) == 0
	})
	maps.DeleteFunc(h.succeeded, func(_ uint32, at int64) bool { return now-at >= reportLifetime })
}

// sortedKeys orders observations, so that reports are sent in the same order on every run.
func sortedKeys(observed map[healthKey]*observation) []healthKey {
	keys := slices.Collect(maps.Keys(observed))
	slices.SortFunc(keys, func(a, b healthKey) int {
		if a.server != b.server {
			return int(int64(a.server) - int64(b.server))
		}
		return int(a.condition) - int(b.condition)
	})
	return keys
}

// sendReport tells all members of an observation if that is due, within the rate allowed, and not while enough other depots report the same.
func (n *Node) sendReport(now int64, key healthKey, seen *observation) {
	interval := int64(repeatInterval)
	if seen.reports < firstRepeats {
		interval = firstRepeatInterval
	}
	if seen.reports > 0 && now-seen.reportedAt < interval {
		return
	}
	if n.reportedByOthers(now, key, interval) > verdictQuorum { // one more than needed: some of their reports may be lost elsewhere
		seen.reportedAt = now
		seen.reports++
		return
	}
	if !n.health.takeToken(now) {
		return
	}
	seen.reportedAt = now
	seen.reports++
	n.outgoing.op, n.outgoing.server, n.outgoing.condition = report, key.server, key.condition
	n.send(Broadcast)
}

// reportedByOthers counts the other depots from which a report was received within the interval.
func (n *Node) reportedByOthers(now int64, key healthKey, interval int64) (others int) {
	for depot, at := range n.health.reports[key] {
		if depot != n.opt.Depot && now-at < interval {
			others++
		}
	}
	return others
}

// takeToken takes from the bucket that bounds the rate of reports; false: it is empty.
func (h *health) takeToken(now int64) bool {
	h.tokens = min(h.tokens+float64(now-h.tokensAt)/reportInterval, reportBurst)
	h.tokensAt = now
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

// receiveReport notes that a depot reports a condition of a server. Beyond maxReported of them it is dropped.
func (n *Node) receiveReport(now int64, key healthKey, depot int) {
	byDepot := n.health.reports[key]
	if byDepot == nil {
		if len(n.health.reports) >= maxReported {
			return
		}
		byDepot = map[int]int64{}
		n.health.reports[key] = byDepot
	}
	byDepot[depot] = now
}
