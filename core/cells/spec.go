// Package cells confines tenants to cells, subsets of a depot's caches, so that what one tenant does harms only its own
// cell. It decides which tenant a request belongs to, which caches that tenant may use in this depot, and what part
// of the things that all cells share its cell may take.
//
// The guarantee: a request is sent to no cache outside its tenant's cell, but for the neighbour that the cell names for
// the time when it has no live cache. A cell finds its share of what is shared free within Give of asking for it
// again, whatever others had borrowed, plus the time that answers under way take to end.
//
// The package does no I/O and reads no clock: times come in as microseconds of the caller's choosing, random numbers
// from a seed. It is not safe for concurrent use.
package cells

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// The schemes by which a tenant gets its caches. docs/cells.md weighs them.
const (
	SchemeFixed    = "fixed"    // every cache in one cell; a tenant uses all of its cell
	SchemeShuffle  = "shuffle"  // Width caches for each tenant, drawn from all of the depot
	SchemeNested   = "nested"   // Width caches for each tenant, drawn from its cell
	SchemeOverflow = "overflow" // as SchemeFixed, and one cell that takes what another has no room for
)

// Bounds of a specification.
const (
	MaxCells        = 64
	MaxTenants      = 100_000
	MaxTenantKeys   = 200_000
	purgeGroupCount = 256
)

// Spec says who is confined to what. It is versioned: routers that hold different versions send a tenant's requests to
// the cells of either, and to no other.
type Spec struct {
	Version      int64       `json:"version" jsonschema:"minimum=1" jsonschema_description:"number of this assignment; a later one is greater"`
	Scheme       string      `json:"scheme" jsonschema:"enum=fixed,enum=shuffle,enum=nested,enum=overflow"`
	Width        int         `json:"width,omitempty" jsonschema_description:"caches of a tenant, with shuffle and nested"`
	OverflowCell string      `json:"spare,omitempty" jsonschema_description:"with overflow: the cell that takes what others have no room for"`
	Cells        []Cell      `json:"cells"`
	Tenants      []Tenant    `json:"tenants"`
	TenantKeys   []TenantKey `json:"keys" jsonschema_description:"first match names the tenant; the last line matches all"`
	Budget       Budget      `json:"budget"`
}

// Cell is one subset of each depot's caches. Shares of all cells come to 1 at most.
type Cell struct {
	Name         string  `json:"name"`
	Share        float64 `json:"share" jsonschema_description:"part of a depot's caches, and of all that is shared, above 0"`
	FallbackCell string  `json:"spill,omitempty" jsonschema_description:"cell that serves while this one has no live cache; none: refused"`
}

// Tenant has one cell in all depots, or another one in some.
type Tenant struct {
	Name       string            `json:"name"`
	Cell       string            `json:"cell"`
	CellBySite map[string]string `json:"depots,omitempty" jsonschema_description:"cell by depot, where it differs"`
	Weight     float64           `json:"weight,omitempty" jsonschema_description:"right to its cell against others in it; 1 if left out"`
}

// TenantKey is a line of the table that tells tenants. A field that is left out matches everything.
type TenantKey struct {
	PurgeGroupRange []int  `json:"families,omitempty" jsonschema_description:"first and last group of objects, 0 to 255"`
	Class           string `json:"class,omitempty"`
	ObjectPrefix    string `json:"prefix,omitempty" jsonschema_description:"how the object begins, in hex"`
	DeclaredTenant  string `json:"named,omitempty" jsonschema_description:"the tenant as the front names it"`
	Tenant          string `json:"tenant"`
}

// Budget is what all routers of a depot may take together of what its cells share. 0 leaves a thing unlimited.
type Budget struct {
	RequestsPerSecond    float64 `json:"requestsPerS" jsonschema_description:"requests that all routers of a depot can handle"`
	FillKBPerSecond      float64 `json:"fillKbPerS" jsonschema_description:"fills over the link into the depot; 0: what the settings tell of it"`
	ParentKBPerSecond    float64 `json:"parentKbPerS" jsonschema_description:"what all area caches can send to all depots"`
	OriginKBPerSecond    float64 `json:"originKbPerS" jsonschema_description:"what the head office can send to all depots"`
	MaxOriginFills       int     `json:"originOpen" jsonschema_description:"fills open at once that may reach the head office, all routers of all depots"`
	MaxOpenRequests      int     `json:"open" jsonschema_description:"requests open at one router"`
	UncacheablePerSecond float64 `json:"writesPerS" jsonschema_description:"requests of uncacheable classes, apart from all others"`
	ReclaimMillis        float64 `json:"giveMs" jsonschema_description:"within this a share is free again for its owner; 250 if left out"`
}

// fieldError names the field, as a path from the specification, and what is wrong with it.
func fieldError(path, format string, args ...any) error {
	return fmt.Errorf("%s: %w", path, fmt.Errorf(format, args...))
}

