package routing

import (
	"math"
	"strconv"
)

// Arithmetic that decides nothing: what it is fed with, and what follows from it, stands in the policy files.

// decayingSum is an average of work a microsecond that forgets exponentially over a span of microseconds.
type decayingSum struct {
	sum       float64
	updatedAt int64
}

func (m *decayingSum) add(now int64, span, work float64) {
	m.sum = m.sum*math.Exp(-float64(now-m.updatedAt)/span) + work
	m.updatedAt = now
}

func (m *decayingSum) rate(now int64, span float64) float64 {
	return m.sum * math.Exp(-float64(now-m.updatedAt)/span) / span
}

// runningMean is a mean of what came: of the first few all alike, then one that forgets.
type runningMean struct{ value, count float64 }

func (m *runningMean) add(x, leastStep float64) {
	m.count++
	m.value += max(1/m.count, leastStep) * (x - m.value)
}

// valueAt returns list[i], or the zero value outside it.
func valueAt[T any](list []T, i int) (v T) {
	if i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

// mixHash finishes a hash to 53 bits: FNV spreads late bytes badly.
func mixHash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (x ^ x>>31) >> 11
}

// chunkKey is the key of a part, as "7f3a/3", in one allocation.
func chunkKey(object string, part int64) string {
	var room [48]byte
	return string(strconv.AppendInt(append(append(room[:0], object...), '/'), part, 10))
}

// maxWeightDensity is the most that a class earns for its sending time. Writes are left out where fills that are known to ask are
// compared, as these are reads. It is above zero, for use as a divisor.
func (r *Engine) maxWeightDensity(writes bool) float64 {
	most := 1e-12
	for i, c := range r.settings.Classes {
		if writes || !valueAt(r.settings.Hierarchy.Uncacheable, i) {
			most = max(most, c.PriorityWeight/r.meanSendTime[i])
		}
	}
	return most
}

// ConfirmedOriginFills is how many fills that are known to ask the origin are out.
func (r *Engine) ConfirmedOriginFills() int { return r.confirmedOriginFills }

// sendTime estimates how long the answer to q takes to send.
func (r *Engine) sendTime(q *request) float64 {
	if q.SizeKB > 0 && r.settings.Hierarchy.ResponseKBPerSecond > 0 {
		return q.SizeKB / r.settings.Hierarchy.ResponseKBPerSecond * 1e6
	}
	return r.meanSendTime[q.class]
}

// beginStep begins a step.
func (r *Engine) beginStep(now int64) {
	r.now, r.actions = now, nil
	if r.startedAt == 0 {
		r.startedAt = now
	}
}

// knownHistoryShare is the part of the span of the rule on cold servers for which this router knows what was sent to n in its name. A process before it
// may have sent the whole budget just before it ended.
func (r *Engine) knownHistoryShare(n *server) float64 {
	if n.startedAt >= r.startedAt {
		return 1
	}
	return min(float64(r.now-r.startedAt)/float64(max(r.settings.Guarantees.OverloadWindow, 1)), 1)
}

// classSendTime estimates the mean sending time of ev's class as ev comes. Requests tell their sizes at once, answers teach them
// slowly and large ones late: the greater mean counts, for servers are pushed over by what is sent too much.
func (r *Engine) classSendTime(ev *Event, class int) float64 {
	taught := r.meanSendTime[class]
	if ev.SizeKB <= 0 || r.settings.Hierarchy.ResponseKBPerSecond <= 0 {
		return taught
	}
	m := r.meanRequestedSendTime[ev.Class]
	if m == nil {
		m = &runningMean{value: taught, count: 1}
		r.meanRequestedSendTime[ev.Class] = m
	}
	m.add(ev.SizeKB/r.settings.Hierarchy.ResponseKBPerSecond*1e6, meanSendTimeStep)
	return max(taught, m.value)
}

// latencyObjective is how long an answer to q may take in full worth.
func (r *Engine) latencyObjective(q *request) float64 {
	c := &r.settings.Classes[q.class]
	return float64(c.LatencyObjective) + c.ObjectiveSizeFactor*r.sendTime(q)
}
