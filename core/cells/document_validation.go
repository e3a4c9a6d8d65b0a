package cells

import (
	"fmt"
	"maps"
	"slices"

	"spantack/core/migration"
	"spantack/core/rollout"
)

// ValidateMigrations checks a document against the assignment: tenants and cells must exist, and a tenant's cell must
// be one of the two cells of its migration.
func (a *Assignment) ValidateMigrations(document *migration.Document) error {
	if document == nil {
		return nil
	}
	for i := range document.Migrations {
		if err := a.validateMigration(fmt.Sprintf("moves.moves[%d]", i), &document.Migrations[i]); err != nil {
			return err
		}
	}
	return nil
}

func (a *Assignment) validateMigration(path string, m *migration.Migration) error {
	tenant, exists := a.tenantByName[m.Tenant]
	if !exists {
		return fieldError(path+".tenant", "%q is no tenant", m.Tenant)
	}
	if _, exists := a.cellByName[m.From]; !exists {
		return fieldError(path+".from", "%q is no cell", m.From)
	}
	if _, exists := a.cellByName[m.To]; !exists {
		return fieldError(path+".to", "%q is no cell", m.To)
	}
	if a.spec.Scheme != SchemeFixed && a.spec.Scheme != SchemeOverflow {
		return fieldError(path, "migrations need scheme fixed or overflow, not %s", a.spec.Scheme)
	}
	for _, site := range a.sitesOf(int(tenant), m) {
		if cell := a.spec.Cells[a.cellAt(int(tenant), site)].Name; cell != m.From && cell != m.To {
			const text = "%s is in cell %s at site %q, neither in %s nor in %s (site \"\": all sites not in its depots)"
			return fieldError(path+".from", text, m.Tenant, cell, site, m.From, m.To)
		}
	}
	return nil
}

// sitesOf returns the sites of a migration that must be checked separately, because the tenant's cell may differ
// between them. "" stands for all sites that the tenant's CellBySite does not list.
func (a *Assignment) sitesOf(tenant int, m *migration.Migration) []string {
	if m.Site != migration.AllSites {
		return []string{m.Site}
	}
	named := slices.Sorted(maps.Keys(a.spec.Tenants[tenant].CellBySite))
	return append([]string{""}, named...)
}

// ValidateRollout checks a rollout against the assignment: its rings must consist of cells of the assignment. At least
// one cell must be outside the first ring, for comparison with the release.
func (a *Assignment) ValidateRollout(r *rollout.Rollout) error {
	if r == nil {
		return nil
	}
	if err := r.Validate(); err != nil {
		return fmt.Errorf("stage.%w", err)
	}
	for i, ring := range r.Rings {
		for _, name := range ring.Cells {
			if _, exists := a.cellByName[name]; !exists {
				return fieldError(fmt.Sprintf("stage.rings[%d].cells", i), "%q is no cell", name)
			}
		}
	}
	if len(a.spec.Cells) < 2 || len(r.Rings[0].Cells) == len(a.spec.Cells) {
		return fieldError("stage.rings[0].cells", "contains all cells, none is left to compare with")
	}
	return nil
}
