package cells

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// ErrUnreachableKey is wrapped by the error for a tenant key that no request can match.
var ErrUnreachableKey = errors.New("unreachable: earlier keys match all its requests")

// FieldError is the error for an invalid field of a document.
type FieldError struct {
	Path string // path of the field from the root of the document
	Err  error  // reason
}

// Error returns the path and the reason.
func (e *FieldError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }

func fieldError(path, format string, args ...any) error {
	return &FieldError{Path: path, Err: fmt.Errorf(format, args...)}
}

// Validate returns an error for the first invalid field, with its path in the document, or nil if the specification is
// valid.
func (s *Spec) Validate() error {
	if err := s.validateTopLevel(); err != nil {
		return err
	}
	if err := s.validateCells(); err != nil {
		return err
	}
	if err := s.validateTenants(); err != nil {
		return err
	}
	if err := s.Budget.validate(); err != nil {
		return err
	}
	return s.validateKeys()
}

// validateTopLevel validates the fields that are neither lists nor objects, and the lengths of the lists.
func (s *Spec) validateTopLevel() error {
	hasWidth := s.Scheme == SchemeShuffle || s.Scheme == SchemeNested
	switch {
	case s.Version < 1:
		return fieldError("version", "%d is less than 1", s.Version)
	case !slices.Contains([]Scheme{SchemeFixed, SchemeShuffle, SchemeNested, SchemeOverflow}, s.Scheme):
		return fieldError("scheme", "%q is not one of fixed, shuffle, nested, overflow", s.Scheme)
	case hasWidth != (s.Width > 0) || s.Width < 0:
		return fieldError("width", "%d: must be above 0 with schemes shuffle and nested, left out with others", s.Width)
	case (s.Scheme == SchemeOverflow) != (s.OverflowCell != ""):
		return fieldError("spare", "%q: must name a cell with scheme overflow, left out with others", s.OverflowCell)
	case len(s.Cells) == 0 || len(s.Cells) > MaxCells:
		return fieldError("cells", "%d entries, must be 1 to %d", len(s.Cells), MaxCells)
	case len(s.Tenants) == 0 || len(s.Tenants) > MaxTenants:
		return fieldError("tenants", "%d entries, must be 1 to %d", len(s.Tenants), MaxTenants)
	case len(s.TenantKeys) == 0 || len(s.TenantKeys) > MaxTenantKeys:
		return fieldError("keys", "%d entries, must be 1 to %d", len(s.TenantKeys), MaxTenantKeys)
	}
	return nil
}

// cellNames returns the names of all cells for error messages.
func (s *Spec) cellNames() string {
	names := make([]string, len(s.Cells))
	for i := range s.Cells {
		names[i] = s.Cells[i].Name
	}
	return strings.Join(names, ", ")
}

func (s *Spec) validateCells() error {
	names := map[string]bool{}
	shares := 0.0
	for i, cell := range s.Cells {
		path := fmt.Sprintf("cells[%d]", i)
		switch {
		case cell.Name == "":
			return fieldError(path+".name", "missing")
		case names[cell.Name]:
			return fieldError(path+".name", "%q is a duplicate", cell.Name)
		case !(cell.Share > 0 && cell.Share <= 1): // also rejects NaN
			return fieldError(path+".share", "%v: must be above 0 and at most 1", cell.Share)
		}
		names[cell.Name] = true
		shares += cell.Share
	}
	if shares > 1+1e-9 {
		return fieldError("cells", "sum of shares is %.4g, must be at most 1", shares)
	}
	for i, cell := range s.Cells {
		fallback := cell.FallbackCell
		if fallback != "" && (!names[fallback] || fallback == cell.Name) {
			path := fmt.Sprintf("cells[%d].spill", i)
			return fieldError(path, "%q is not another cell; cells are %s", fallback, s.cellNames())
		}
	}
	if s.OverflowCell != "" && !names[s.OverflowCell] {
		return fieldError("spare", "%q is not a cell; cells are %s", s.OverflowCell, s.cellNames())
	}
	return nil
}

func (s *Spec) validateTenants() error {
	cells := map[string]bool{}
	for _, cell := range s.Cells {
		cells[cell.Name] = true
	}
	names := map[string]bool{}
	for i, tenant := range s.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		switch {
		case tenant.Name == "":
			return fieldError(path+".name", "missing")
		case names[tenant.Name]:
			return fieldError(path+".name", "%q is a duplicate", tenant.Name)
		case !cells[tenant.Cell]:
			return fieldError(path+".cell", "%q is not a cell; cells are %s", tenant.Cell, s.cellNames())
		}
		names[tenant.Name] = true
		for site, cell := range tenant.CellBySite {
			if !cells[cell] || site == "" {
				return fieldError(path+".depots["+site+"]", "%q is not a cell, or the site name is empty; cells are %s",
					cell, s.cellNames())
			}
		}
		if !(tenant.Weight >= 0) || math.IsInf(tenant.Weight, 1) { // also rejects NaN
			return fieldError(path+".weight", "%v is negative or not finite", tenant.Weight)
		}
	}
	return nil
}

