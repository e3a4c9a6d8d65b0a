package cells

import "fmt"

// Assignment is a valid specification with the indexes that routers need. It is immutable and may be shared between
// goroutines. Compile is slow, but can run in the background. Admission.SetAssignment is fast.
type Assignment struct {
	spec         *Spec
	keys         *keyTable
	tenantByKey  []int32          // index of a tenant by index of a key
	tenantByName map[string]int32 // index of a tenant
	defaultCell  []int32          // index of a cell by tenant, for sites that CellBySite does not list
	cellByName   map[string]int32 // index of a cell
}

// Compile validates and indexes a specification. The caller must not modify the specification afterwards.
func Compile(spec *Spec) (*Assignment, error) {
	if err := spec.Validate(); err != nil {
		return nil, fmt.Errorf("cells.%w", err)
	}
	a := &Assignment{
		spec:         spec,
		keys:         newKeyTable(spec.TenantKeys),
		tenantByKey:  make([]int32, len(spec.TenantKeys)),
		tenantByName: make(map[string]int32, len(spec.Tenants)),
		defaultCell:  make([]int32, len(spec.Tenants)),
		cellByName:   make(map[string]int32, len(spec.Cells)),
	}
	for i, cell := range spec.Cells {
		a.cellByName[cell.Name] = int32(i)
	}
	for i := range spec.Tenants {
		tenant := &spec.Tenants[i]
		a.tenantByName[tenant.Name] = int32(i)
		a.defaultCell[i] = a.cellByName[tenant.Cell]
	}
	for i := range spec.TenantKeys {
		a.tenantByKey[i] = a.tenantByName[spec.TenantKeys[i].Tenant]
	}
	return a, nil
}

// Version returns the version number of the specification.
func (a *Assignment) Version() int64 { return a.spec.Version }

// cellAt returns the index of a tenant's cell at a site.
func (a *Assignment) cellAt(tenant int, site string) int {
	if name, isListed := a.spec.Tenants[tenant].CellBySite[site]; isListed {
		return int(a.cellByName[name])
	}
	return int(a.defaultCell[tenant])
}

// tenantOf returns the index of the tenant that a request belongs to.
func (a *Assignment) tenantOf(group int, class, object, declaredTenant string) int {
	return int(a.tenantByKey[a.keys.find(group, class, object, declaredTenant)])
}
