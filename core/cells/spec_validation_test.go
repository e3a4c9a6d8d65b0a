package cells

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// The error for an invalid field must begin with the path of the field and have one line only.
func TestValidateNamesInvalidField(t *testing.T) {
	for want, invalidate := range map[string]func(*Spec){
		`version: 0 is less than 1`:               func(s *Spec) { s.Version = 0 },
		`scheme: `:                                func(s *Spec) { s.Scheme = "round" },
		`width: `:                                 func(s *Spec) { s.Width = 2 },
		`spare: `:                                 func(s *Spec) { s.OverflowCell = "one" },
		`cells: 0 entries`:                        func(s *Spec) { s.Cells = nil },
		`cells: sum of shares is 1.5`:             func(s *Spec) { s.Cells[0].Share = 1 },
		`cells[0].share: `:                        func(s *Spec) { s.Cells[0].Share = math.NaN() },
		`cells[1].name: "one" is a duplicate`:     func(s *Spec) { s.Cells[1].Name = "one" },
		`cells[0].spill: "one"`:                   func(s *Spec) { s.Cells[0].FallbackCell = "one" },
		`tenants[1].name: "heavy" is a duplicate`: func(s *Spec) { s.Tenants[1].Name = "heavy" },
		`tenants[2].cell: "nine" is not a cell`:   func(s *Spec) { s.Tenants[2].Cell = "nine" },
		`tenants[0].weight: `:                     func(s *Spec) { s.Tenants[0].Weight = -1 },
		`keys[0].tenant: "who" is no tenant`:      func(s *Spec) { s.TenantKeys[0].Tenant = "who" },
		`keys[0].families: `:                      func(s *Spec) { s.TenantKeys[0].PurgeGroupRange = []int{5, 2} },
		`keys[1].prefix: `:                        func(s *Spec) { s.TenantKeys[1].ObjectPrefix = "AA" },
		`budget.open: `:                           func(s *Spec) { s.Budget.MaxOpenRequests = -1 },
		`cells[0].spill: "three" is not another cell; cells are one, two`: func(s *Spec) {
			s.Cells[0].FallbackCell = "three"
		},
		`tenants[0].depots[z]: `: func(s *Spec) {
			s.Tenants[0].CellBySite = map[string]string{"z": "nine"}
		},
		`keys[3]: the last key`: func(s *Spec) {
			s.TenantKeys = s.TenantKeys[:4]
			s.TenantKeys[3].Class = "page"
		},
		`keys[1]: unreachable`: func(s *Spec) {
			s.TenantKeys[1] = TenantKey{PurgeGroupRange: []int{3, 4}, ObjectPrefix: "b", Tenant: "normal"}
		},
	} {
		t.Run(want, func(t *testing.T) {
			spec := twoCells()
			invalidate(spec)
			err := spec.Validate()
			if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line with prefix %q", err, want)
			}
		})
	}
	if err := twoCells().Validate(); err != nil {
		t.Error(err)
	}
}

// A key must be reported as unreachable if several earlier keys together match all its requests, even if each of them
// matches only some.
func TestKeyCoveredBySeveralKeysIsUnreachable(t *testing.T) {
	spec := twoCells()
	spec.TenantKeys = []TenantKey{
		{PurgeGroupRange: []int{0, 100}, Tenant: "heavy"},
		{PurgeGroupRange: []int{101, 255}, Class: "page", Tenant: "heavy"},
		{PurgeGroupRange: []int{50, 255}, Class: "page", ObjectPrefix: "0", Tenant: "normal"},
		{Tenant: "normal"},
	}
	if err := spec.Validate(); err == nil || !strings.HasPrefix(err.Error(), "keys[2]: ") {
		t.Errorf("got %v, want an error for keys[2]", err)
	}
	spec.TenantKeys[2].Class = ""
	if err := spec.Validate(); err != nil {
		t.Error(err)
	}
}

// Compile must reject an invalid specification, so that an Admission never gets one.
func TestCompileRejectsInvalidSpec(t *testing.T) {
	spec := twoCells()
	spec.Tenants[0].Cell = "nowhere"
	assignment, err := Compile(spec)
	if assignment != nil || err == nil || !strings.HasPrefix(err.Error(), "cells.tenants[0].cell: ") {
		t.Errorf("got %v, %v, want an error for cells.tenants[0].cell", assignment, err)
	}
}

// Callers must be able to get the path and the reason of a validation error by errors.As and errors.Is.
func TestValidationErrorsHaveTypes(t *testing.T) {
	spec := twoCells()
	spec.TenantKeys[1] = TenantKey{PurgeGroupRange: []int{3, 4}, ObjectPrefix: "b", Tenant: "normal"}
	_, err := Compile(spec)
	var field *FieldError
	if !errors.As(err, &field) || field.Path != "keys[1]" || !errors.Is(err, ErrUnreachableKey) {
		t.Errorf("got %#v, want a FieldError for keys[1] that wraps ErrUnreachableKey", err)
	}
}
