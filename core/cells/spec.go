package cells

// Scheme is how a tenant gets its caches. docs/cells.md compares the schemes.
type Scheme string

// The schemes.
const (
	SchemeFixed    Scheme = "fixed"    // every cache in one cell; a tenant uses all of its cell
	SchemeShuffle  Scheme = "shuffle"  // Width caches for each tenant, drawn from all of the site
	SchemeNested   Scheme = "nested"   // Width caches for each tenant, drawn from its cell
	SchemeOverflow Scheme = "overflow" // as SchemeFixed, and one cell takes what others have no capacity for
)

// Bounds of a specification.
const (
	MaxCells        = 64
	MaxTenants      = 100_000
	MaxTenantKeys   = 200_000
	purgeGroupCount = 256 // objects belong to purge groups 0 to 255
	maxPrefixDigits = 16
	maxBudget       = 1e12
)

// Spec assigns tenants to cells, and divides what a site has among the cells. It is versioned: routers that hold
// different versions send a tenant's requests to the cells of either version, and to no other.
type Spec struct {
	Version      int64       `json:"version" jsonschema:"minimum=1" jsonschema_description:"number of this assignment; a later one is greater"`
	Scheme       Scheme      `json:"scheme" jsonschema:"enum=fixed,enum=shuffle,enum=nested,enum=overflow"`
	Width        int         `json:"width,omitempty" jsonschema_description:"caches of a tenant, with shuffle and nested"`
	OverflowCell string      `json:"spare,omitempty" jsonschema_description:"with overflow: the cell that takes what others have no room for"`
	Cells        []Cell      `json:"cells"`
	Tenants      []Tenant    `json:"tenants"`
	TenantKeys   []TenantKey `json:"keys" jsonschema_description:"first match names the tenant; the last line matches all"`
	Budget       Budget      `json:"budget"`
}

// Cell is one subset of each site's edge caches. The shares of all cells add up to 1 at most.
type Cell struct {
	Name         string  `json:"name"`
	Share        float64 `json:"share" jsonschema_description:"part of a depot's caches, and of all that is shared, above 0"`
	FallbackCell string  `json:"spill,omitempty" jsonschema_description:"cell that serves while this one has no live cache; none: refused"`
}

// Tenant has one cell at all sites, or another one at some. Its weight counts against those of the cell's other
// tenants.
type Tenant struct {
	Name       string            `json:"name"`
	Cell       string            `json:"cell"`
	CellBySite map[string]string `json:"depots,omitempty" jsonschema_description:"cell by depot, where it differs"`
	Weight     float64           `json:"weight,omitempty" jsonschema_description:"right to its cell against others in it; 1 if left out"`
}

// TenantKey is one entry of the list that maps requests to tenants. A field that is left out matches everything.
type TenantKey struct {
	PurgeGroupRange []int  `json:"families,omitempty" jsonschema_description:"first and last group of objects, 0 to 255"`
	Class           string `json:"class,omitempty"`
	ObjectPrefix    string `json:"prefix,omitempty" jsonschema_description:"how the object begins, in hex"`
	DeclaredTenant  string `json:"named,omitempty" jsonschema_description:"the tenant as the front names it"`
	Tenant          string `json:"tenant"`
}

// Budget is what all routers of a site (of all sites, where a field says so) may use together. 0 sets no limit.
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
