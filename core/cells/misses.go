package cells

// missesAtFirst are taken of a cell of which nothing is known.
var missesAtFirst = misses{miss: [2]float64{0.5, 0.1}, deep: [2]float64{0.3, 0.05}}

// misses is which part of requests is filled, and which from the head office: of parts that were not asked for lately, and
// of others. A tenant of whom little has been seen is taken for what its cell is.
type misses struct {
	miss, deep, seen [2]float64
}

const (
	missStep  = 0.05 // step of a tenant's shares, greater while few requests were seen
	cellStep  = 0.01 // and of a cell's
	missDoubt = 20   // requests of a tenant that weigh as much as what is known of its cell
)

func (m *misses) learn(lately int8, missed, deep, least float64) {
	step := max(least, 1/(m.seen[lately]+1))
	m.seen[lately]++
	m.miss[lately] += step * (missed - m.miss[lately])
	m.deep[lately] += step * (deep - m.deep[lately])
}

func (m *misses) expect(lately int8, cell *misses) (miss, deep float64) {
	own := m.seen[lately] / (m.seen[lately] + missDoubt)
	return own*m.miss[lately] + (1-own)*cell.miss[lately], own*m.deep[lately] + (1-own)*cell.deep[lately]
}
