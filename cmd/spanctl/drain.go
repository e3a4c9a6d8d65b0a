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
	Cell           string   `name:"cell" arg:"" help:"The cell to be drained."`
	Targets        []string `name:"into" required:"" help:"The cells that its tenants go to: each to the one with most capacity left."`
	Demand         []string `name:"demand" required:"" help:"Logs or lists as for plan: of all routers of one depot."`
	Site           string   `name:"depot" default:"*" help:"The depot; * for all."`
	CapacityKBPerS float64  `name:"bears-kb-s" required:"" help:"KB a second that all caches of the depot send at most."`
	OriginFraction float64  `name:"deep" default:"0.2" help:"Part of fills that reach the head office."`
	pace
}

// cellDrain plans the migrations of one cell's tenants.
type cellDrain struct {
	cmd         *cellsDrainCmd
	spec        *cells.Spec
	now         float64
	demand      []cells.TenantDemand
	cellOf      map[string]string  // by tenant, at the site
	usedKBPerS  map[string]float64 // by cell: demand of its tenants
	fillKBPerS  map[string]float64 // by cell: fills of its tenants
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
		fmt.Fprintf(out, "%s stays: %s\n", tenant, planned.Unscheduled[tenant])
	}
	drain.addIdleTenants(planned)
	if len(planned.Migrations) == 0 {
		return fmt.Errorf("nobody moves out of %s", c.Cell)
	}
	for _, m := range planned.Migrations {
		document.Migrations = append(dropEnded(document.Migrations, drain.now, m.Tenant), m)
		printMigration(out, &m, drain.now)
	}
	drain.printSchedule(out, planned)
	return c.saveMigrations(out, f, document)
}

// newDrain checks the flags, reads the demand, and sets the limits of the schedule.
func (c *cellsDrainCmd) newDrain(spec *cells.Spec) (*cellDrain, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if !(c.CapacityKBPerS > 0) || !(c.OriginFraction >= 0 && c.OriginFraction <= 1) {
		return nil, errors.New("--bears-kb-s: above 0; --deep: 0 to 1")
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
			return nil, fmt.Errorf("%q is no cell", cell)
		}
	}
	return d, nil
}

// setConstraints sets the limits that the schedule keeps: what cells and links have left beside the present demand.
func (d *cellDrain) setConstraints() error {
	siteFill := 0.0
	for _, tenant := range d.demand {
		if len(tenant.Loads) <= loadFillKB {
			return fmt.Errorf("demand of %s: requests, KB and KB to be filled a second are needed", tenant.Name)
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
	linkKBPerS := d.spec.Budget.FillKBPerSecond // 0: no bound
	for _, cell := range d.spec.Cells {
		capacity := schedule.CellCapacity{
			SendKBPerS: cell.Share * d.cmd.CapacityKBPerS,
			UsedKBPerS: d.usedKBPerS[cell.Name],
		}
		if linkKBPerS > 0 {
			capacity.FillKBPerS = max(cell.Share*linkKBPerS-d.fillKBPerS[cell.Name], 1)
		}
		d.constraints.Cells[cell.Name] = capacity
	}
	if linkKBPerS > 0 {
		d.constraints.SiteFillKBPerS = max(linkKBPerS-siteFill, 1)
	}
	return nil
}

// chooseTargets returns a request for each of the cell's tenants with demand, to the target with most capacity left
// after those before it.
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

// addIdleTenants schedules the cell's tenants without demand after the others, to the first target: nothing is filled
// for them.
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

// printSchedule prints how long the migrations take, how near they come to the limits, and what cells gain and lose.
func (d *cellDrain) printSchedule(out io.Writer, planned *schedule.Schedule) {
	fmt.Fprintf(out, "%d tenants move within %s; no plan within the limits takes less than %s\n", len(planned.Migrations),
		formatDuration(planned.End-d.constraints.Start), formatDuration(planned.LowerBound-d.constraints.Start))
	for _, limit := range slices.Sorted(maps.Keys(planned.PeakUse)) {
		fmt.Fprintf(out, "%s: %.0f%% of its limit at most\n", limit, 100*planned.PeakUse[limit])
	}
	for _, cycle := range schedule.Cycles(&migration.Document{Migrations: planned.Migrations}) {
		fmt.Fprintf(out, "go at one pace, since each needs the room of the next: %s\n", strings.Join(cycle, ", "))
	}
	printCellLoads(out, d.spec, planned.Migrations, d.requests)
}
