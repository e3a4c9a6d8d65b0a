package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"spantack/core/cells"
	"spantack/core/migration"
	"spantack/core/migration/schedule"
)

type cellsDrainCmd struct {
	documentFlags
	Cell           string   `name:"cell" arg:"" help:"The cell to drain."`
	Targets        []string `name:"into" required:"" help:"The cells to which its tenants migrate, each to the one with the most capacity left."`
	Demand         []string `name:"demand" required:"" help:"Logs of all routers of the site, or JSON files; formats as for cells plan."`
	Site           string   `name:"depot" default:"*" help:"The site (depot in the features file); * for all."`
	CapacityKBPerS float64  `name:"bears-kb-s" required:"" help:"Send capacity of all caches of the site together, in KB/s."`
	OriginFraction float64  `name:"deep" default:"0.2" help:"Fraction of fills that reach the origin, 0 to 1."`
	migrationTiming
}

// cellDrain is the state of planning the migrations of a cell's tenants.
type cellDrain struct {
	cmd         *cellsDrainCmd
	spec        *cells.Spec
	now         float64
	demand      []cells.TenantDemand
	cellOf      map[string]string  // the tenant's cell at the site, by tenant
	usedKBPerS  map[string]float64 // KB/s that the cell's tenants request, by cell
	fillKBPerS  map[string]float64 // KB/s that are filled for the cell's tenants, by cell
	constraints schedule.Constraints
	requests    map[string]schedule.Request // by tenant
}

// Run schedules a migration for each tenant of the cell and adds them to the document.
func (c *cellsDrainCmd) Run(out io.Writer) error {
	f, document, err := c.loadMigrations()
	if err != nil {
		return err
	}
	drain, err := c.newDrain(f.CellSpec())
	if err != nil {
		return err
	}
	planned, err := schedule.Plan(drain.chooseTargets(), drain.constraints)
	if err != nil {
		return err
	}
	for _, tenant := range slices.Sorted(maps.Keys(planned.Unscheduled)) {
		fmt.Fprintf(out, "%s is not migrated: %s\n", tenant, planned.Unscheduled[tenant])
	}
	drain.addIdleTenants(planned)
	if len(planned.Migrations) == 0 {
		return fmt.Errorf("no tenant can be migrated out of %s", c.Cell)
	}
	for _, m := range planned.Migrations {
		document.Migrations = append(dropEnded(document.Migrations, drain.now, m.Tenant), m)
		printMigration(out, &m, drain.now)
	}
	drain.printSchedule(out, planned)
	return c.saveMigrations(out, f, document)
}

// newDrain checks the flags, reads the demand, and sets the constraints of the schedule.
func (c *cellsDrainCmd) newDrain(spec *cells.Spec) (*cellDrain, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if !(c.CapacityKBPerS > 0) || !(c.OriginFraction >= 0 && c.OriginFraction <= 1) {
		return nil, errors.New("--bears-kb-s must be above 0, and --deep 0 to 1")
	}
	demand, err := gatherDemand(c.Demand)
	if err != nil {
		return nil, err
	}
	d := &cellDrain{
		cmd:        c,
		spec:       spec,
		now:        c.now(),
		demand:     demand,
		cellOf:     map[string]string{},
		usedKBPerS: map[string]float64{},
		fillKBPerS: map[string]float64{},
		requests:   map[string]schedule.Request{},
	}
	for _, tenant := range spec.Tenants {
		d.cellOf[tenant.Name] = cellAtSite(&tenant, c.Site)
	}
	if err := d.setConstraints(); err != nil {
		return nil, err
	}
	for _, cell := range append(slices.Clone(c.Targets), c.Cell) {
		if _, known := d.constraints.Cells[cell]; !known {
			return nil, fmt.Errorf("unknown cell %q", cell)
		}
	}
	return d, nil
}

