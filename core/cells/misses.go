package cells

// initialMissRatio are taken of a cell of which nothing is known.
var initialMissRatio = missRatio{fill: [2]float64{0.5, 0.1}, origin: [2]float64{0.3, 0.05}}

// missRatio is which part of requests is filled, and which from the head office: of parts that were not asked for lately, and
// of others. A tenant of whom little has been seen is taken for what its cell is.
type missRatio struct {
	fill, origin, samples [2]float64
}

const (
	tenantLearningStep = 0.05 // step of a tenant's shares, greater while few requests were seen
	cellLearningStep   = 0.01 // and of a cell's
	cellPriorSamples   = 20   // requests of a tenant that weigh as much as what is known of its cell
)

func (m *missRatio) learn(lately int8, missed, deep, least float64) {
	step := max(least, 1/(m.samples[lately]+1))
	m.samples[lately]++
	m.fill[lately] += step * (missed - m.fill[lately])
	m.origin[lately] += step * (deep - m.origin[lately])
}

func (m *missRatio) expect(lately int8, cell *missRatio) (miss, deep float64) {
	own := m.samples[lately] / (m.samples[lately] + cellPriorSamples)
	return own*m.fill[lately] + (1-own)*cell.fill[lately], own*m.origin[lately] + (1-own)*cell.origin[lately]
}
