package cells

import "fmt"

// Explanation describes how a specification routes a request, so that operators can check the specification before they
// apply it.
type Explanation struct {
	KeyIndex     int      `json:"line"` // index of the matching tenant key, from 0
	Tenant       string   `json:"tenant"`
	Cell         string   `json:"cell"`
	Caches       []string `json:"caches"` // caches that the tenant may use at the site
	OverflowCell string   `json:"spare,omitempty"`
	FallbackCell string   `json:"spill,omitempty"` // used while the cell has no healthy cache
}

// Explain returns the tenant, cell and caches of a request at a site with the given edge caches. It returns an error if
// the specification is invalid.
func (s *Spec) Explain(
	site string, caches []string, group int, class, object, declaredTenant string,
) (Explanation, error) {
	assignment, err := Compile(s)
	if err != nil {
		return Explanation{}, err
	}
	key := assignment.keys.find(group, class, object, declaredTenant)
	tenant := s.TenantKeys[key].Tenant
	cell := assignment.cellAt(int(assignment.tenantByKey[key]), site)
	return Explanation{
		KeyIndex:     key,
		Tenant:       tenant,
		Cell:         s.Cells[cell].Name,
		Caches:       s.cachesOf(tenant, caches, divideCaches(s.Cells, caches)[cell]),
		OverflowCell: s.OverflowCell,
		FallbackCell: s.Cells[cell].FallbackCell,
	}, nil
}

// CachesByCell returns the caches of each cell at a site with the given edge caches, in the order of the cells.
func (s *Spec) CachesByCell(caches []string) [][]string { return divideCaches(s.Cells, caches) }

// Changes describes the differences between two specifications, one line of text each: added and removed tenants,
// changed cells of tenants, added and removed cells, and changed shares. The previous share of a new cell is given as
// 0. There is also a line if the new version is not greater than the old one. Changes does not compare other fields,
// nor the cells of tenants by site. It returns nil if there are no such differences.
func Changes(old, next *Spec) []string {
	var lines []string
	if next.Version <= old.Version && next.Version != 0 {
		lines = append(lines, fmt.Sprintf("version %d is not after %d", next.Version, old.Version))
	}
	lines = append(lines, tenantChanges(old.Tenants, next.Tenants)...)
	return append(lines, cellChanges(old.Cells, next.Cells)...)
}

func tenantChanges(old, next []Tenant) (lines []string) {
	cellOf := map[string]string{} // cell by tenant name; tenants found in next are deleted
	for _, tenant := range old {
		cellOf[tenant.Name] = tenant.Cell
	}
	for _, tenant := range next {
		cell, existed := cellOf[tenant.Name]
		delete(cellOf, tenant.Name)
		switch {
		case !existed:
			lines = append(lines, fmt.Sprintf("tenant %s: new, in cell %s", tenant.Name, tenant.Cell))
		case cell != tenant.Cell:
			lines = append(lines, fmt.Sprintf("tenant %s: from cell %s to %s", tenant.Name, cell, tenant.Cell))
		}
	}
	for _, tenant := range old {
		if _, isRemoved := cellOf[tenant.Name]; isRemoved {
			lines = append(lines, fmt.Sprintf("tenant %s: removed", tenant.Name))
		}
	}
	return lines
}

func cellChanges(old, next []Cell) (lines []string) {
	shares := map[string]float64{} // share by cell name; cells found in next are deleted
	for _, cell := range old {
		shares[cell.Name] = cell.Share
	}
	for _, cell := range next {
		if before := shares[cell.Name]; before != cell.Share {
			lines = append(lines, fmt.Sprintf("cell %s: share %.4g, previously %.4g", cell.Name, cell.Share, before))
		}
		delete(shares, cell.Name)
	}
	for _, cell := range old {
		if _, isRemoved := shares[cell.Name]; isRemoved {
			lines = append(lines, fmt.Sprintf("cell %s: removed", cell.Name))
		}
	}
	return lines
}
