package features

import (
	"fmt"
	"math"
	"reflect"

	"spantack/core/migration"
)

// Migration is the section of migrations, each of which moves a tenant from one cell to another. It requires that cells
// are enabled.
type Migration struct {
	Enabled bool `json:"enabled"`
	migration.Document
}

// ActiveMigration returns the document of migrations, including finished and future ones; nil if the feature is off.
func (f *File) ActiveMigration() *migration.Document {
	if f == nil || !f.Migration.Enabled {
		return nil
	}
	return &f.Migration.Document
}

// validateMigration checks the migrations, except for the checks that need the time at which a router loads the file.
// CheckReplaces makes these.
func (f *File) validateMigration() error {
	document := f.ActiveMigration()
	if document == nil {
		return nil
	}
	if f.CellSpec() == nil {
		return fieldError("moves.enabled", "true, requires cells.enabled to be true")
	}
	if err := document.Validate(math.Inf(-1), nil); err != nil {
		return fmt.Errorf("moves.%w", err)
	}
	return nil
}

// checkMigrationReplaces checks that
//   - the file keeps each migration that is in progress, with the same site and cells,
//   - the warm-up of a new migration has not ended, unless the migration is paused or rolled back, and
//   - a changed document has a higher version.
func (f *File) checkMigrationReplaces(now float64, previous *File) error {
	old, next := previous.ActiveMigration(), f.ActiveMigration()
	switch {
	case old == nil && next == nil:
		return nil
	case next == nil: // disabling the feature leaves out all migrations
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
