package main

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"spantack/core/cells"
	"spantack/core/migration"
)

// migrationSelection selects the migrations that a command changes.
type migrationSelection struct {
	documentFlags
	Tenants []string `name:"tenants" arg:"" optional:"" help:"Tenants whose migrations are changed."`
	All     bool     `name:"all" help:"Change all migrations that are not over and can be changed this way."`
}

// changeFunc changes a migration at now, in Unix milliseconds. It returns false if the migration can't be changed this
// way at that time.
type changeFunc func(m *migration.Migration, now float64) bool

// changeEach changes the selected migrations and saves them. If the migration of a named tenant can't be changed, it
// returns an error. With --all it skips migrations that can't be changed. participle names the change in errors, such
// as "paused".
func (c *migrationSelection) changeEach(out io.Writer, participle string, change changeFunc) error {
	f, document, err := c.loadMigrations()
	if err != nil {
		return err
	}
	if c.All == (len(c.Tenants) > 0) {
		return errors.New("give either tenants or --all")
	}
	now := c.now()
	changed := map[string]bool{} // by tenant
	for i := range document.Migrations {
		m := &document.Migrations[i]
		if !c.All && !slices.Contains(c.Tenants, m.Tenant) {
			continue
		}
		if hasEnded(m, now) || !change(m, now) {
			if !c.All {
				return fmt.Errorf("%s is %s: it can't be %s", m.Tenant, m.Phase(now), participle)
			}
			continue
		}
		changed[m.Tenant] = true
		printMigration(out, m, now)
	}
	for _, tenant := range c.Tenants {
		if !changed[tenant] {
			return fmt.Errorf("%s has no migration", tenant)
		}
	}
	if len(changed) == 0 {
		return fmt.Errorf("no migration can be %s", participle)
	}
	return c.saveMigrations(out, f, document)
}

type migrationPauseCmd struct{ migrationSelection }

// Run pauses migrations: the migrated share stays as it is.
func (c *migrationPauseCmd) Run(out io.Writer) error {
	return c.changeEach(out, "paused", func(m *migration.Migration, now float64) bool {
		if m.PausedAt > 0 || m.RollbackStarted(now) {
			return false
		}
		m.PausedAt = now
		return true
	})
}

type migrationResumeCmd struct{ migrationSelection }

// Run resumes paused migrations. They end later by the duration of the pause.
func (c *migrationResumeCmd) Run(out io.Writer) error {
	return c.changeEach(out, "resumed", func(m *migration.Migration, now float64) bool {
		if m.PausedAt == 0 {
			return false
		}
		*m = m.Resumed(now)
		return true
	})
}

type migrationRollbackCmd struct{ migrationSelection }

// Run rolls migrations back to the old cells.
func (c *migrationRollbackCmd) Run(out io.Writer) error {
	return c.changeEach(out, "rolled back", func(m *migration.Migration, now float64) bool {
		if m.RollbackAt > 0 {
			return false
		}
		m.RollbackAt = max(now, m.Start)
		return true
	})
}

type migrationFinalizeCmd struct{ documentFlags }

// Run removes the migrations that have ended from the document. It keeps such a migration while the features file
// assigns the tenant to another cell than the final one, and prints the cell to set.
func (c *migrationFinalizeCmd) Run(out io.Writer) error {
	f, document, err := c.loadMigrations()
	if err != nil {
		return err
	}
	tenants := map[string]*cells.Tenant{}
	for i := range f.CellSpec().Tenants {
		tenant := &f.CellSpec().Tenants[i]
		tenants[tenant.Name] = tenant
	}
	now := c.now()
	var remaining []migration.Migration
	unassigned := 0
	for _, m := range document.Migrations {
		if !hasEnded(&m, now) {
			remaining = append(remaining, m)
			continue
		}
		assigned, final := cellAtSite(tenants[m.Tenant], m.Site), finalCell(&m, now)
		if assigned != final {
			fmt.Fprintf(out, "%s in %s: first set the tenant's cell to %s (now %s) in %s\n",
				m.Tenant, m.Site, final, assigned, c.File)
			remaining = append(remaining, m)
			unassigned++
			continue
		}
		fmt.Fprintf(out, "%s in %s: over, removed\n", m.Tenant, m.Site)
	}
	if len(remaining) == len(document.Migrations) {
		if unassigned > 0 {
			return fmt.Errorf(
				"%d migrations are over, but the features file does not assign their tenants to the final cells yet", unassigned)
		}
		fmt.Fprintln(out, "no migration is over")
		return nil
	}
	document.Migrations = remaining
	return c.saveMigrations(out, f, document)
}

// finalCell returns the tenant's cell after a migration that has ended.
func finalCell(m *migration.Migration, now float64) string {
	if m.Phase(now) == migration.Done {
		return m.To
	}
	return m.From
}
