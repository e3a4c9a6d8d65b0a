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

// wants is what a tenant asked for of late, let in or not: what a plan must find room for.
type wants struct {
	requests, kb, fill, worth float64
	at                        int64
}

// wantsSpan in microseconds is how long a request counts in a tenant's demand: a minute, as plans are not made for peaks.
const wantsSpan = 60e6

func (w *wants) add(now int64, kb, fill, worth float64) {
	keep := math.Exp(-float64(now-w.at) / wantsSpan)
	w.requests, w.kb, w.fill, w.worth, w.at = w.requests*keep+1, w.kb*keep+kb, w.fill*keep+fill, w.worth*keep+worth, now
}

// Demand is what one tenant asks of one router: requests, KB and KB to be filled a second, and the worth of timely answers.
type Demand struct {
	Name  string    `json:"name"`
	Loads []float64 `json:"loads"`
	Worth float64   `json:"worth"`
}

// Demand lists what tenants asked for of late, the greatest by KB first, n at most.
func (m *Module) Demand(now int64, n int) []Demand {
	var all []Demand
	for i := range m.tenants {
		t := &m.tenants[i]
		if t.wants.at == 0 {
			continue
		}
		perS := math.Exp(-float64(now-t.wants.at)/wantsSpan) / (wantsSpan / 1e6)
		all = append(all, Demand{t.name, []float64{t.wants.requests * perS, t.wants.kb * perS, t.wants.fill * perS}, t.wants.worth * perS})
	}
	slices.SortFunc(all, func(a, b Demand) int { return cmp.Or(cmp.Compare(b.Loads[1], a.Loads[1]), cmp.Compare(a.Name, b.Name)) })
	return all[:min(n, len(all))]
}

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
