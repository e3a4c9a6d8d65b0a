package cells

import "math"

// decayScale lets many counts halve in every half-life without changing them: what is added later weighs more instead.
// A count is an amount times the scale of its time; divided by the scale of now it is the decayed amount.
type decayScale struct {
	halfLife float64 // microseconds
	scale    float64
	agedAt   int64 // time of scale, microseconds; 0: nothing was counted yet
}

func newDecayScale(halfLife float64) decayScale { return decayScale{halfLife: halfLife, scale: 1} }

// age brings the scale up to now. Where it has reached the limit it becomes 1, and all counts must be divided by the
// returned divisor; otherwise that is 1.
func (d *decayScale) age(now int64, limit float64) (divisor float64) {
	if d.agedAt == 0 {
		d.agedAt = now
	}
	if now <= d.agedAt {
		return 1
	}
	d.scale *= math.Exp2(float64(now-d.agedAt) / d.halfLife)
	d.agedAt = now
	if d.scale < limit {
		return 1
	}
	divisor = d.scale
	d.scale = 1
	return divisor
}
