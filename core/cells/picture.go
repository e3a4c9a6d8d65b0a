package cells

import (
	"cmp"
	"math"
	"slices"
)

// Status is what a router can tell of its cells at one moment, for its log and for operators.
type Status struct {
	Version      int64         `json:"version"`
	Stats        Stats         `json:"stats"`
	Cells        []CellStatus  `json:"cells"`
	HeavyTenants []HeavyTenant `json:"heavy"`
	HeavyObjects []HeavyHitter `json:"objects"` // by KB asked for of late
}

// CellStatus is one cell.
type CellStatus struct {
	Name           string   `json:"name"`
	HasLiveCache   bool     `json:"live"`
	Caches         []string `json:"caches"`
	OpenRequests   int      `json:"open"`    // requests under way
	ActiveTenants  float64  `json:"tenants"` // that asked of late
	FairShareLimit float64  `json:"level"`   // use by weight past which a tenant is turned away; 0: nobody is
}

// HeavyTenant is a tenant that uses much, in parts of what this router may use of the depot in a second.
type HeavyTenant struct {
	Name  string  `json:"name"`
	Cell  string  `json:"cell"`
	Usage float64 `json:"used"`
}

// maxHeavyListed tenants are told of.
const maxHeavyListed = 5

// demandRate is what a tenant asked for of late, let in or not: what a plan must find room for.
type demandRate struct {
	requests, requestedKB, fillKB, priorityWeight float64
	updatedAt                                     int64
}

// demandTimeConstant in microseconds is how long a request counts in a tenant's demand: a minute, as plans are not made for peaks.
const demandTimeConstant = 60e6

func (w *demandRate) add(now int64, kb, fill, worth float64) {
	keep := math.Exp(-float64(now-w.updatedAt) / demandTimeConstant)
	w.requests, w.requestedKB, w.fillKB, w.priorityWeight, w.updatedAt = w.requests*keep+1, w.requestedKB*keep+kb, w.fillKB*keep+fill, w.priorityWeight*keep+worth, now
}

// TenantDemand is what one tenant asks of one router: requests, KB and KB to be filled a second, and the worth of timely answers.
type TenantDemand struct {
	Name           string    `json:"name"`
	Loads          []float64 `json:"loads"`
	PriorityWeight float64   `json:"worth"`
}

// TopDemand lists what tenants asked for of late, the greatest by KB first, n at most.
func (m *Admission) TopDemand(now int64, n int) []TenantDemand {
	var all []TenantDemand
	for i := range m.tenants {
		t := &m.tenants[i]
		if t.demand.updatedAt == 0 {
			continue
		}
		perS := math.Exp(-float64(now-t.demand.updatedAt)/demandTimeConstant) / (demandTimeConstant / 1e6)
		all = append(all, TenantDemand{t.name, []float64{t.demand.requests * perS, t.demand.requestedKB * perS, t.demand.fillKB * perS}, t.demand.priorityWeight * perS})
	}
	slices.SortFunc(all, func(a, b TenantDemand) int {
		return cmp.Or(cmp.Compare(b.Loads[1], a.Loads[1]), cmp.Compare(a.Name, b.Name))
	})
	return all[:min(n, len(all))]
}

// Status tells how the cells are; nil while nothing is confined.
func (m *Admission) Status(now int64) *Status {
	if m.spec == nil {
		return nil
	}
	p := &Status{Version: m.spec.Version, Stats: m.Stats}
	for i := range m.cells {
		c := &m.cells[i]
		level := c.fairShare.limit
		if math.IsInf(level, 1) {
			level = 0
		}
		p.Cells = append(p.Cells, CellStatus{c.name, c.hasLiveCache, slices.Clone(c.caches), c.openRequests, c.fairShare.activeTenants, level})
	}
	for i := range m.tenants {
		t := &m.tenants[i]
		if used := t.usage.valueAt(now) / (usageTimeConstant / 1e6); t.active && used > 0 {
			p.HeavyTenants = append(p.HeavyTenants, HeavyTenant{t.name, m.cells[t.cell].name, used})
		}
	}
	slices.SortFunc(p.HeavyTenants, func(a, b HeavyTenant) int { return cmp.Or(cmp.Compare(b.Usage, a.Usage), cmp.Compare(a.Name, b.Name)) })
	p.HeavyTenants = p.HeavyTenants[:min(maxHeavyListed, len(p.HeavyTenants))]
	p.HeavyObjects = m.heavyObjects.Top(maxHeavyListed)
	return p
}
