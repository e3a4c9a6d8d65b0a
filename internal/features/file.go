// Package features reads the features file. This Jsonnet file enables and configures the features that the platform's
// configuration does not support. The file is decoded strictly and validated as a whole: one invalid part makes the
// whole file invalid. Each feature has its own source file here, with its section, the methods that return its settings
// if it is enabled, and its checks.
package features

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// File is a features file. A feature without a section is off. Methods that return the settings of enabled features may
// be called on a nil File, in which all features are off.
type File struct {
	Cells       Cells       `json:"cells,omitempty" jsonschema_description:"confines tenants to cells, which are subsets of a site's caches; docs/cells.md"`
	Migration   Migration   `json:"moves,omitempty" jsonschema_description:"migrations of tenants between cells; docs/migration.md"`
	Rollout     Rollout     `json:"stage,omitempty" jsonschema_description:"rollout of a release to cells, ring by ring; docs/rollout.md"`
	Topology    Topology    `json:"shape,omitempty" jsonschema_description:"the topology that fills follow: sites, parent groups, origin and links; docs/hierarchy.md"`
	OriginLimit OriginLimit `json:"shield,omitempty" jsonschema_description:"limit on concurrent fills that reach the origin, of which each router enforces a share by itself; docs/hierarchy.md"`
	Fleet       Fleet       `json:"fleet,omitempty" jsonschema_description:"limit on fills that reach the origin and verdicts on servers, shared by all routers; docs/fleet.md"`
}

// FieldError is an error in a field of a features file, or a conflict of the field with other fields, with the router's
// settings or with the previous file.
type FieldError struct {
	Field   string // path, such as cells.keys[0].class
	Problem string // the value, why it is invalid, and the allowed values
}

// Error returns the field, a colon and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Load reads, evaluates, decodes and validates a file. An error has the file and, if a field is at fault, the path of
// the field, its value, and the allowed values. The error is one line, with one exception: if both the migrations and
// the rollout refer to unknown cells or tenants, it has a line for each of the two.
func Load(path string) (*File, error) {
	text, err := evaluateJsonnet(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Parse decodes and validates the JSON that a features file evaluates to.
func Parse(text []byte) (*File, error) {
	var document any
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	if err := checkStrict(document, reflect.TypeFor[File](), ""); err != nil {
		return nil, err
	}
	f := &File{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, err
	}
	if err := f.validate(); err != nil {
		return nil, err
	}
	return f, nil
}

// validate checks each enabled feature, then that the cells and tenants that migration and rollout refer to exist.
func (f *File) validate() error {
	checks := []func() error{
		f.validateTopology,
		f.validateFleet,
		f.validateOriginLimit,
		f.validateCells,
		f.validateMigration,
		f.validateRollout,
		f.validateCellReferences,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// validateCellReferences checks that the cells and tenants that migration and rollout refer to exist.
func (f *File) validateCellReferences() error {
	migration, rollout := f.ActiveMigration(), f.ActiveRollout()
	if migration == nil && rollout == nil {
		return nil
	}
	assignment, err := f.CellAssignment()
	if err != nil {
		return err
	}
	return errors.Join(assignment.ValidateMigrations(migration), assignment.ValidateRollout(rollout))
}