func (b *Budget) validate() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"requestsPerS", b.RequestsPerSecond},
		{"fillKbPerS", b.FillKBPerSecond},
		{"parentKbPerS", b.ParentKBPerSecond},
		{"originKbPerS", b.OriginKBPerSecond},
		{"originOpen", float64(b.MaxOriginFills)},
		{"open", float64(b.MaxOpenRequests)},
		{"writesPerS", b.UncacheablePerSecond},
		{"giveMs", b.ReclaimMillis},
	} {
		if !(field.value >= 0 && field.value < maxBudget) { // also rejects NaN
			return fieldError("budget."+field.name, "%v: must be at least 0 and below 1e12", field.value)
		}
	}
	return nil
}

func (s *Spec) validateKeys() error {
	tenants := make(map[string]bool, len(s.Tenants))
	for _, tenant := range s.Tenants {
		tenants[tenant.Name] = true
	}
	for i := range s.TenantKeys {
		if err := s.TenantKeys[i].validate(fmt.Sprintf("keys[%d]", i), tenants); err != nil {
			return err
		}
	}
	last := len(s.TenantKeys) - 1
	if !s.TenantKeys[last].matchesAll() {
		path := fmt.Sprintf("keys[%d]", last)
		return fieldError(path, "the last key must match all requests: only its tenant may be set")
	}
	return validateReachable(s.TenantKeys)
}

func (k *TenantKey) validate(path string, tenants map[string]bool) error {
	if !tenants[k.Tenant] {
		return fieldError(path+".tenant", "%q is no tenant", k.Tenant)
	}
	if r := k.PurgeGroupRange; r != nil && (len(r) != 2 || r[0] < 0 || r[1] >= purgeGroupCount || r[0] > r[1]) {
		return fieldError(path+".families", "%v: must be first and last purge group, 0 to %d", r, purgeGroupCount-1)
	}
	if len(k.ObjectPrefix) > maxPrefixDigits || strings.Trim(k.ObjectPrefix, "0123456789abcdef") != "" {
		return fieldError(path+".prefix", "%q: must be up to %d lower-case hex digits", k.ObjectPrefix, maxPrefixDigits)
	}
	return nil
}

// matchesAll reports whether a key matches every request.
func (k *TenantKey) matchesAll() bool {
	return k.PurgeGroupRange == nil && k.Class == "" && k.ObjectPrefix == "" && k.DeclaredTenant == ""
}

// keyFields are the fields of a tenant key other than its purge groups.
type keyFields struct{ class, prefix, declaredTenant string }

// validateReachable returns an error for the first key that no request can reach, because earlier keys together cover
// all its purge groups. An earlier key covers its own purge groups only if its other fields match all values that the
// later key's fields match.
func validateReachable(keys []TenantKey) error {
	matched := map[keyFields]groupSet{} // purge groups of the earlier keys with these fields
	for i := range keys {
		key := &keys[i]
		groups := key.groups()
		if groups.without(matched, key).isEmpty() {
			return &FieldError{Path: fmt.Sprintf("keys[%d]", i), Err: ErrUnreachableKey}
		}
		fields := keyFields{key.Class, key.ObjectPrefix, key.DeclaredTenant}
		matched[fields] = matched[fields].union(groups)
	}
	return nil
}

// groupSet is a set of purge groups, with one bit for each group.
type groupSet [purgeGroupCount / 64]uint64

// groups returns the purge groups that a key matches.
func (k *TenantKey) groups() (set groupSet) {
	first, last := 0, purgeGroupCount-1
	if k.PurgeGroupRange != nil {
		first, last = k.PurgeGroupRange[0], k.PurgeGroupRange[1]
	}
	for group := first; group <= last; group++ {
		set[group/64] |= 1 << (group % 64)
	}
	return set
}

// without returns the set without the groups that earlier keys cover. A group is covered if one earlier key matches all
// requests of the group that the key matches. matched holds the groups of the earlier keys by their other fields. See
// validateReachable.
func (g groupSet) without(matched map[keyFields]groupSet, key *TenantKey) groupSet {
	for length := 0; length <= len(key.ObjectPrefix); length++ {
		for _, class := range [...]string{"", key.Class} {
			for _, declared := range [...]string{"", key.DeclaredTenant} {
				covered := matched[keyFields{class, key.ObjectPrefix[:length], declared}]
				for word := range g {
					g[word] &^= covered[word]
				}
			}
		}
	}
	return g
}

func (g groupSet) union(other groupSet) groupSet {
	for word := range g {
		g[word] |= other[word]
	}
	return g
}

func (g groupSet) isEmpty() bool { return g == groupSet{} }
