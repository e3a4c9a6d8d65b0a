package cells

import "fmt"

// Assignment is a specification that has passed its check, with all that can be worked out before a router takes it. It does
// not change and may be shared: working it out takes long, taking it in does not.
type Assignment struct {
	spec   *Spec
	keys   *table
	ofKey  []int32 // tenant by line of the table
	byName map[string]int32
	home   []int32 // cell by tenant, where a depot has no other
	places map[string]int32
}

// Compile checks a specification and works it out. The specification must not be changed afterwards.
func Compile(spec *Spec) (*Assignment, error) {
	if err := spec.Check(); err != nil {
		return nil, fmt.Errorf("cells.%w", err)
	}
	a := &Assignment{spec: spec, keys: newTable(spec.Keys), ofKey: make([]int32, len(spec.Keys)), byName: make(map[string]int32, len(spec.Tenants)),
		home: make([]int32, len(spec.Tenants)), places: map[string]int32{}}
	for i, c := range spec.Cells {
		a.places[c.Name] = int32(i)
	}
	for i := range spec.Tenants {
		a.byName[spec.Tenants[i].Name] = int32(i)
		a.home[i] = a.places[spec.Tenants[i].Cell]
	}
	for i, k := range spec.Keys {
		a.ofKey[i] = a.byName[k.Tenant]
	}
	return a, nil
}

// Version is that of the specification.
func (a *Assignment) Version() int64 { return a.spec.Version }

// cellOf is the place of a tenant's cell in a depot.
func (a *Assignment) cellOf(tenant int, depot string) int {
	if name, other := a.spec.Tenants[tenant].Depots[depot]; other {
		return int(a.places[name])
	}
	return int(a.home[tenant])
}
