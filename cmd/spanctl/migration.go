package main

import (
	"fmt"
	"io"
	"slices"

	"spantack/core/cells"
	"spantack/core/migration"
	"spantack/internal/features"
)

// loadMigrations loads the features file and returns it with a copy of its migrations. The copy is empty if migrations
// are off.
func (d *documentFlags) loadMigrations() (*features.File, *migration.Document, error) {
	f, err := d.load()
	if err != nil {
		return nil, nil, err
	}
	document := &migration.Document{}
	if active := f.ActiveMigration(); active != nil {
		*document = *active
		document.Migrations = slices.Clone(active.Migrations)
	}
	return f, document, nil
}

// saveMigrations checks changed migrations and writes them as the next version.
func (d *documentFlags) saveMigrations(out io.Writer, f *features.File, document *migration.Document) error {
	document.Version++
	if document.Migrations == nil {
		document.Migrations = []migration.Migration{} // written as an empty list, not as null
	}
	assignment, err := compileCells(f)
	if err != nil {
		return err
	}
	next := *f
	next.Migration = features.Migration{Enabled: true, Document: *document}
	if err := assignment.ValidateMigrations(document); err != nil {
		return err
	}
	return d.save(out, f, &next, section{
		name:     "moves",
		document: "moves.json",
		version:  document.Version,
		content:  next.Migration,
		isImportedBy: func(f *features.File) bool {
			return f.ActiveMigration() != nil && f.ActiveMigration().Version == document.Version
		},
	})
}

// hasEnded reports whether a migration is done or rolled back.
func hasEnded(m *migration.Migration, now float64) bool {
	phase := m.Phase(now)
	return phase == migration.Done || phase == migration.RolledBack
}

// printMigration prints a migration's phase. Unless the migration has ended, it also prints the times of the migration
// and the lowest and the highest share that may have migrated by now. While a migration is being rolled back, it prints
// only the highest share and the end.
func printMigration(out io.Writer, m *migration.Migration, now float64) {
	phase := m.Phase(now)
	fmt.Fprintf(out, "%s in %s: %s to %s, %s", m.Tenant, m.Site, m.From, m.To, phase)
	switch phase {
	case migration.Planned, migration.Warming, migration.Shifting, migration.Settling, migration.Paused:
		fmt.Fprintf(out, ", %.0f to %.0f%% migrated; starts %s, all migrated %s at the earliest, ends %s",
			100*m.MinShare(now), 100*m.MaxShare(now),
			formatTime(m.Start), formatTime(m.Start+m.WarmUp+m.MinShift), formatTime(m.EndsAt()))
	case migration.RollingBack:
		fmt.Fprintf(out, ", at most %.0f%% migrated, none from %s on", 100*m.MaxShare(now), formatTime(m.EndsAt()))
	}
	fmt.Fprintln(out)
}

type migrationListCmd struct {
	documentFlags
	Status []string `name:"status" help:"Logs of routers from which the progress of migrations is printed; the last record 'moves' in each is used."`
}

// progress is the routers' progress in a migration: the lowest and highest share of the tenant's objects that a router
// sends to the new cell.
type progress struct {
	minShare float64
	maxShare float64
	routers  int
}

// Run prints the migrations of a file, each with the routers' progress.
func (c *migrationListCmd) Run(out io.Writer) error {
	_, document, err := c.loadMigrations()
	if err != nil {
		return err
	}
	byTenant, err := c.readProgress(out, document.Version)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "version %d, %d migrations\n", document.Version, len(document.Migrations))
	for i := range document.Migrations {
		m := &document.Migrations[i]
		printMigration(out, m, c.now())
		if p, known := byTenant[m.Tenant]; known {
			fmt.Fprintf(out, "  at %d routers: %.0f to %.0f%% migrated\n", p.routers, 100*p.minShare, 100*p.maxShare)
		}
	}
	return nil
}

// readProgress returns the routers' progress by tenant, and prints the names of the logs that have another version of
// the migrations than the given one.
func (c *migrationListCmd) readProgress(out io.Writer, version int64) (map[string]progress, error) {
	byTenant := map[string]progress{}
	for _, file := range c.Status {
		var record struct {
			Version    int64                   `json:"version"`
			Migrations []cells.MigrationStatus `json:"moves"`
		}
		if err := readLogRecord(file, "moves", &record); err != nil {
			return nil, err
		}
		if record.Version != version {
			fmt.Fprintf(out, "%s: the router has version %d of the migrations\n", file, record.Version)
		}
		for _, status := range record.Migrations {
			p, known := byTenant[status.Tenant]
			if !known {
				p.minShare = 1
			}
			p.minShare = min(p.minShare, status.Share)
			p.maxShare = max(p.maxShare, status.Share)
			p.routers++
			byTenant[status.Tenant] = p
		}
	}
	return byTenant, nil
}
