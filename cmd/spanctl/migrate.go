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

// pace is how fast migrations run.
type pace struct {
	StartDelay     time.Duration `name:"in" default:"30s" help:"Until the first begins: routers must have the document by then."`
	WarmDuration   time.Duration `name:"warm" help:"For the hot objects alone, named with --hot."`
	ShiftDuration  time.Duration `name:"shift" default:"60s" help:"For the others, at the soonest; 10s or more."`
	MaxSlowdown    float64       `name:"slow" default:"5" help:"Multiple of the shift that a migration may take while cells are replaced or answer late."`
	SettleDuration time.Duration `name:"settle" default:"60s" help:"For so long after that, the old cell takes what the new one has no capacity for."`
}

// maxSlowdownLimit is the greatest MaxSlowdown.
const maxSlowdownLimit = 1000

func (p *pace) validate() error {
	const shortestShift = migration.ShortestShiftMs * time.Millisecond
	valid := p.StartDelay >= 0 && p.WarmDuration >= 0 && p.SettleDuration >= 0 &&
		p.ShiftDuration >= shortestShift && p.MaxSlowdown >= 1 && p.MaxSlowdown <= maxSlowdownLimit
	if !valid {
		return fmt.Errorf("--in, --warm, --settle 0 or more, --shift %s or more, --slow 1 to %d", shortestShift, maxSlowdownLimit)
	}
	return nil
}

type migrateCmd struct {
	documentFlags
	Tenant     string   `name:"tenant" arg:"" help:"The tenant."`
	TargetCell string   `name:"to" required:"" help:"The cell that it goes to."`
	Site       string   `name:"depot" default:"*" help:"The depot; * for all."`
	HotObjects []string `name:"hot" help:"Objects that go first, hottest first."`
	Demand     []string `name:"demand" help:"Logs or lists as for plan, to print what load cells will get."`
	pace
}

// Run adds a migration of the tenant to the document.
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
		return fmt.Errorf("%q is no tenant", c.Tenant)
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

// dropEnded removes a tenant's migrations that are over, so that it may move again.
func dropEnded(all []migration.Migration, now float64, tenant string) []migration.Migration {
	return slices.DeleteFunc(all, func(m migration.Migration) bool { return m.Tenant == tenant && isOver(&m, now) })
}

// requestFor returns the request for a migration by its tenant, from the tenant's demand in files; none if there is
// no demand.
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
			return nil, fmt.Errorf("demand of %s: requests and KB a second are needed", d.Name)
		}
		requests[d.Name] = newRequest(d.Name, m.From, m.To, d.Loads[loadKB])
	}
	return requests, nil
}

// newRequest returns a request for the scheduler. What the new cell has to fill is estimated from the tenant's demand.
func newRequest(tenant, from, to string, kbPerS float64) schedule.Request {
	return schedule.Request{Tenant: tenant, From: from, To: to, DemandKBPerS: kbPerS, FillKB: kbPerS * schedule.WorkingSetSeconds}
}

// printCellLoads prints what each cell gains and loses by migrations, as far as the tenants' requests are known.
func printCellLoads(out io.Writer, spec *cells.Spec, migrations []migration.Migration, requests map[string]schedule.Request) {
	gain, fill := map[string]float64{}, map[string]float64{} // KB/s by cell
	for _, m := range migrations {
		request := requests[m.Tenant]
		gain[m.To] += request.DemandKBPerS
		gain[m.From] -= request.DemandKBPerS
		fill[m.To] += 1000 * request.FillKB / (m.WarmUp + m.MinShift)
	}
	for _, cell := range spec.Cells {
		if gain[cell.Name] != 0 || fill[cell.Name] != 0 {
			fmt.Fprintf(out, "cell %s: %+.0f KB/s in the end; fills of %.0f KB/s at most if all its moves ran at once\n",
				cell.Name, gain[cell.Name], fill[cell.Name])
		}
	}
}
