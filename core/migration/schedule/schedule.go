// Package schedule plans the migrations of many tenants. As many of them run at the same time as the limits of cells,
// site and origin allow. The package is used by the tools of operators, not by the router.
//
// Rates are in KB/s and apply to all routers of a site together. Times are Unix milliseconds, durations are
// milliseconds.
package schedule

import (
	"cmp"
	"slices"

	"spantack/core/migration"
)

// WorkingSetSeconds is the time in which a tenant requests most of its objects at least once.
const WorkingSetSeconds = 20.0

// Request is a request to migrate a tenant from one cell to another at a site.
type Request struct {
	Tenant       string
	From, To     string   // names of cells
	DemandKBPerS float64  // KB/s that the tenant's clients request
	FillKB       float64  // KB that the new cell must fill; callers may estimate WorkingSetSeconds * DemandKBPerS
	HotObjects   []string // objects to move first, hottest first
}

// CellCapacity is the capacity of a cell for sends and fills.
type CellCapacity struct {
	SendKBPerS float64 // capacity of its caches
	UsedKBPerS float64 // part of SendKBPerS in use now
	FillKBPerS float64 // spare capacity for fills, beyond the fills that run now; 0: unlimited
}

// Constraints are the limits and the migration settings of a schedule.
type Constraints struct {
	Site           string
	Start          float64 // earliest start of a migration
	WarmUp         float64 // Migration.WarmUp of each migration with hot objects
	MinShift       float64 // lower bound of Migration.MinShift of each migration
	MaxShiftFactor float64 // ratio of MaxShift to MinShift of each migration: 1 or more
	Settle         float64 // Migration.Settle of each migration
	Cells          map[string]CellCapacity

	SiteFillKBPerS     float64 // spare capacity for fills into the site, beyond the fills that run now; 0: unlimited
	OriginFillKBPerS   float64 // spare capacity for fills from the origin, beyond the fills that run now; 0: unlimited
	OriginFillFraction float64 // fraction of fills that the origin serves, 0 to 1
}

// Schedule has the planned migrations and how much of the limits they use.
type Schedule struct {
	Migrations  []migration.Migration // sorted by start, then by tenant
	End         float64               // earliest time at which the last migration has shifted all objects
	LowerBound  float64               // no schedule within the limits ends earlier
	PeakUse     map[string]float64    // maximum fraction in use of each limit, by name of the limit
	Unscheduled map[string]string     // reason why a tenant could not be scheduled, by tenant
}

// Plan schedules the requests, shortest migrations first, as many at the same time as the limits allow. If tenants form
// a cycle in which each needs the capacity that another frees, they migrate with the same start and duration. Each
// cell of the cycle then loses load while it gains load. Errors wrap ErrInvalid.
func Plan(requests []Request, constraints Constraints) (*Schedule, error) {
	if err := constraints.validate(requests); err != nil {
		return nil, err
	}
	p := newPlanner(&constraints)
	p.schedule.LowerBound = p.lowerBound(requests)
	batches := make([]batch, 0, len(requests))
	for _, r := range requests {
		batches = append(batches, p.newBatch([]Request{r}))
	}
	unplaced := p.placeBatches(batches)
	if len(unplaced) > 0 { // requests that form a cycle may fit if they migrate together
		unplaced = p.placeBatches(p.joinCycles(unplaced))
	}
	for _, b := range unplaced {
		for _, r := range b.requests {
			p.schedule.Unscheduled[r.Tenant] = p.unscheduledReason(b)
		}
	}
	for _, l := range p.limits {
		p.schedule.PeakUse[l.name] = slices.Max(l.used) / l.capacity
	}
	slices.SortStableFunc(p.schedule.Migrations, func(a, b migration.Migration) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Tenant, b.Tenant))
	})
	return p.schedule, nil
}
