package cells

// missRatio estimates the fraction of requests that cause a fill, and the fraction that cause a fill from the origin.
// There are separate estimates for chunks that were not requested recently (index 0) and for chunks that were (index
// 1). The zero value has no samples.
type missRatio struct {
	fill, origin, samples [2]float64
}

// initialMissRatio is the estimate for a cell that has not served a request yet.
var initialMissRatio = missRatio{fill: [2]float64{0.5, 0.1}, origin: [2]float64{0.3, 0.05}}

const (
	tenantLearningStep = 0.05 // minimum weight of a new sample in a tenant's ratios; higher with few samples
	cellLearningStep   = 0.01 // minimum weight of a new sample in a cell's ratios; higher with few samples
	cellPriorSamples   = 20   // number of samples of a tenant that weigh as much as the ratios of its cell
)

// learn adds a sample at index recent. fill is 1 if the request caused a fill, and origin is 1 if the fill came from
// the origin; otherwise they are 0.
func (m *missRatio) learn(recent int8, fill, origin, minStep float64) {
	step := max(minStep, 1/(m.samples[recent]+1))
	m.samples[recent]++
	m.fill[recent] += step * (fill - m.fill[recent])
	m.origin[recent] += step * (origin - m.origin[recent])
}

// estimate returns the ratios of a tenant: a weighted mean of the tenant's and the cell's ratios. The weight of the
// tenant's ratios grows with the tenant's number of samples.
func (m *missRatio) estimate(recent int8, cell *missRatio) (fill, origin float64) {
	weight := m.samples[recent] / (m.samples[recent] + cellPriorSamples)
	fill = weight*m.fill[recent] + (1-weight)*cell.fill[recent]
	origin = weight*m.origin[recent] + (1-weight)*cell.origin[recent]
	return fill, origin
}
