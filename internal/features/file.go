// Package features reads the features file: Jsonnet in which the features that the platform's configuration does not
// know are switched on and set. The file is decoded strictly and checked as a whole; no part of it applies unless all
// is valid. Each feature has a file of its own here, which holds its section, what of it is in force, and its checks.
package features

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// File is a features file. A feature whose section is left out is off. Methods that return what is in force may be
// called on a nil File, in which all features are off.
type File struct {
	Cells       Cells       `json:"cells,omitempty" jsonschema_description:"tenants confined to subsets of a depot's caches; docs/cells.md"`
	Migration   Migration   `json:"moves,omitempty" jsonschema_description:"tenants on their way from cell to cell; docs/moves.md"`
	Rollout     Rollout     `json:"stage,omitempty" jsonschema_description:"a release let into cells ring by ring; docs/stages.md"`
	Topology    Topology    `json:"shape,omitempty" jsonschema_description:"who fills from whom; docs/hierarchy.md"`
	OriginLimit OriginLimit `json:"shield,omitempty" jsonschema_description:"a limit on what fills ask of the head office; docs/hierarchy.md"`
	Fleet       Fleet       `json:"fleet,omitempty" jsonschema_description:"a limit on fills that ask the head office, kept by all routers together; docs/fleet.md"`
}

// FieldError is an error in a field of a features file, or in what the field asks for.
type FieldError struct {
	Field   string // its path, such as cells.keys[0].class
	Problem string // its value, what is wrong with it, and what is allowed
}

// Error is the field and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Load reads, evaluates, decodes and checks a file. An error is one line: the file, the field's path, its value, and
// what is allowed.
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

// Parse decodes and checks the JSON that a file evaluates to.
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

// validate checks each feature that is on, and then those that depend on cells.
func (f *File) validate() error {
	steps := []func() error{
		f.validateTopology,
		f.validateFleet,
		f.validateOriginLimit,
		f.validateCells,
		f.validateMigration,
		f.validateRollout,
		f.validateCellUsers,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// validateCellUsers checks that migration and rollout name only cells and tenants of the assignment.
func (f *File) validateCellUsers() error {
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
