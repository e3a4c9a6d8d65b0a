package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"spantack/core/cells"
	"spantack/core/migration"
)

func formatTime(ms float64) string {
	if math.IsInf(ms, 0) {
		return "until resumed"
	}
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02 15:04:05Z")
}

func formatDuration(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}

// printMigration says what a move does from now on.
func printMigration(out io.Writer, m *migration.Migration, now float64) {
	fmt.Fprintf(out, "%s in %s: %s to %s, %s", m.Tenant, m.Site, m.From, m.To, m.Phase(now))
	switch p := m.Phase(now); p {
	case migration.Planned, migration.Warming, migration.Shifting, migration.Settling, migration.Paused:
		fmt.Fprintf(out, ", %.0f to %.0f%% over; begins %s, over %s at the soonest, needs no more looking at %s", 100*m.MinShare(now), 100*m.MaxShare(now),
			formatTime(m.Start), formatTime(m.Start+m.WarmUp+m.MinShift), formatTime(m.EndsAt()))
	case migration.RollingBack:
		fmt.Fprintf(out, ", at most %.0f%% over, none from %s on", 100*m.MaxShare(now), formatTime(m.EndsAt()))
	}
	fmt.Fprintln(out)
}

type migrationListCmd struct {
	documentFlags
	Status []string `name:"status" help:"Logs of routers with lines 'moves', of which the last of each log counts: how far routers really are."`
}

// Run lists the moves of a file.
func (c *migrationListCmd) Run(out io.Writer) error {
	_, doc, err := c.loadMigration()
	if err != nil {
		return err
	}
	type reach struct {
		least, most float64
		routers     int
	}
	seen := map[string]reach{}
	for _, file := range c.Status {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var line struct {
			Version int64                   `json:"version"`
			Moves   []cells.MigrationStatus `json:"moves"`
		}
		if !lastLogRecord(text, "moves", &line) {
			return fmt.Errorf("%s: no line 'moves'", file)
		}
		if line.Version != doc.Version {
			fmt.Fprintf(out, "%s: has version %d\n", file, line.Version)
		}
		for _, m := range line.Moves {
			r, known := seen[m.Tenant]
			if !known {
				r.least = 1
			}
			seen[m.Tenant] = reach{min(r.least, m.Share), max(r.most, m.Share), r.routers + 1}
		}
	}
	fmt.Fprintf(out, "version %d, %d moves\n", doc.Version, len(doc.Migrations))
	for i := range doc.Migrations {
		printMigration(out, &doc.Migrations[i], c.now())
		if r, known := seen[doc.Migrations[i].Tenant]; known {
			fmt.Fprintf(out, "  at %d routers: %.0f to %.0f%% over\n", r.routers, 100*r.least, 100*r.most)
		}
	}
	return nil
}

type migrationFinalizeCmd struct{ documentFlags }

// Run takes moves that are over out of the document, and says what the assignment must hold for that.
func (c *migrationFinalizeCmd) Run(out io.Writer) error {
	f, doc, err := c.loadMigration()
	if err != nil {
		return err
	}
	now := c.now()
	home := map[string]*cells.Tenant{}
	for i := range f.CellSpec().Tenants {
		home[f.CellSpec().Tenants[i].Name] = &f.CellSpec().Tenants[i]
	}
	var left []migration.Migration
	waits := 0
	for _, m := range doc.Migrations {
		want := m.From
		if m.Phase(now) == migration.Done {
			want = m.To
		} else if m.Phase(now) != migration.RolledBack {
			left = append(left, m)
			continue
		}
		is := cellAtSite(home[m.Tenant], m.Site)
		if is != want {
			fmt.Fprintf(out, "%s in %s: set its cell to %s (now %s) in %s first\n", m.Tenant, m.Site, want, is, c.File)
			left = append(left, m)
			waits++
			continue
		}
		fmt.Fprintf(out, "%s in %s: over, left out\n", m.Tenant, m.Site)
	}
	if len(left) == len(doc.Migrations) {
		if waits > 0 {
			return fmt.Errorf("%d moves are over, and the assignment does not say so yet", waits)
		}
		fmt.Fprintln(out, "no move is over")
		return nil
	}
	doc.Migrations = left
	return c.saveMigration(out, f, doc)
}
