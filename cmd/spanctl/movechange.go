package main

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"spantack/core/migration"
)

// changeMigrations is a command on moves that are there already.
type changeMigrations struct {
	documentFlags
	Tenants []string `name:"tenants" arg:"" optional:"" help:"Tenants whose moves are meant."`
	All     bool     `name:"all" help:"All moves that are not over."`
}

// applyToEach changes the moves meant, by what set does; it says false for those that can't be changed so.
func (c *changeMigrations) applyToEach(out io.Writer, how string, set func(m *migration.Migration, now float64) bool) error {
	f, doc, err := c.loadMigration()
	if err != nil {
		return err
	}
	if c.All == (len(c.Tenants) > 0) {
		return errors.New("tenants, or --all")
	}
	now, found := c.now(), map[string]bool{}
	for i := range doc.Migrations {
		m := &doc.Migrations[i]
		if !c.All && !slices.Contains(c.Tenants, m.Tenant) {
			continue
		}
		if p := m.Phase(now); p == migration.Done || p == migration.RolledBack || !set(m, now) {
			if !c.All {
				return fmt.Errorf("%s is %s: it can't be %s", m.Tenant, p, how)
			}
			continue
		}
		found[m.Tenant] = true
		printMigration(out, m, now)
	}
	for _, t := range c.Tenants {
		if !found[t] {
			return fmt.Errorf("%s does not move", t)
		}
	}
	if len(found) == 0 {
		return fmt.Errorf("there is no move to be %s", how)
	}
	return c.saveMigration(out, f, doc)
}

type migrationPauseCmd struct{ changeMigrations }

func (c *migrationPauseCmd) Run(out io.Writer) error {
	return c.applyToEach(out, "held", func(m *migration.Migration, now float64) bool {
		if m.PausedAt > 0 || m.RollbackStarted(now) {
			return false
		}
		m.PausedAt = now
		return true
	})
}

type migrationResumeCmd struct{ changeMigrations }

func (c *migrationResumeCmd) Run(out io.Writer) error {
	return c.applyToEach(out, "resumed", func(m *migration.Migration, now float64) bool {
		if m.PausedAt == 0 {
			return false
		}
		*m = m.Resumed(now)
		return true
	})
}

type migrationRollbackCmd struct{ changeMigrations }

func (c *migrationRollbackCmd) Run(out io.Writer) error {
	return c.applyToEach(out, "taken back", func(m *migration.Migration, now float64) bool {
		if m.RollbackAt > 0 {
			return false
		}
		m.RollbackAt = max(now, m.Start)
		return true
	})
}