// Check reports the first thing that can't be used. A specification that passes can be put in force.
func (s *Spec) Check() error {
	cells := map[string]int{}
	switch {
	case s.Version < 1:
		return fieldError("version", "%d is under 1", s.Version)
	case !slices.Contains([]string{SchemeFixed, SchemeShuffle, SchemeNested, SchemeOverflow}, s.Scheme):
		return fieldError("scheme", "%q is none of fixed, shuffle, nested, overflow", s.Scheme)
	case (s.Scheme == SchemeShuffle || s.Scheme == SchemeNested) != (s.Width > 0) || s.Width < 0:
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
	sum := 0.0
	for i, c := range s.Cells {
		at := fmt.Sprintf("cells[%d]", i)
		if c.Name == "" {
			return fieldError(at+".name", "missing")
		}
		if _, twice := cells[c.Name]; twice {
			return fieldError(at+".name", "%q is named twice", c.Name)
		}
		if !(c.Share > 0 && c.Share <= 1) {
			return fieldError(at+".share", "%v is not above 0 and at most 1", c.Share)
		}
		cells[c.Name] = i
		sum += c.Share
	}
	if sum > 1+1e-9 {
		return fieldError("cells", "shares come to %.4g, 1 at most", sum)
	}
	names := make([]string, 0, len(s.Cells))
	for _, c := range s.Cells {
		names = append(names, c.Name)
	}
	known := strings.Join(names, ", ")
	for i, c := range s.Cells {
		if _, is := cells[c.FallbackCell]; c.FallbackCell != "" && (!is || c.FallbackCell == c.Name) {
			return fieldError(fmt.Sprintf("cells[%d].spill", i), "%q is no other cell; cells are %s", c.FallbackCell, known)
		}
	}
	if _, is := cells[s.OverflowCell]; s.OverflowCell != "" && !is {
		return fieldError("spare", "%q is no cell; cells are %s", s.OverflowCell, known)
	}
	tenants := map[string]bool{}
	for i, t := range s.Tenants {
		at := fmt.Sprintf("tenants[%d]", i)
		if t.Name == "" {
			return fieldError(at+".name", "missing")
		}
		if tenants[t.Name] {
			return fieldError(at+".name", "%q is named twice", t.Name)
		}
		tenants[t.Name] = true
		if _, is := cells[t.Cell]; !is {
			return fieldError(at+".cell", "%q is no cell; cells are %s", t.Cell, known)
		}
		for depot, c := range t.CellBySite {
			if _, is := cells[c]; !is || depot == "" {
				return fieldError(at+".depots["+depot+"]", "%q is no cell; cells are %s", c, known)
			}
		}
		if !(t.Weight >= 0) || math.IsInf(t.Weight, 1) {
			return fieldError(at+".weight", "%v is not above 0", t.Weight)
		}
	}
	if err := s.Budget.check(); err != nil {
		return err
	}
	return s.checkKeys(tenants)
}

func (b *Budget) check() error {
	for _, f := range []struct {
		name  string
		value float64
	}{{"requestsPerS", b.RequestsPerSecond}, {"fillKbPerS", b.FillKBPerSecond}, {"parentKbPerS", b.ParentKBPerSecond},
		{"originKbPerS", b.OriginKBPerSecond}, {"originOpen", float64(b.MaxOriginFills)}, {"open", float64(b.MaxOpenRequests)}, {"writesPerS", b.UncacheablePerSecond}, {"giveMs", b.ReclaimMillis}} {
		if !(f.value >= 0 && f.value < 1e12) {
			return fieldError("budget."+f.name, "%v is not 0 to 1e12", f.value)
		}
	}
	return nil
}

func (s *Spec) checkKeys(tenants map[string]bool) error {
	for i, k := range s.TenantKeys {
		at := fmt.Sprintf("keys[%d]", i)
		if !tenants[k.Tenant] {
			return fieldError(at+".tenant", "%q is no tenant", k.Tenant)
		}
		if f := k.PurgeGroupRange; f != nil && (len(f) != 2 || f[0] < 0 || f[1] >= purgeGroupCount || f[0] > f[1]) {
			return fieldError(at+".families", "%v is not first and last, 0 to %d", f, purgeGroupCount-1)
		}
		if len(k.ObjectPrefix) > 16 || strings.Trim(k.ObjectPrefix, "0123456789abcdef") != "" {
			return fieldError(at+".prefix", "%q is not up to 16 hex digits", k.ObjectPrefix)
		}
	}
	last := s.TenantKeys[len(s.TenantKeys)-1]
	if last.PurgeGroupRange != nil || last.Class != "" || last.ObjectPrefix != "" || last.DeclaredTenant != "" {
		return fieldError(fmt.Sprintf("keys[%d]", len(s.TenantKeys)-1), "the last line names the tenant of all else, and nothing more")
	}
	return checkReachable(s.TenantKeys)
}

// errUnreachableKey is wrapped by the error for a line that can't match.
var errUnreachableKey = errors.New("no request gets here: lines above match all of it")

// checkReachable finds a line that earlier ones leave nothing: those whose other fields take in its own, and whose
// families come to all of its families together.
func checkReachable(keys []TenantKey) error {
	type rest struct{ class, prefix, named string }
	seen := map[rest]groupSet{} // by the fields besides: the families that lines above match
	for i, k := range keys {
		own := groupsBetween(0, purgeGroupCount-1)
		if k.PurgeGroupRange != nil {
			own = groupsBetween(k.PurgeGroupRange[0], k.PurgeGroupRange[1])
		}
		left := own
		for n := 0; n <= len(k.ObjectPrefix); n++ {
			for _, class := range [...]string{"", k.Class} {
				for _, named := range [...]string{"", k.DeclaredTenant} {
					taken := seen[rest{class, k.ObjectPrefix[:n], named}]
					for w := range left {
						left[w] &^= taken[w]
					}
				}
			}
		}
		if left == (groupSet{}) {
			return fmt.Errorf("keys[%d]: %w", i, errUnreachableKey)
		}
		at := rest{k.Class, k.ObjectPrefix, k.DeclaredTenant}
		all := seen[at]
		for w := range all {
			all[w] |= own[w]
		}
		seen[at] = all
	}
	return nil
}

// groupSet has a bit for each family.
type groupSet [purgeGroupCount / 64]uint64

func groupsBetween(first, last int) (set groupSet) {
	for f := first; f <= last; f++ {
		set[f/64] |= 1 << (f % 64)
	}
	return set
}