// setConstraints sets the constraints of the schedule: the capacity of each cell, the part of it that the current
// demand uses, and the fill capacity that the current demand leaves free in each cell and at the site.
func (d *cellDrain) setConstraints() error {
	siteFill := 0.0
	for _, tenant := range d.demand {
		if len(tenant.Loads) <= loadFillKB {
			return fmt.Errorf("demand of %s: must have requests, KB and filled KB per second", tenant.Name)
		}
		cell := d.cellOf[tenant.Name]
		d.usedKBPerS[cell] += tenant.Loads[loadKB]
		d.fillKBPerS[cell] += tenant.Loads[loadFillKB]
		siteFill += tenant.Loads[loadFillKB]
	}
	d.constraints = schedule.Constraints{
		Site:               d.cmd.Site,
		Start:              d.now + millis(d.cmd.StartDelay),
		WarmUp:             millis(d.cmd.WarmDuration),
		MinShift:           millis(d.cmd.ShiftDuration),
		MaxShiftFactor:     d.cmd.MaxSlowdown,
		Settle:             millis(d.cmd.SettleDuration),
		Cells:              map[string]schedule.CellCapacity{},
		OriginFillFraction: d.cmd.OriginFraction,
	}
	fillBudgetKBPerS := d.spec.Budget.FillKBPerSecond // 0 means no limit
	for _, cell := range d.spec.Cells {
		capacity := schedule.CellCapacity{
			SendKBPerS: cell.Share * d.cmd.CapacityKBPerS,
			UsedKBPerS: d.usedKBPerS[cell.Name],
		}
		if fillBudgetKBPerS > 0 {
			capacity.FillKBPerS = max(cell.Share*fillBudgetKBPerS-d.fillKBPerS[cell.Name], 1)
		}
		d.constraints.Cells[cell.Name] = capacity
	}
	if fillBudgetKBPerS > 0 {
		d.constraints.SiteFillKBPerS = max(fillBudgetKBPerS-siteFill, 1)
	}
	return nil
}

// chooseTargets returns a scheduling request for each of the cell's tenants with demand. The target of each request is
// the cell with the most capacity left after all earlier requests in the list.
func (d *cellDrain) chooseTargets() []schedule.Request {
	arriving := map[string]float64{} // KB/s by cell
	left := func(cell string) float64 {
		return d.constraints.Cells[cell].SendKBPerS - d.usedKBPerS[cell] - arriving[cell]
	}
	byCapacityLeft := func(a, b string) int {
		return cmp.Or(cmp.Compare(left(a), left(b)), strings.Compare(b, a))
	}
	var requests []schedule.Request
	for _, tenant := range d.demand {
		if d.cellOf[tenant.Name] != d.cmd.Cell {
			continue
		}
		target := slices.MaxFunc(d.cmd.Targets, byCapacityLeft)
		arriving[target] += tenant.Loads[loadKB]
		request := newRequest(tenant.Name, d.cmd.Cell, target, tenant.Loads[loadKB])
		requests = append(requests, request)
		d.requests[tenant.Name] = request
	}
	return requests
}

// addIdleTenants schedules the cell's tenants without demand after the others, to the first target. Tenants without
// demand need no fills.
func (d *cellDrain) addIdleTenants(planned *schedule.Schedule) {
	for _, tenant := range d.spec.Tenants {
		_, hasDemand := d.requests[tenant.Name]
		if hasDemand || d.cellOf[tenant.Name] != d.cmd.Cell || planned.Unscheduled[tenant.Name] != "" {
			continue
		}
		planned.Migrations = append(planned.Migrations, migration.Migration{
			Tenant:   tenant.Name,
			Site:     d.cmd.Site,
			From:     d.cmd.Cell,
			To:       d.cmd.Targets[0],
			Start:    max(planned.End, d.constraints.Start),
			MinShift: d.constraints.MinShift,
			MaxShift: d.constraints.MaxShiftFactor * d.constraints.MinShift,
			Settle:   d.constraints.Settle,
		})
	}
}

// printSchedule prints the duration of the schedule, the peak use of each limit, the tenants that must migrate at the
// same pace, and the change of load of each cell.
func (d *cellDrain) printSchedule(out io.Writer, planned *schedule.Schedule) {
	fmt.Fprintf(out, "%d tenants migrate within %s; no schedule within the limits takes less than %s\n",
		len(planned.Migrations),
		formatDuration(planned.End-d.constraints.Start), formatDuration(planned.LowerBound-d.constraints.Start))
	for _, limit := range slices.Sorted(maps.Keys(planned.PeakUse)) {
		fmt.Fprintf(out, "%s: %.0f%% of its limit at most\n", limit, 100*planned.PeakUse[limit])
	}
	for _, cycle := range schedule.Cycles(&migration.Document{Migrations: planned.Migrations}) {
		fmt.Fprintf(out, "migrate at the same pace, since each needs capacity that the next one frees: %s\n",
			strings.Join(cycle, ", "))
	}
	printCellLoads(out, d.spec, planned.Migrations, d.requests)
}
