// Package migration moves tenants from one cell to another while they are served.
//
// The share of a tenant's objects that a router sends to the new cell lies between MinShare and MaxShare. Both depend
// only on the migration document and the clock, so the shares of different routers differ little although routers
// exchange no state. The exact share depends on what the router observes of both cells (Pacer) and on the spare
// capacity of the new cell (CapacityLimiter).
//
// Guarantee: for two routers with the same document and with clocks that differ by d, a tenant's share differs by at
// most MaxShare-MinShare plus d times the slope of MinShare or MaxShare, whichever is steeper. It does not differ at
// all once Settling has begun for both. If MaxShift equals MinShift, the difference is at most d/MinShift, or with hot
// objects d times the greater of 1/MinShift and hotPositionRange/WarmUp.
//
// The guarantee is for the shares after a step of both pacers, and only while both shares are within MinShare and
// MaxShare. A share may be out of bounds after a new version of the document, and while MinShare rises faster than
// MaxRiseRate, as it does in a short warm-up. It then moves to within its bounds, rising at up to MaxRiseRate or
// falling at up to MaxFallRate. There are two exceptions:
//   - With Unbounded and in a rollback, the share falls at up to the greater of MaxRiseRate and MaxFallRate.
//   - After more than idleAfter without a step, the next step clamps the share to its bounds at once.
//
// The package does no I/O and does not read the clock. Times are Unix milliseconds and durations are milliseconds,
// except in capacity.go and capacity_limiter.go, which use microseconds as package routing does.
package migration

// Document lists all migrations. A later version replaces the earlier one completely.
type Document struct {
	Version    int64       `json:"version" jsonschema:"minimum=0" jsonschema_description:"version of this document; must be greater than that of the document that it replaces"`
	Migrations []Migration `json:"moves"`
}

// Migration moves one tenant from one cell to another, at one site or at all sites. The tenant's objects move in the
// order of Position, while the share that belongs to the new cell rises from 0 to 1.
//
// Times are Unix milliseconds, durations are milliseconds.
type Migration struct {
	Tenant string `json:"tenant"`
	// Site is the site at which the tenant moves, or AllSites.
	Site string `json:"depot" jsonschema_description:"name of the site; * for all sites"`
	// From and To are the names of the cells.
	From  string  `json:"from"`
	To    string  `json:"to"`
	Start float64 `json:"start" jsonschema_description:"Unix milliseconds"`
	// WarmUp is the time after Start in which only HotObjects move to the new cell, one after the other.
	WarmUp float64 `json:"warm,omitempty" jsonschema_description:"ms after start in which only the hot objects move to the new cell, one after the other"`
	// MinShift and MaxShift are the shortest and the longest time after WarmUp in which the other objects move. A
	// MaxShift of 0 means MinShift: a fixed ramp.
	MinShift float64 `json:"shift" jsonschema_description:"ms after the warm-up in which the other objects move, at least"`
	MaxShift float64 `json:"slow,omitempty" jsonschema_description:"ms after the warm-up in which the other objects move, at most; same as shift if left out, which is a fixed ramp"`
	// Settle is the time after MaxShift in which the old cell still serves requests that the new cell lacks capacity
	// for.
	Settle float64 `json:"settle,omitempty" jsonschema_description:"ms after all objects have moved in which the old cell still serves requests that the new cell lacks capacity for"`
	// HotObjects are the objects that move first, hottest first, by their hex names.
	HotObjects []string `json:"hot,omitempty" jsonschema_description:"objects that move first, hottest first, by their hex names"`
	// PausedAt is the time at which MinShare and MaxShare stop changing; 0: not paused. A router's share can still move
	// between them, if MaxShift is above MinShift.
	PausedAt float64 `json:"heldAt,omitempty" jsonschema_description:"Unix milliseconds at which the minimum and the maximum share stop changing; 0: not paused"`
	// RollbackAt is the time from which on MinShare and MaxShare fall by 1/MinShift per ms; 0: not rolled back.
	RollbackAt float64 `json:"backAt,omitempty" jsonschema_description:"Unix milliseconds from which on all objects move back, within the time of shift; 0: not rolled back"`
	// Unbounded means that load and late responses are ignored: CapacityLimiter is not applied, and the share follows
	// MaxShare, its upper bound. Unbounded is meant for emergencies and as the baseline of experiments.
	Unbounded bool `json:"unbounded,omitempty" jsonschema_description:"move at the maximum speed, without regard to the capacity of the new cell and to late answers"`
}

// AllSites is the Site of a migration that applies to every site.
const AllSites = "*"

// isSameAs reports whether both migrations have the same tenant, site and cells. Times are not compared.
func (m *Migration) isSameAs(other *Migration) bool {
	return m.Tenant == other.Tenant && m.Site == other.Site && m.From == other.From && m.To == other.To
}
