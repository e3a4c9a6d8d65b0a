package cells

import "fmt"

// Explanation tells what would become of a request: for operators, who ask before something goes wrong.
type Explanation struct {
	KeyIndex     int      `json:"line"` // of keys, from 0
	Tenant       string   `json:"tenant"`
	Cell         string   `json:"cell"`
	Caches       []string `json:"caches"` // that the tenant may use in the depot
	OverflowCell string   `json:"spare,omitempty"`
	FallbackCell string   `json:"spill,omitempty"` // used while the cell has no live cache
}

// Explain finds tenant, cell and caches of a request in a depot with these caches.
func (s *Spec) Explain(depot string, caches []string, family int, class, object, named string) (Explanation, error) {
	c, err := Compile(s)
	if err != nil {
		return Explanation{}, err
	}
	line := c.keys.find(family, class, object, named)
	a := Explanation{KeyIndex: line, Tenant: s.TenantKeys[line].Tenant, OverflowCell: s.OverflowCell}
	home := c.cellAt(int(c.tenantByKey[line]), depot)
	a.Cell, a.FallbackCell = s.Cells[home].Name, s.Cells[home].FallbackCell
	a.Caches = s.cachesOf(a.Tenant, caches, divideCaches(s.Cells, caches)[home])
	return a, nil
}

// CachesByCell tells which caches each cell has in a depot, by the order of the cells.
func (s *Spec) CachesByCell(caches []string) [][]string { return divideCaches(s.Cells, caches) }

// Changes says in words what changes from one specification to another; nothing if they are alike.
func Changes(old, next *Spec) []string {
	var out []string
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if next.Version <= old.Version && next.Version != 0 {
		say("version %d is not after %d", next.Version, old.Version)
	}
	before := map[string]*Tenant{}
	for i := range old.Tenants {
		before[old.Tenants[i].Name] = &old.Tenants[i]
	}
	for i := range next.Tenants {
		t := &next.Tenants[i]
		o := before[t.Name]
		delete(before, t.Name)
		switch {
		case o == nil:
			say("tenant %s: new, in cell %s", t.Name, t.Cell)
		case o.Cell != t.Cell:
			say("tenant %s: from cell %s to %s", t.Name, o.Cell, t.Cell)
		}
	}
	for i := range old.Tenants {
		if name := old.Tenants[i].Name; before[name] != nil {
			say("tenant %s: no more", name)
		}
	}
	shares := map[string]float64{}
	for _, c := range old.Cells {
		shares[c.Name] = c.Share
	}
	for _, c := range next.Cells {
		if was := shares[c.Name]; was != c.Share {
			say("cell %s: share %.4g, %.4g before", c.Name, c.Share, was)
		}
		delete(shares, c.Name)
	}
	for _, c := range old.Cells {
		if _, gone := shares[c.Name]; gone {
			say("cell %s: no more", c.Name)
		}
	}
	return out
}
