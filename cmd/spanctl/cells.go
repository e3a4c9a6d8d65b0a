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
	Show      cellsShowCmd         `name:"show" cmd:"" help:"Print the cells of a file with their numbers of tenants, and with --caches their caches."`
	Explain   cellsExplainCmd      `name:"explain" cmd:"" help:"Print the tenant and the cell of a request, and the caches that it may use."`
	Diff      cellsDiffCmd         `name:"diff" cmd:"" help:"Print the changes of cells from one file to another."`
	Plan      cellsPlanCmd         `name:"plan" cmd:"" help:"Propose cells for tenants by their measured demand."`
	Migration migrationListCmd     `name:"migration" aliases:"moves" cmd:"" help:"Print the migrations of a file and their progress."`
	Migrate   migrateCmd           `name:"migrate" aliases:"move" cmd:"" help:"Migrate a tenant to another cell."`
	Drain     cellsDrainCmd        `name:"drain" aliases:"empty" cmd:"" help:"Migrate all tenants of a cell to others."`
	Pause     migrationPauseCmd    `name:"pause" aliases:"hold" cmd:"" help:"Pause migrations at their current share."`
	Resume    migrationResumeCmd   `name:"resume" cmd:"" help:"Resume paused migrations."`
	Rollback  migrationRollbackCmd `name:"rollback" aliases:"back" cmd:"" help:"Roll migrations back."`
	Finalize  migrationFinalizeCmd `name:"finalize" aliases:"settle" cmd:"" help:"Remove migrations that are over, once the features file assigns their tenants to the final cells."`
}

// loadCellSpec loads a features file and returns it with its cells. It returns an error if cells are off.
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
	Caches []string `name:"caches" help:"Ids of a site's caches."`
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

// fallbackText returns what is done with the requests of a cell that has no live cache.
func fallbackText(fallbackCell string) string {
	if fallbackCell == "" {
		return "refuse"
	}
	return "use " + fallbackCell
}

type cellsExplainCmd struct {
	File   string   `name:"file" arg:"" help:"The features file."`
	Family int      `name:"family" help:"Purge group (family) of the object, 0 to 255."`
	Class  string   `name:"class" help:"Class of the request."`
	Object string   `name:"object" help:"The object, in hex."`
	Now    float64  `name:"now" help:"The time to use, in Unix milliseconds; default: the current time." hidden:""`
	Tenant string   `name:"tenant" help:"The tenant that the client names."`
	Site   string   `name:"depot" help:"The site (depot in the features file)."`
	Caches []string `name:"caches" help:"Ids of the site's caches."`
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
		fmt.Fprintf(out, "; overflow: use %s", explained.OverflowCell)
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

// printMigrations prints a tenant's migrations at the site. With --object it also prints, for each migration, the
// migrated share above which the object uses the new cell.
func (c *cellsExplainCmd) printMigrations(out io.Writer, document *migration.Document, tenant string) {
	for i := range document.Migrations {
		m := &document.Migrations[i]
		if m.Tenant != tenant || m.Site != c.Site && m.Site != migration.AllSites {
			continue
		}
		printMigration(out, m, nowOr(c.Now))
		if c.Object != "" {
			fmt.Fprintf(out,
				"object %s is at %.1f%% of the migration order: it uses %s once the migrated share is greater, %s before\n",
				c.Object, 100*m.Position(c.Object), m.To, m.From)
		}
	}
}

type cellsDiffCmd struct {
	Old string `name:"old" arg:"" help:"The current features file."`
	New string `name:"new" arg:"" help:"The new features file."`
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

// cellAtSite returns a tenant's cell at a site, which may differ from its default cell.
func cellAtSite(tenant *cells.Tenant, site string) string {
	if cell, differs := tenant.CellBySite[site]; differs {
		return cell
	}
	return tenant.Cell
}
