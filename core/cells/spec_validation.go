package cells

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// ErrUnreachableKey is wrapped by the error for a tenant key that no request can match.
var ErrUnreachableKey = errors.New("no request gets here: lines above match all of it")

// FieldError says that a field of a document is invalid, and why.
type FieldError struct {
	Path string // of the field, from the document
	Err  error
}

// Error returns path and reason.
func (e *FieldError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }

func fieldError(path, format string, args ...any) error {
	return &FieldError{Path: path, Err: fmt.Errorf(format, args...)}
}

// Validate reports the first field that is invalid, by its path in the document. A specification that passes can be put
// in force.
func (s *Spec) Validate() error {
	if err := s.validateScalars(); err != nil {
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

func (s *Spec) validateScalars() error {
	hasWidth := s.Scheme == SchemeShuffle || s.Scheme == SchemeNested
	switch {
	case s.Version < 1:
		return fieldError("version", "%d is under 1", s.Version)
	case !slices.Contains([]Scheme{SchemeFixed, SchemeShuffle, SchemeNested, SchemeOverflow}, s.Scheme):
		return fieldError("scheme", "%q is none of fixed, shuffle, nested, overflow", s.Scheme)
	case hasWidth != (s.Width > 0) || s.Width < 0:
		return fieldError("width", "%d: above 0 with shuffle and nested, left out otherwise", s.Width)
	case (s.Scheme == SchemeOverflow) != (s.OverflowCell != ""):
		return fieldError("spare", "%q: a cell with overflow, left out otherwise", s.OverflowCell)
	case len(s.Cells) == 0 || len(s.Cells) > MaxCells:
		return fieldError("cells", "%d of them, 1 to %d allowed", len(s.Cells), MaxCells)
	case len(s.Tenants) == 0 || len(s.Tenants) > MaxTenants:
		return fieldError("tenants", "%d of them, 1 to %d allowed", len(s.Tenants), MaxTenants)
	case len(s.TenantKeys) == 0 || len(s.TenantKeys) > MaxTenantKeys:
		return fieldError("keys", "%d of them, 1 to %d allowed", len(s.TenantKeys), MaxTenantKeys)
	}
	return nil
}

// cellNames lists the cells for error texts.
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
			return fieldError(path+".name", "%q is named twice", cell.Name)
		case !(cell.Share > 0 && cell.Share <= 1): // NaN too
			return fieldError(path+".share", "%v is not above 0 and at most 1", cell.Share)
		}
		names[cell.Name] = true
		shares += cell.Share
	}
	if shares > 1+1e-9 {
		return fieldError("cells", "shares come to %.4g, 1 at most", shares)
	}
	for i, cell := range s.Cells {
		fallback := cell.FallbackCell
		if fallback != "" && (!names[fallback] || fallback == cell.Name) {
			path := fmt.Sprintf("cells[%d].spill", i)
			return fieldError(path, "%q is no other cell; cells are %s", fallback, s.cellNames())
		}
	}
	if s.OverflowCell != "" && !names[s.OverflowCell] {
		return fieldError("spare", "%q is no cell; cells are %s", s.OverflowCell, s.cellNames())
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
			return fieldError(path+".name", "%q is named twice", tenant.Name)
		case !cells[tenant.Cell]:
			return fieldError(path+".cell", "%q is no cell; cells are %s", tenant.Cell, s.cellNames())
		}
		names[tenant.Name] = true
		for site, cell := range tenant.CellBySite {
			if !cells[cell] || site == "" {
				return fieldError(path+".depots["+site+"]", "%q is no cell; cells are %s", cell, s.cellNames())
			}
		}
		if !(tenant.Weight >= 0) || math.IsInf(tenant.Weight, 1) { // NaN too
			return fieldError(path+".weight", "%v is not above 0", tenant.Weight)
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
		if !(field.value >= 0 && field.value < maxBudget) { // NaN too
			return fieldError("budget."+field.name, "%v is not 0 to 1e12", field.value)
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
		return fieldError(path, "the last line names the tenant of all else, and nothing more")
	}
	return validateReachable(s.TenantKeys)
}

func (k *TenantKey) validate(path string, tenants map[string]bool) error {
	if !tenants[k.Tenant] {
		return fieldError(path+".tenant", "%q is no tenant", k.Tenant)
	}
	if r := k.PurgeGroupRange; r != nil && (len(r) != 2 || r[0] < 0 || r[1] >= purgeGroupCount || r[0] > r[1]) {
		return fieldError(path+".families", "%v is not first and last, 0 to %d", r, purgeGroupCount-1)
	}
	if len(k.ObjectPrefix) > maxPrefixDigits || strings.Trim(k.ObjectPrefix, "0123456789abcdef") != "" {
		return fieldError(path+".prefix", "%q is not up to %d hex digits", k.ObjectPrefix, maxPrefixDigits)
	}
	return nil
}

// matchesAll reports whether a key matches every request.
func (k *TenantKey) matchesAll() bool {
	return k.PurgeGroupRange == nil && k.Class == "" && k.ObjectPrefix == "" && k.DeclaredTenant == ""
}

// keyFields are the fields of a tenant key other than its purge groups.
type keyFields struct{ class, prefix, declaredTenant string }

// validateReachable finds a key that earlier keys leave no request: those whose other fields include its own, and whose
// purge groups together include all of its purge groups.
func validateReachable(keys []TenantKey) error {
	matched := map[keyFields]groupSet{} // purge groups that earlier keys with these fields match
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

// groupSet has a bit for each purge group.
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

// without removes the groups that are matched by keys whose other fields include those of a key.
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
