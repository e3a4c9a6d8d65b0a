package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"spantack/core/cells"
	"spantack/core/migration"
	"spantack/core/migration/schedule"
)

// migrationTiming has the flags for the start and the durations of a migration.
type migrationTiming struct {
	StartDelay     time.Duration `name:"in" default:"30s" help:"Time until the first migration starts. Routers must have loaded the document by then."`
	WarmDuration   time.Duration `name:"warm" help:"Time in which only the hot objects (--hot) migrate."`
	ShiftDuration  time.Duration `name:"shift" default:"60s" help:"Shortest time in which the other objects migrate; 10s or more."`
	MaxSlowdown    float64       `name:"slow" default:"5" help:"Longest time in which the other objects migrate while cells are replaced or respond late, as a multiple of --shift."`
	SettleDuration time.Duration `name:"settle" default:"60s" help:"Time after all objects have migrated in which the old cell takes requests for which the new one has no capacity."`
}

// maxAllowedSlowdown is the upper bound of MaxSlowdown.
const maxAllowedSlowdown = 1000

func (p *migrationTiming) validate() error {
	const shortestShift = migration.ShortestShiftMs * time.Millisecond
	valid := p.StartDelay >= 0 && p.WarmDuration >= 0 && p.SettleDuration >= 0 &&
		p.ShiftDuration >= shortestShift && p.MaxSlowdown >= 1 && p.MaxSlowdown <= maxAllowedSlowdown
	if !valid {
		return fmt.Errorf("--in, --warm and --settle must be 0 or more, --shift %s or more, --slow 1 to %d",
			shortestShift, maxAllowedSlowdown)
	}
	return nil
}

type migrateCmd struct {
	documentFlags
	Tenant     string   `name:"tenant" arg:"" help:"The tenant to migrate."`
	TargetCell string   `name:"to" required:"" help:"The cell to which it migrates."`
	Site       string   `name:"depot" default:"*" help:"The site (depot in the features file); * for all."`
	HotObjects []string `name:"hot" help:"Objects that migrate first, hottest first."`
	Demand     []string `name:"demand" help:"Logs of routers or JSON files, formats as for cells plan; with them the change of each cell's load is printed."`
	migrationTiming
}

// Run adds a migration of the tenant to the document and prints it.
func (c *migrateCmd) Run(out io.Writer) error {
	f, document, err := c.loadMigrations()
	if err != nil {
		return err
	}
	if err := c.validate(); err != nil {
		return err
	}
	spec := f.CellSpec()
	at := slices.IndexFunc(spec.Tenants, func(t cells.Tenant) bool { return t.Name == c.Tenant })
	if at < 0 {
		return fmt.Errorf("unknown tenant %q", c.Tenant)
	}
	now := c.now()
	added := migration.Migration{
		Tenant:     c.Tenant,
		Site:       c.Site,
		From:       cellAtSite(&spec.Tenants[at], c.Site),
		To:         c.TargetCell,
		Start:      now + millis(c.StartDelay),
		WarmUp:     millis(c.WarmDuration),
		MinShift:   millis(c.ShiftDuration),
		MaxShift:   c.MaxSlowdown * millis(c.ShiftDuration),
		Settle:     millis(c.SettleDuration),
		HotObjects: c.HotObjects,
	}
	document.Migrations = append(dropEnded(document.Migrations, now, c.Tenant), added)
	requests, err := requestFor(&added, c.Demand)
	if err != nil {
		return err
	}
	printMigration(out, &added, now)
	printCellLoads(out, spec, []migration.Migration{added}, requests)
	return c.saveMigrations(out, f, document)
}

// dropEnded removes a tenant's migrations that have ended, so that a new one can be added.
func dropEnded(all []migration.Migration, now float64, tenant string) []migration.Migration {
	return slices.DeleteFunc(all, func(m migration.Migration) bool { return m.Tenant == tenant && hasEnded(&m, now) })
}

// requestFor returns the scheduling request for a migration, by tenant. It reads the tenant's demand from files. The
// map is empty if the files have no demand of this tenant.
func requestFor(m *migration.Migration, files []string) (map[string]schedule.Request, error) {
	requests := map[string]schedule.Request{}
	demand, err := gatherDemand(files)
	if err != nil {
		return nil, err
	}
	for _, d := range demand {
		if d.Name != m.Tenant {
			continue
		}
		if len(d.Loads) <= loadKB {
			return nil, fmt.Errorf("demand of %s: must have requests and KB per second", d.Name)
		}
		requests[d.Name] = newRequest(d.Name, m.From, m.To, d.Loads[loadKB])
	}
	return requests, nil
}

// newRequest returns a request for the scheduler. The number of KB that the new cell has to fill is estimated as the
// number of KB that the tenant requests within schedule.WorkingSetSeconds.
func newRequest(tenant, from, to string, kbPerS float64) schedule.Request {
	return schedule.Request{
		Tenant: tenant, From: from, To: to, DemandKBPerS: kbPerS, FillKB: kbPerS * schedule.WorkingSetSeconds,
	}
}

// printCellLoads prints the change of each cell's load by migrations. Tenants whose demand is unknown are left out.
func printCellLoads(
	out io.Writer, spec *cells.Spec, migrations []migration.Migration, requests map[string]schedule.Request,
) {
	loadChange, fill := map[string]float64{}, map[string]float64{} // KB/s by cell
	for _, m := range migrations {
		request := requests[m.Tenant]
		loadChange[m.To] += request.DemandKBPerS
		loadChange[m.From] -= request.DemandKBPerS
		fill[m.To] += 1000 * request.FillKB / (m.WarmUp + m.MinShift)
	}
	for _, cell := range spec.Cells {
		if loadChange[cell.Name] != 0 || fill[cell.Name] != 0 {
			fmt.Fprintf(out, "cell %s: %+.0f KB/s at the end; fills of at most %.0f KB/s if all its migrations ran at once\n",
				cell.Name, loadChange[cell.Name], fill[cell.Name])
		}
	}
}
