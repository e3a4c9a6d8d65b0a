// Package cells decides which requests are admitted, and where they may go: it assigns each tenant of a site to a cell,
// a subset of the site's edge caches, so that what one tenant does harms its own cell only (shuffle sharding is one of
// the schemes). Admission is its entry point. It holds
//
//   - the tenant that a request belongs to, by its key;
//   - the cell's share of what all cells use together: requests, the link, parents, the origin, open requests;
//   - migrations of tenants between cells, and the rollout of a release by cells;
//   - the group of parents that fills go to, by the topology;
//   - the limit on fills that may reach the origin.
//
// Guarantees: a request is sent to no cache outside its tenant's cell, except to the fallback cell while the own cell
// has no healthy cache, to the overflow cell of the overflow scheme, and to the two cells of a migration. A cell gets
// its share of a common rate back within the reclaim time of asking for it, whatever others had borrowed, plus the
// time that answers under way take to end.
//
// The package does no I/O and reads no clock: times come in as microseconds of the caller's choosing, random numbers
// from a seed. An Admission is not safe for concurrent use; an Assignment is, as it does not change.
package cells
