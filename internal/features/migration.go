package features

import (
	"fmt"
	"math"
	"reflect"

	"spantack/core/migration"
)

// Migration is the section of tenants that move from one cell to another. It needs cells.
type Migration struct {
	Enabled bool `json:"enabled"`
	migration.Document
}

// ActiveMigration returns the migrations in force; nil while the feature is off.
func (f *File) ActiveMigration() *migration.Document {
	if f == nil || !f.Migration.Enabled {
		return nil
	}
	return &f.Migration.Document
}

// validateMigration checks all but times, which depend on when a router takes the file in: see CheckReplaces.
func (f *File) validateMigration() error {
	document := f.ActiveMigration()
	if document == nil {
		return nil
	}
	if f.CellSpec() == nil {
		return fieldError("moves.enabled", "true, needs cells.enabled true")
	}
	if err := document.Validate(math.Inf(-1), nil); err != nil {
		return fmt.Errorf("moves.%w", err)
	}
	return nil
}

// checkMigrationReplaces checks that no migration in progress is lost, and that new ones begin in time.
func (f *File) checkMigrationReplaces(now float64, previous *File) error {
	old, next := previous.ActiveMigration(), f.ActiveMigration()
	switch {
	case old == nil && next == nil:
		return nil
	case next == nil: // the feature is switched off: as if all migrations were left out
		next = &migration.Document{Version: old.Version + 1}
	case old == nil:
		old = &migration.Document{}
	case next.Version == old.Version && reflect.DeepEqual(next, old):
		return nil
	}
	if err := next.Validate(now, old); err != nil {
		return fmt.Errorf("moves.%w", err)
	}
	return nil
}
