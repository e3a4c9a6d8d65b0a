package cells

import (
	"cmp"
	"math"
	"slices"
)

// Stats counts decisions on requests since the start.
type Stats struct {
	Admitted     int64              `json:"Admitted"`
	FellBack     int64              `json:"Spilled"` // sent to the fallback cell, because the cell had no healthy cache
	Rejected     [reasonCount]int64 `json:"Refused"` // by reason
	Migrated     int64              `json:"Moved"`   // requests of migrating tenants sent to the destination
	KeptInSource int64              `json:"Kept"`    // requests sent to the source, as the destination lacked capacity
}

// Status is a snapshot of the cells at a router, for its log and for operators.
type Status struct {
	Version      int64         `json:"version"` // of the assignment
	Stats        Stats         `json:"stats"`
	Cells        []CellStatus  `json:"cells"`
	HeavyTenants []HeavyTenant `json:"heavy"`
	HeavyObjects []HeavyHitter `json:"objects"` // objects with the most KB requested recently
}

// CellStatus is the state of one cell.
type CellStatus struct {
	Name            string   `json:"name"`
	HasHealthyCache bool     `json:"live"`
	Caches          []string `json:"caches"`
	OpenRequests    int      `json:"open"`
	ActiveTenants   float64  `json:"tenants"`
	FairShareLimit  float64  `json:"level"` // usage divided by weight above which a tenant is rejected; 0: no limit
}

// HeavyTenant is a tenant with high recent usage.
type HeavyTenant struct {
	Name  string  `json:"name"`
	Cell  string  `json:"cell"`
	Usage float64 `json:"used"` // cost of its recent requests per second; 1: all of this router's part of a resource
}

// maxHeavyListed is the maximum length of the lists of heavy tenants and objects in a Status.
const maxHeavyListed = 5

// Status returns a snapshot of the cells, or nil without an assignment.
func (a *Admission) Status(now int64) *Status {
	if a.state.spec == nil {
		return nil
	}
	status := &Status{
		Version:      a.state.spec.Version,
		Stats:        a.Stats,
		HeavyTenants: a.state.heavyTenants(now),
		HeavyObjects: a.heavyObjects.Top(maxHeavyListed),
	}
	for i := range a.state.cells {
		status.Cells = append(status.Cells, a.state.cells[i].status())
	}
	return status
}

func (c *cell) status() CellStatus {
	limit := c.fairShare.limit
	if math.IsInf(limit, 1) {
		limit = 0
	}
	return CellStatus{
		Name:            c.name,
		HasHealthyCache: c.hasHealthyCache,
		Caches:          slices.Clone(c.caches),
		OpenRequests:    c.openRequests,
		ActiveTenants:   c.fairShare.activeTenants,
		FairShareLimit:  limit,
	}
}

// heavyTenants returns up to maxHeavyListed active tenants with the highest usage, in descending order of usage.
func (s *assignmentState) heavyTenants(now int64) []HeavyTenant {
	var heavy []HeavyTenant
	for i := range s.tenants {
		t := &s.tenants[i]
		if usage := t.usage.valueAt(now) / (usageTimeConstant / 1e6); t.isActive && usage > 0 {
			heavy = append(heavy, HeavyTenant{Name: t.name, Cell: s.cells[t.cell].name, Usage: usage})
		}
	}
	slices.SortFunc(heavy, func(a, b HeavyTenant) int {
		return cmp.Or(cmp.Compare(b.Usage, a.Usage), cmp.Compare(a.Name, b.Name))
	})
	return heavy[:min(maxHeavyListed, len(heavy))]
}
