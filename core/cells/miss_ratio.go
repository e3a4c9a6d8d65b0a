package cells

// missRatio estimates which fraction of requests causes a fill, and which fraction a fill from the origin. Both are
// kept apart for chunks that were not requested recently (index 0) and for those that were (index 1). The zero value
// is an estimate without any samples.
type missRatio struct {
	fill, origin, samples [2]float64
}

// initialMissRatio is assumed of a cell that has served no request yet.
var initialMissRatio = missRatio{fill: [2]float64{0.5, 0.1}, origin: [2]float64{0.3, 0.05}}

const (
	tenantLearningStep = 0.05 // least weight of a new sample in a tenant's ratios; greater while there are few samples
	cellLearningStep   = 0.01 // and in a cell's
	cellPriorSamples   = 20   // samples of a tenant that weigh as much as the ratios of its cell
)

// learn adds a sample: fill and origin are 1 or 0, recent is the index.
func (m *missRatio) learn(recent int8, fill, origin, minStep float64) {
	step := max(minStep, 1/(m.samples[recent]+1))
	m.samples[recent]++
	m.fill[recent] += step * (fill - m.fill[recent])
	m.origin[recent] += step * (origin - m.origin[recent])
}

// expect returns the ratios of a tenant, which are those of its cell as long as there are few samples.
func (m *missRatio) expect(recent int8, cell *missRatio) (fill, origin float64) {
	own := m.samples[recent] / (m.samples[recent] + cellPriorSamples)
	fill = own*m.fill[recent] + (1-own)*cell.fill[recent]
	origin = own*m.origin[recent] + (1-own)*cell.origin[recent]
	return fill, origin
}
