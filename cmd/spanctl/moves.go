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

// printCellLoads says what each cell gains and loses, at a time at which the moves are over, where the demand is known.
func printCellLoads(out io.Writer, spec *cells.Spec, ms []migration.Migration, demand map[string]schedule.Request) {
	gain, fill := map[string]float64{}, map[string]float64{}
	for _, m := range ms {
		w := demand[m.Tenant]
		gain[m.To] += w.KbPerS
		gain[m.From] -= w.KbPerS
		fill[m.To] += 1000 * w.FillKb / (m.WarmUp + m.MinShift)
	}
	for _, c := range spec.Cells {
		if gain[c.Name] != 0 || fill[c.Name] != 0 {
			fmt.Fprintf(out, "cell %s: %+.0f KB/s in the end; fills of %.0f KB/s at most if all its moves ran at once\n", c.Name, gain[c.Name], fill[c.Name])
		}
	}
}

// pace are how fast moves go.
type pace struct {
	StartDelay     time.Duration `name:"in" default:"30s" help:"Until the first begins: routers must have the document by then."`
	WarmDuration   time.Duration `name:"warm" help:"For the hot objects alone, named with --hot."`
	ShiftDuration  time.Duration `name:"shift" default:"60s" help:"For the others, at the soonest; 10s or more."`
	MaxSlowdown    float64       `name:"slow" default:"5" help:"Multiple of the shift that a move may take while cells are replaced or answer late."`
	SettleDuration time.Duration `name:"settle" default:"60s" help:"The old cell takes what the new one can't bear for so long after that."`
}

func (t *pace) validate() error {
	if t.StartDelay < 0 || t.WarmDuration < 0 || t.SettleDuration < 0 || t.ShiftDuration < migration.ShortestShiftMs*time.Millisecond || !(t.MaxSlowdown >= 1 && t.MaxSlowdown <= 1000) {
		return fmt.Errorf("--in, --warm, --settle 0 or more, --shift %s or more, --slow 1 to 1000", time.Duration(migration.ShortestShiftMs)*time.Millisecond)
	}
	return nil
}

type cellsMigrateCmd struct {
	documentFlags
	Tenant     string   `name:"tenant" arg:"" help:"The tenant."`
	TargetCell string   `name:"to" required:"" help:"The cell that it goes to."`
	Site       string   `name:"depot" default:"*" help:"The depot; * for all."`
	HotObjects []string `name:"hot" help:"Objects that go first, hottest first."`
	Demand     []string `name:"demand" help:"Logs or lists as for plan, to say what load cells will see."`
	pace
}

func (c *cellsMigrateCmd) Run(out io.Writer) error {
	f, doc, err := c.loadMigration()
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
	from := cellAtSite(&spec.Tenants[at], c.Site)
	now := c.now()
	m := migration.Migration{Tenant: c.Tenant, Site: c.Site, From: from, To: c.TargetCell, Start: now + millis(c.StartDelay), WarmUp: millis(c.WarmDuration), MinShift: millis(c.ShiftDuration), MaxShift: c.MaxSlowdown * millis(c.ShiftDuration),
		Settle: millis(c.SettleDuration), HotObjects: c.HotObjects}
	doc.Migrations = append(dropEnded(doc.Migrations, now, c.Tenant), m)
	wishes, err := migrationRequests(c.Demand, map[string][2]string{c.Tenant: {from, c.TargetCell}})
	if err != nil {
		return err
	}
	printMigration(out, &m, now)
	printCellLoads(out, spec, []migration.Migration{m}, wishes)
	return c.saveMigration(out, f, doc)
}

// cellAtSite is a tenant's cell in a depot.
func cellAtSite(t *cells.Tenant, depot string) string {
	if in, other := t.CellBySite[depot]; other {
		return in
	}
	return t.Cell
}

// migrationRequest is a tenant's move as the planner wants it, from what it asks for in KB a second.
func migrationRequest(tenant, from, to string, kbPerS float64) schedule.Request {
	return schedule.Request{Tenant: tenant, From: from, To: to, KbPerS: kbPerS, FillKb: kbPerS * schedule.WorkingSetSeconds}
}

func millis(d time.Duration) float64 { return float64(d.Milliseconds()) }

// dropEnded leaves out what a tenant's ended moves have left behind, so that it may move once more.
func dropEnded(all []migration.Migration, now float64, tenant string) []migration.Migration {
	return slices.DeleteFunc(all, func(m migration.Migration) bool {
		return m.Tenant == tenant && (m.Phase(now) == migration.Done || m.Phase(now) == migration.RolledBack)
	})
}

// migrationRequests is the demand of tenants as the planner wants it, from logs.
func migrationRequests(files []string, ways map[string][2]string) (map[string]schedule.Request, error) {
	wishes := map[string]schedule.Request{}
	if len(files) == 0 {
		return wishes, nil
	}
	list, err := gatherDemand(files)
	if err != nil {
		return nil, err
	}
	for _, d := range list {
		way, moving := ways[d.Name]
		if !moving {
			continue
		}
		if len(d.Loads) < 2 {
			return nil, fmt.Errorf("demand of %s: requests and KB a second are needed", d.Name)
		}
		wishes[d.Name] = migrationRequest(d.Name, way[0], way[1], d.Loads[1])
	}
	return wishes, nil
}
