package main

import (
	"fmt"
	"io"
	"strings"

	"spantack/core/cells"
	"spantack/core/migration"
	"spantack/internal/features"
)

type cellsCmd struct {
	Show      cellsShowCmd         `name:"show" cmd:"" help:"Cells and tenants of a file, and with --caches which cache is in which cell."`
	Explain   cellsExplainCmd      `name:"explain" cmd:"" help:"Which tenant a request belongs to, and which caches it may go to."`
	Diff      cellsDiffCmd         `name:"diff" cmd:"" help:"What changes from one file to another."`
	Plan      cellsPlanCmd         `name:"plan" cmd:"" help:"Proposes cells for tenants from measured demand."`
	Migration migrationListCmd     `name:"migration" aliases:"moves" cmd:"" help:"The migrations of a file and how far they are."`
	Migrate   migrateCmd           `name:"migrate" aliases:"move" cmd:"" help:"Migrates a tenant to another cell."`
	Drain     cellsDrainCmd        `name:"drain" aliases:"empty" cmd:"" help:"Plans migrations of all tenants of a cell to others."`
	Pause     migrationPauseCmd    `name:"pause" aliases:"hold" cmd:"" help:"Pauses migrations where they are."`
	Resume    migrationResumeCmd   `name:"resume" cmd:"" help:"Resumes paused migrations."`
	Rollback  migrationRollbackCmd `name:"rollback" aliases:"back" cmd:"" help:"Rolls migrations back."`
	Finalize  migrationFinalizeCmd `name:"finalize" aliases:"settle" cmd:"" help:"Removes migrations that are over, once the assignment has their tenants in the new cells."`
}

// loadCellSpec loads a file in which cells must be on.
func loadCellSpec(file string) (*features.File, *cells.Spec, error) {
	f, err := features.Load(file)
	if err != nil {
		return nil, nil, err
	}
	spec := f.CellSpec()
	if spec == nil {
		return nil, nil, fmt.Errorf("%s: cells are off", file)
	}
	return f, spec, nil
}

type cellsShowCmd struct {
	File   string   `name:"file" arg:"" help:"The features file."`
	Caches []string `name:"caches" help:"Ids of a depot's caches."`
}

// Run prints a line for each cell.
func (c *cellsShowCmd) Run(out io.Writer) error {
	_, spec, err := loadCellSpec(c.File)
	if err != nil {
		return err
	}
	tenants := map[string]int{}
	for _, tenant := range spec.Tenants {
		tenants[tenant.Cell]++
	}
	caches := make([][]string, len(spec.Cells))
	if len(c.Caches) > 0 {
		caches = spec.CachesByCell(c.Caches)
	}
	for i, cell := range spec.Cells {
		fmt.Fprintf(out, "%-16s share %.3f  tenants %5d  no live cache: %s",
			cell.Name, cell.Share, tenants[cell.Name], fallbackText(cell.FallbackCell))
		if len(c.Caches) > 0 {
			fmt.Fprintf(out, "  caches %s", strings.Join(caches[i], ","))
		}
		fmt.Fprintln(out)
	}
	return nil
}

// fallbackText says what happens with the requests of a cell that has no live cache.
func fallbackText(fallbackCell string) string {
	if fallbackCell == "" {
		return "refuse"
	}
	return "use " + fallbackCell
}

type cellsExplainCmd struct {
	File   string   `name:"file" arg:"" help:"The features file."`
	Family int      `name:"family" help:"Group of the object, 0 to 255."`
	Class  string   `name:"class" help:"Class of the request."`
	Object string   `name:"object" help:"The object, in hex."`
	Now    float64  `name:"now" help:"Unix milliseconds; the clock's if left out." hidden:""`
	Tenant string   `name:"tenant" help:"The tenant as the front names it."`
	Site   string   `name:"depot" help:"The depot."`
	Caches []string `name:"caches" help:"Ids of the depot's caches."`
}

// Run prints the request's tenant, cell and caches, and the tenant's migrations.
func (c *cellsExplainCmd) Run(out io.Writer) error {
	f, spec, err := loadCellSpec(c.File)
	if err != nil {
		return err
	}
	explained, err := spec.Explain(c.Site, c.Caches, c.Family, c.Class, c.Object, c.Tenant)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "keys[%d]: tenant %s, cell %s; no live cache: %s",
		explained.KeyIndex, explained.Tenant, explained.Cell, fallbackText(explained.FallbackCell))
	if explained.OverflowCell != "" {
		fmt.Fprintf(out, "; no room: use %s", explained.OverflowCell)
	}
	if len(c.Caches) > 0 {
		fmt.Fprintf(out, "; caches %s", strings.Join(explained.Caches, ","))
	}
	fmt.Fprintln(out)
	if document := f.ActiveMigration(); document != nil {
		c.printMigrations(out, document, explained.Tenant)
	}
	return nil
}

// printMigrations prints a tenant's migrations at the site, and with an object which side it is on.
func (c *cellsExplainCmd) printMigrations(out io.Writer, document *migration.Document, tenant string) {
	for i := range document.Migrations {
		m := &document.Migrations[i]
		if m.Tenant != tenant || m.Site != c.Site && m.Site != migration.AllSites {
			continue
		}
		printMigration(out, m, nowOr(c.Now))
		if c.Object != "" {
			fmt.Fprintf(out, "object %s is at %.1f%% of the order: it goes to %s once the share is past that, to %s before\n",
				c.Object, 100*m.Position(c.Object), m.To, m.From)
		}
	}
}

type cellsDiffCmd struct {
	Old string `name:"old" arg:"" help:"The file in force."`
	New string `name:"new" arg:"" help:"The file to come."`
}

// Run prints a line for each change of the cells.
func (c *cellsDiffCmd) Run(out io.Writer) error {
	_, old, err := loadCellSpec(c.Old)
	if err != nil {
		return err
	}
	_, next, err := loadCellSpec(c.New)
	if err != nil {
		return err
	}
	for _, line := range cells.Changes(old, next) {
		fmt.Fprintln(out, line)
	}
	return nil
}

// cellAtSite returns a tenant's cell at a site.
func cellAtSite(tenant *cells.Tenant, site string) string {
	if cell, differs := tenant.CellBySite[site]; differs {
		return cell
	}
	return tenant.Cell
}
