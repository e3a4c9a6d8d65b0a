package cells

// Scheme is how caches are assigned to tenants. docs/cells.md compares the schemes.
type Scheme string

// The values of Scheme.
const (
	SchemeFixed    Scheme = "fixed"    // a tenant uses all caches of its cell
	SchemeShuffle  Scheme = "shuffle"  // a tenant uses Width caches, selected from all caches of the site
	SchemeNested   Scheme = "nested"   // a tenant uses Width caches, selected from its cell
	SchemeOverflow Scheme = "overflow" // as SchemeFixed; OverflowCell serves requests that exceed other cells' capacity
)

// Limits of a specification.
const (
	MaxCells        = 64
	MaxTenants      = 100_000
	MaxTenantKeys   = 200_000
	purgeGroupCount = 256 // purge groups are numbered 0 to 255
	maxPrefixDigits = 16
	maxBudget       = 1e12
)

// Spec is a specification: it assigns tenants to cells, and divides the resources of a site among the cells. It is
// versioned. While routers have different versions, each router sends a tenant's requests only to the tenant's cell in
// its own version.
type Spec struct {
	Version      int64       `json:"version" jsonschema:"minimum=1" jsonschema_description:"version of the assignment; each new one must be greater"`
	Scheme       Scheme      `json:"scheme" jsonschema:"enum=fixed,enum=shuffle,enum=nested,enum=overflow"`
	Width        int         `json:"width,omitempty" jsonschema_description:"number of caches of each tenant, only with schemes shuffle and nested"`
	OverflowCell string      `json:"spare,omitempty" jsonschema_description:"cell that serves requests for which other cells have no capacity, only with scheme overflow"`
	Cells        []Cell      `json:"cells"`
	Tenants      []Tenant    `json:"tenants"`
	TenantKeys   []TenantKey `json:"keys" jsonschema_description:"the first key that matches a request determines its tenant; the last key must match all requests"`
	Budget       Budget      `json:"budget"`
}

// Cell is a subset of the edge caches of each site. The shares of all cells add up to at most 1.
type Cell struct {
	Name         string  `json:"name"`
	Share        float64 `json:"share" jsonschema_description:"fraction of each site's caches and of its shared resources, above 0"`
	FallbackCell string  `json:"spill,omitempty" jsonschema_description:"fallback cell, used while this cell has no healthy cache; if left out, requests are rejected then"`
}

// Tenant is a tenant and its cell, which may differ by site. Its fair share of the cell is in proportion to its weight.
type Tenant struct {
	Name       string            `json:"name"`
	Cell       string            `json:"cell"`
	CellBySite map[string]string `json:"depots,omitempty" jsonschema_description:"cell by site (depot), for sites where it differs"`
	Weight     float64           `json:"weight,omitempty" jsonschema_description:"weight for the fair share among the cell's tenants; 1 if left out"`
}

// TenantKey is an entry of the list that maps requests to tenants. Each field that is set must match. An empty field
// matches every request.
type TenantKey struct {
	PurgeGroupRange []int  `json:"families,omitempty" jsonschema_description:"first and last purge group of objects, 0 to 255"`
	Class           string `json:"class,omitempty"`
	ObjectPrefix    string `json:"prefix,omitempty" jsonschema_description:"hexadecimal prefix of the object name"`
	DeclaredTenant  string `json:"named,omitempty" jsonschema_description:"tenant name that the request declares"`
	Tenant          string `json:"tenant"`
}

// Budget limits the use of resources. Each field's description states whether the limit is for one router, for all
// routers of a site, or for all sites. 0 means no limit, except for FillKBPerSecond and ReclaimMillis.
type Budget struct {
	RequestsPerSecond    float64 `json:"requestsPerS" jsonschema_description:"requests per second of all routers of a site"`
	FillKBPerSecond      float64 `json:"fillKbPerS" jsonschema_description:"fills over the link into a site, KB/s; 0: capacity of the link in the settings"`
	ParentKBPerSecond    float64 `json:"parentKbPerS" jsonschema_description:"fills that all parents send to all sites, KB/s"`
	OriginKBPerSecond    float64 `json:"originKbPerS" jsonschema_description:"fills that the origin sends to all sites, KB/s"`
	MaxOriginFills       int     `json:"originOpen" jsonschema_description:"fills in flight that may reach the origin, of all routers of all sites"`
	MaxOpenRequests      int     `json:"open" jsonschema_description:"open requests at each router"`
	UncacheablePerSecond float64 `json:"writesPerS" jsonschema_description:"requests per second of uncacheable classes, which do not count in requestsPerS"`
	ReclaimMillis        float64 `json:"giveMs" jsonschema_description:"reclaim time in ms: a cell gets its share of each rate back from borrowers within it; 250 if left out"`
}
