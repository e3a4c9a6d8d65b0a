package cells

import (
	"cmp"
	"math"
	"slices"
)

// Picture is what a router can tell of its cells at one moment, for its log and for operators.
type Picture struct {
	Version int64      `json:"version"`
	Stats   Stats      `json:"stats"`
	Cells   []CellNow  `json:"cells"`
	Heavy   []HeavyNow `json:"heavy"`
	Objects []Hitter   `json:"objects"` // by KB asked for of late
}

// CellNow is one cell.
type CellNow struct {
	Name    string   `json:"name"`
	Live    bool     `json:"live"`
	Caches  []string `json:"caches"`
	Open    int      `json:"open"`    // requests under way
	Tenants float64  `json:"tenants"` // that asked of late
	Level   float64  `json:"level"`   // use by weight past which a tenant is turned away; 0: nobody is
}

// HeavyNow is a tenant that uses much, in parts of what this router may use of the depot in a second.
type HeavyNow struct {
	Name string  `json:"name"`
	Cell string  `json:"cell"`
	Used float64 `json:"used"`
}

// mostHeavy tenants are told of.
const mostHeavy = 5

// Picture tells how the cells are; nil while nothing is confined.
func (m *Module) Picture(now int64) *Picture {
	if m.spec == nil {
		return nil
	}
	p := &Picture{Version: m.spec.Version, Stats: m.Stats}
	for i := range m.cells {
		c := &m.cells[i]
		level := c.fair.level
		if math.IsInf(level, 1) {
			level = 0
		}
		p.Cells = append(p.Cells, CellNow{c.name, c.live, slices.Clone(c.names), c.open, c.fair.tenants, level})
	}
	for i := range m.tenants {
		t := &m.tenants[i]
		if used := t.used.now(now) / (useSpan / 1e6); t.busy && used > 0 {
			p.Heavy = append(p.Heavy, HeavyNow{t.name, m.cells[t.cell].name, used})
		}
	}
	slices.SortFunc(p.Heavy, func(a, b HeavyNow) int { return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Name, b.Name)) })
	p.Heavy = p.Heavy[:min(mostHeavy, len(p.Heavy))]
	p.Objects = m.objects.Top(mostHeavy)
	return p
}
