package emulator

import (
	"math"

	"spantack/routing"
)

// purge makes all copies of a fraction of the purge groups invalid.
type purge struct {
	startedAt int64
	fraction  float64 // fraction of all groups that is purged
	salt      uint64  // selects the groups
}

// includes reports whether a group is purged.
func (p *purge) includes(group int64) bool { return hashFraction(uint64(group)^p.salt) < p.fraction }

// purgeDeadline is the time from which a router may no longer send attempts that are served from copies that a purge
// made invalid.
type purgeDeadline struct {
	purge int32
	from  int64
}

// purgeGroup returns the purge group of an operation's object.
func purgeGroup(operation *clientOperation) int64 {
	if operation.release {
		return releasePurgeGroup
	}
	return int64(operation.tenant % releasePurgeGroup)
}

// startPurge purges the fault's fraction of all groups. Each running router receives the notice within
// maxPurgeNoticeDelay, and each server drops its copies within purgePropagationTime.
func (w *World) startPurge(fault Fault) {
	w.purges = append(w.purges, purge{startedAt: w.now, fraction: fault.Fraction, salt: w.config.Seed ^ uint64(w.now)})
	for r := range w.routers {
		router := &w.routers[r]
		if !router.running {
			continue
		}
		w.push(event{
			time:       w.now + drawDelay(w.miscRandom, maxPurgeNoticeDelay),
			kind:       eventPurge,
			target:     int32(r),
			generation: router.generation,
			value:      int64(len(w.purges) - 1),
		})
	}
}

// notifyPurge passes a purge to a router's module, with one event for each group.
func (w *World) notifyPurge(id int32, index int) {
	p := &w.purges[index]
	router := &w.routers[id]
	router.purgeDeadlines = append(router.purgeDeadlines, purgeDeadline{int32(index), w.now + purgeCheckDelay})
	for group := range int64(releasePurgeGroup) {
		if p.includes(group) {
			w.stepRouter(id, routing.Event{Kind: routing.EventPurge, PurgeGroup: group, PurgeAge: w.now - p.startedAt})
		}
	}
}

// notifyRecentPurges passes the purges that are still propagating to a router that has just started.
func (w *World) notifyRecentPurges(id int32) {
	for i := range w.purges {
		if w.now-w.purges[i].startedAt < purgePropagationTime {
			w.notifyPurge(id, i)
		}
	}
}

// purgedBefore returns the time of the latest purge of a group that a server has applied so far. The server has no
// copies of the group that were produced earlier. If it has applied no purge of the group, the result is math.MinInt64.
func (w *World) purgedBefore(server int32, group int64) int64 {
	latest := int64(math.MinInt64)
	for i := range w.purges {
		p := &w.purges[i]
		delay := int64(hashMix(uint64(server)<<8|uint64(i)) % uint64(purgePropagationTime))
		if p.startedAt+delay <= w.now && p.startedAt > latest && p.includes(group) {
			latest = p.startedAt
		}
	}
	return latest
}

// checkPurges counts a violation if a response came from a purged copy and the router sent the attempt after its
// deadline for that purge.
func (w *World) checkPurges(attempt *serverAttempt) {
	request := &w.requests[attempt.request]
	group := purgeGroup(&w.operations[request.operation])
	for _, deadline := range w.routers[request.router].purgeDeadlines {
		p := &w.purges[deadline.purge]
		if attempt.sentAt > deadline.from && attempt.producedAt < p.startedAt && p.includes(group) {
			w.result.countViolation(violationPurgedCopy)
		}
	}
}
