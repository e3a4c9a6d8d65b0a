package cells

import "math"

// decayScale implements exponential decay of many counts without updating each of them. The scale doubles in every
// half-life. An amount is multiplied by the scale at the time of its addition. A stored count divided by the current
// scale is the decayed count.
type decayScale struct {
	halfLife  float64 // microseconds
	scale     float64
	updatedAt int64 // time of the last update of scale, microseconds; 0: never updated
}

func newDecayScale(halfLife float64) decayScale { return decayScale{halfLife: halfLife, scale: 1} }

// age updates the scale to now. If the scale reaches the limit, age resets it to 1, and the caller must divide all
// stored counts by the returned divisor. Otherwise the divisor is 1.
func (d *decayScale) age(now int64, limit float64) (divisor float64) {
	if d.updatedAt == 0 {
		d.updatedAt = now
	}
	if now <= d.updatedAt {
		return 1
	}
	d.scale *= math.Exp2(float64(now-d.updatedAt) / d.halfLife)
	d.updatedAt = now
	if d.scale < limit {
		return 1
	}
	divisor = d.scale
	d.scale = 1
	return divisor
}
