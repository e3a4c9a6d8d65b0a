// Package schedule plans when each of many tenants migrates: as many at once as the limits of cells, link and origin
// allow. Operators' tools use it; the router does not need it.
//
// Rates are KB a second, of all of a site's routers together. Times are Unix milliseconds and spans milliseconds.
package schedule

import (
	"cmp"
	"slices"

	"spantack/core/migration"
)

// WorkingSetSeconds is the time in which a tenant requests most of what it requests at all.
const WorkingSetSeconds = 20.0

// Request asks for a tenant to migrate from one cell to another at a site.
type Request struct {
	Tenant       string
	From, To     string   // names of cells
	DemandKBPerS float64  // the tenant's demand
	FillKB       float64  // that its new cell must fill at first; WorkingSetSeconds times DemandKBPerS if that is unknown
	HotObjects   []string // to go first, hottest first
}

// CellCapacity is what one cell can send and fill.
type CellCapacity struct {
	SendKBPerS float64 // of its caches
	UsedKBPerS float64 // part of that in use now
	FillKBPerS float64 // of fills beyond those of now; 0: unlimited
}

// Constraints are what a schedule must keep to.
type Constraints struct {
	Site           string
	Start          float64 // of the first migration at the earliest
	WarmUp         float64 // of a migration that names hot objects
	MinShift       float64 // of each migration
	MaxShiftFactor float64 // MaxShift of each migration, in multiples of its MinShift: 1 or more
	Settle         float64 // of each migration
	Cells          map[string]CellCapacity

	SiteFillKBPerS     float64 // fills into the site, beyond those of now; 0: unlimited
	OriginFillKBPerS   float64 // those that reach the origin; 0: unlimited
	OriginFillFraction float64 // part of fills that do, 0 to 1
}

// Schedule is when each tenant migrates.
type Schedule struct {
	Migrations  []migration.Migration // by start, then tenant
	End         float64               // when the last one has shifted
	LowerBound  float64               // no schedule within the limits ends sooner
	PeakUse     map[string]float64    // greatest part of each limit in use, by its name
	Unscheduled map[string]string     // by tenant, why there is no capacity for it at any time
}

// Plan schedules the requests: the shortest migrations first, as many at once as the limits allow together. Tenants
// that wait for each other's capacity in a cycle migrate at one pace, so that what enters and leaves a cell keeps
// level. An error wraps ErrInvalid.
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
	if len(unplaced) > 0 { // there may be capacity if those that enter and those that leave go together
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
