package features

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"spantack/core/cells"
	"spantack/routing"
)

// Cells is the section that confines tenants to cells: subsets of a site's caches.
type Cells struct {
	Enabled bool `json:"enabled"`
	cells.Spec
}

// CellSpec returns the assignment of tenants to cells, as in the file; nil if the feature is off.
func (f *File) CellSpec() *cells.Spec {
	if f == nil || !f.Cells.Enabled {
		return nil
	}
	return &f.Cells.Spec
}

// CellAssignment returns the compiled assignment of tenants to cells; nil if the feature is off.
func (f *File) CellAssignment() (*cells.Assignment, error) {
	spec := f.CellSpec()
	if spec == nil {
		return nil, nil
	}
	return cells.Compile(spec)
}

func (f *File) validateCells() error {
	spec := f.CellSpec()
	if spec == nil {
		return nil
	}
	if err := spec.Validate(); err != nil {
		return fmt.Errorf("cells.%w", err)
	}
	return nil
}

// checkCellSettings checks that a router's settings have the classes and sites that the section refers to. A site has
// the name of its zone in the settings. Sites are not checked if the settings have no zones.
func (f *File) checkCellSettings(settings *routing.Settings) error {
	spec := f.CellSpec()
	if spec == nil {
		return nil
	}
	var classes []string
	for _, class := range settings.Classes {
		classes = append(classes, class.Name)
	}
	for i, key := range spec.TenantKeys {
		if key.Class != "" && !slices.Contains(classes, key.Class) {
			return fieldError(fmt.Sprintf("cells.keys[%d].class", i), "%q is not a class of the settings; the classes are %s",
				key.Class, strings.Join(classes, ", "))
		}
	}
	if len(settings.Zones) == 0 {
		return nil
	}
	for i, tenant := range spec.Tenants {
		for _, site := range slices.Sorted(maps.Keys(tenant.CellBySite)) {
			if !slices.Contains(settings.Zones, site) {
				return fieldError(fmt.Sprintf("cells.tenants[%d].depots[%s]", i, site),
					"not a zone of the settings; the zones are %s", strings.Join(settings.Zones, ", "))
			}
		}
	}
	return nil
}
