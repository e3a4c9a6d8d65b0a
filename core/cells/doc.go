// Package cells decides which requests are admitted and which caches they may use. It assigns each tenant of a site to
// a cell, a subset of the site's edge caches, so that a tenant can overload only its own cell. Shuffle sharding is one
// of the supported schemes. Admission is the entry point. The package implements
//
//   - the mapping of requests to tenants, by tenant keys;
//   - each cell's share of common resources: requests, the link, parents, the origin, open requests;
//   - migrations of tenants between cells, and the rollout of a release by cells;
//   - the choice of the parent group for fills, by the topology;
//   - the limit on fills that may reach the origin.
//
// Guarantee on caches: a request is sent only to caches of its tenant's cell, or with scheme shuffle to the caches
// selected for the tenant from the whole site. Other caches are used only in these cases:
//
//   - the fallback cell, while the tenant's cell has no healthy cache;
//   - the overflow cell, with the overflow scheme;
//   - both cells of a migration, while the tenant migrates.
//
// Guarantee on rates: if a cell did not use its share of a shared rate limit and then needs it, it gets the whole share
// back within the reclaim time plus the time until responses in progress end. This holds however much other cells have
// borrowed.
//
// The package does no I/O and reads no clock: callers pass times in microseconds since an epoch of their choice, and
// random numbers come from a seed. An Admission is not safe for concurrent use. An Assignment is safe for concurrent
// use, because it is immutable.
package cells
