// Package migration moves tenants from one cell to another while they are served.
//
// How far a migration may be at a moment follows from its document and the clock alone, so routers that exchange
// nothing stay together: the share of a tenant's objects that a router sends to the new cell lies between MinShare
// and MaxShare. Where between the two it is follows from what the router observes of both cells (Pacer) and from the
// spare capacity of the new cell (CapacityLimiter).
//
// Guarantee: two routers that hold the same document and whose clocks differ by d differ in a tenant's share by at
// most MaxShare-MinShare plus d times the greatest slope of either, and not at all once Settling has begun for both.
// With MaxShift equal to MinShift that is d/MinShift alone. Between two versions of a document a router goes from its
// share to where the later version allows it at no more than MaxRiseRate and MaxFallRate.
//
// The package does no I/O and reads no clock. Times are Unix milliseconds and spans milliseconds, but for capacity.go
// and capacity_limiter.go, which count microseconds like package routing.
package migration

// Document holds all migrations. A later version replaces an earlier one whole.
type Document struct {
	Version    int64       `json:"version" jsonschema:"minimum=0" jsonschema_description:"number of this document; a later one is greater"`
	Migrations []Migration `json:"moves"`
}

// Migration takes one tenant from one cell to another, at one site or at all. Its objects are ordered by Position; the
// share of them that belongs to the new cell rises from 0 to 1.
//
// Times are Unix milliseconds, spans milliseconds.
type Migration struct {
	Tenant string `json:"tenant"`
	// Site is where the tenant moves; AllSites for everywhere.
	Site string `json:"depot" jsonschema_description:"the depot; * for all"`
	// From and To are names of cells.
	From  string  `json:"from"`
	To    string  `json:"to"`
	Start float64 `json:"start" jsonschema_description:"Unix milliseconds"`
	// WarmUp is the span after Start in which HotObjects alone go to the new cell, one after the other.
	WarmUp float64 `json:"warm,omitempty" jsonschema_description:"ms in which the hottest objects alone go to the new cell, one after the other"`
	// MinShift and MaxShift are the spans after WarmUp in which the other objects follow, at the soonest and at the
	// latest. MaxShift 0 stands for MinShift: a fixed ramp.
	MinShift float64 `json:"shift" jsonschema_description:"ms in which the others follow, at the soonest"`
	MaxShift float64 `json:"slow,omitempty" jsonschema_description:"the same at the latest; left out: as shift, a fixed ramp"`
	// Settle is the span after that in which the old cell still takes requests for which the new one lacks capacity.
	Settle float64 `json:"settle,omitempty" jsonschema_description:"ms after all have gone in which the old cell still takes what the new one can't bear"`
	// HotObjects go first, hottest first; names in hex.
	HotObjects []string `json:"hot,omitempty" jsonschema_description:"objects that go first, in hex, hottest first"`
	// PausedAt keeps the share from then on at what it was; 0: not paused.
	PausedAt float64 `json:"heldAt,omitempty" jsonschema_description:"the share stays what it was then; 0: not held"`
	// RollbackAt lets the share fall from then on, as fast as it may rise; 0: not rolled back.
	RollbackAt float64 `json:"backAt,omitempty" jsonschema_description:"from then on the share falls as fast as it may rise; 0: not taken back"`
	// Unbounded switches CapacityLimiter and Pacer off: the share follows MaxShare whatever the cells answer. It is for
	// emergencies, and for experiments to compare with.
	Unbounded bool `json:"unbounded,omitempty" jsonschema_description:"no bound on what the new cell is sent, and no look at how it does"`
}

// AllSites is the Site of a migration that is made at every site.
const AllSites = "*"

// isSameAs reports whether both take the same tenant between the same cells at the same site, whatever their times.
func (m *Migration) isSameAs(other *Migration) bool {
	return m.Tenant == other.Tenant && m.Site == other.Site && m.From == other.From && m.To == other.To
}
