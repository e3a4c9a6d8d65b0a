package cells

import "fmt"

// Assignment is a specification that has passed its check, with all that can be worked out before a router takes it. It does
// not change and may be shared: working it out takes long, taking it in does not.
type Assignment struct {
	spec         *Spec
	keys         *keyTable
	tenantByKey  []int32 // tenant by line of the table
	tenantByName map[string]int32
	homeCell     []int32 // cell by tenant, where a depot has no other
	cellByName   map[string]int32
}

// Compile checks a specification and works it out. The specification must not be changed afterwards.
func Compile(spec *Spec) (*Assignment, error) {
	if err := spec.Check(); err != nil {
		return nil, fmt.Errorf("cells.%w", err)
	}
	a := &Assignment{spec: spec, keys: newKeyTable(spec.TenantKeys), tenantByKey: make([]int32, len(spec.TenantKeys)), tenantByName: make(map[string]int32, len(spec.Tenants)),
		homeCell: make([]int32, len(spec.Tenants)), cellByName: map[string]int32{}}
	for i, c := range spec.Cells {
		a.cellByName[c.Name] = int32(i)
	}
	for i := range spec.Tenants {
		a.tenantByName[spec.Tenants[i].Name] = int32(i)
		a.homeCell[i] = a.cellByName[spec.Tenants[i].Cell]
	}
	for i, k := range spec.TenantKeys {
		a.tenantByKey[i] = a.tenantByName[k.Tenant]
	}
	return a, nil
}

// Version is that of the specification.
func (a *Assignment) Version() int64 { return a.spec.Version }

// cellAt is the place of a tenant's cell in a depot.
func (a *Assignment) cellAt(tenant int, depot string) int {
	if name, other := a.spec.Tenants[tenant].CellBySite[depot]; other {
		return int(a.cellByName[name])
	}
	return int(a.homeCell[tenant])
}
