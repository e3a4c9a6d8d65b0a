package rules

import (
	"math"
	"strconv"
)

// Arithmetic that decides nothing: what it is fed with, and what follows from it, stands in the policy files.

// meter is an average of work a microsecond that forgets exponentially over a span of microseconds.
type meter struct {
	sum float64
	at  int64
}

func (m *meter) add(now int64, span, work float64) {
	m.sum = m.sum*math.Exp(-float64(now-m.at)/span) + work
	m.at = now
}

func (m *meter) rate(now int64, span float64) float64 {
	return m.sum * math.Exp(-float64(now-m.at)/span) / span
}

// mean is a mean of what came: of the first few all alike, then one that forgets.
type mean struct{ value, count float64 }

func (m *mean) add(x, leastStep float64) {
	m.count++
	m.value += max(1/m.count, leastStep) * (x - m.value)
}

// at returns list[i], or the zero value outside it.
func at[T any](list []T, i int) (v T) {
	if i >= 0 && i < len(list) {
		v = list[i]
	}
	return v
}

// mix finishes a hash to 53 bits: FNV spreads late bytes badly.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (x ^ x>>31) >> 11
}

// partKey is the key of a part, as "7f3a/3", in one allocation.
func partKey(object string, part int64) string {
	var room [48]byte
	return string(strconv.AppendInt(append(append(room[:0], object...), '/'), part, 10))
}

// densest is the most that a class earns for its sending time. Writes are left out where fills that are known to ask are
// compared, as these are reads. It is above zero, for use as a divisor.
func (r *Router) densest(writes bool) float64 {
	most := 1e-12
	for i, c := range r.set.Classes {
		if writes || !at(r.set.Extra.PassOn, i) {
			most = max(most, c.Gain/r.sendMean[i])
		}
	}
	return most
}

// Asking is how many fills that are known to ask the origin are out.
func (r *Router) Asking() int { return r.asked }

// sending estimates how long the answer to q takes to send.
func (r *Router) sending(q *request) float64 {
	if q.SizeKb > 0 && r.set.Extra.PaceKbPerS > 0 {
		return q.SizeKb / r.set.Extra.PaceKbPerS * 1e6
	}
	return r.sendMean[q.class]
}

// begin begins a step.
func (r *Router) begin(now int64) {
	r.now, r.acts = now, nil
	if r.began == 0 {
		r.began = now
	}
}

// accounted is the part of the span of the rule on cold servers for which this router knows what was sent to n in its name. A process before it
// may have sent the whole budget just before it ended.
func (r *Router) accounted(n *node) float64 {
	if n.cameUp >= r.began {
		return 1
	}
	return min(float64(r.now-r.began)/float64(max(r.set.Guarantees.Fall, 1)), 1)
}

// classWork estimates the mean sending time of ev's class as ev comes. Requests tell their sizes at once, answers teach them
// slowly and large ones late: the greater mean counts, for servers are pushed over by what is sent too much.
func (r *Router) classWork(ev *Event, class int) float64 {
	taught := r.sendMean[class]
	if ev.SizeKb <= 0 || r.set.Extra.PaceKbPerS <= 0 {
		return taught
	}
	m := r.sizes[ev.Class]
	if m == nil {
		m = &mean{value: taught, count: 1}
		r.sizes[ev.Class] = m
	}
	m.add(ev.SizeKb/r.set.Extra.PaceKbPerS*1e6, meanStep)
	return max(taught, m.value)
}

// aim is how long an answer to q may take in full worth.
func (r *Router) aim(q *request) float64 {
	c := &r.set.Classes[q.class]
	return float64(c.Promise) + c.AimStretch*r.sending(q)
}
