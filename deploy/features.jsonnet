// Example of a features file, with all features disabled. These features are not part of the platform's configuration.
// Start a router with
//
//     spantack --features deploy/features.jsonnet
//
// and check the file first with `spanctl check deploy/features.jsonnet`. A router applies a changed file on SIGHUP. If
// the changed file is invalid, the router logs the error and keeps the features of the previous file.
// `spanctl check --schema` prints all fields.
{
  // Confines tenants to cells, which are subsets of a site's caches: docs/cells.md.
  cells: {
    enabled: false,
    // Increase it with every change of this section. `spanctl cells diff` reports a version that is not higher. A
    // router does not check it.
    version: 1,
    // fixed: a tenant uses all caches of its cell. Other schemes: shuffle and nested (both with the field width, the
    // number of caches of a tenant), and overflow (with the field spare, the cell for requests for which other cells
    // have no capacity).
    scheme: 'fixed',
    // share: fraction of each site's caches and of the budget below for this cell. All shares add up to at most 1.
    // spill: the cell that serves requests while this one has no live cache. Without it, they are rejected.
    cells: [
      { name: 'north', share: 0.5, spill: 'south' },
      { name: 'south', share: 0.5 },
    ],
    tenants: [
      { name: 'vending', cell: 'north' },
      { name: 'tablets', cell: 'south' },
    ],
    // The first key that matches a request determines its tenant. Conditions of a key: families (first and last purge
    // group), class, prefix (of the object name, in hex), named (the tenant name declared with the request). The last
    // key has no condition.
    keys: [
      { families: [0, 99], tenant: 'vending' },
      { tenant: 'tablets' },
    ],
    // Rates and limits that are divided among cells by their shares. 0: no limit, except where noted. giveMs is a time
    // and is not divided.
    budget: {
      requestsPerS: 0,  // of all routers of a site
      fillKbPerS: 0,  // over the link into a site; 0: the capacity in the settings
      parentKbPerS: 0,  // from all parents to all sites
      originKbPerS: 0,  // from the origin to all sites
      originOpen: 0,  // concurrent fills that may reach the origin, of all routers of all sites
      writesPerS: 0,  // requests of uncacheable classes, of all routers of a site
      open: 0,  // concurrent requests at one router
      giveMs: 250,  // ms within which capacity lent to other cells is available to its cell again; 0: 250
    },
  },
  // Migrations of tenants between cells: docs/migration.md. Times are Unix milliseconds, durations milliseconds.
  // `spanctl cells migrate` and related commands write a document. Import it here as `moves: import 'moves.json'`.
  moves: {
    enabled: false,
    version: 1,  // increase it with every change of this section
    moves: [
      {
        tenant: 'vending',
        depot: '*',  // at all sites
        from: 'north',
        to: 'south',
        start: 1764576000000,
        warm: 0,  // duration of the warm-up, in which only the objects listed in the field hot (not shown) migrate
        shift: 30000,  // minimum duration of the migration of all other objects
        // Maximum duration of the migration of all other objects. The migration slows down while a cell is being
        // deployed or responds slowly.
        slow: 150000,
        settle: 60000,  // time for which the source cell then serves requests for which the target has no capacity
      },
    ],
  },
  // Rollout of a release to cells, ring by ring, with a verdict on each ring: docs/rollout.md. Requests for objects of
  // the release are rejected in cells that do not have it, unless the field renews (not shown) is set.
  stage: {
    enabled: false,
    version: 1,  // increase it with every change of this section
    name: 'prices-2026-12',
    // First and last purge group of its objects. The field prefix (of object names, in hex) may be used with it or in
    // its place.
    families: [40, 41],
    since: 1764576000000,  // time from which on the origin has the release, Unix ms; no ring opens before
    rings: [
      // open: earliest time at which the ring opens. for: time within which its verdict must be reached, ms.
      { cells: ['north'], open: 1764576060000, 'for': 600000 },
    ],
    unsure: 'wait',  // what to do if a ring has no verdict in time: wait, or go (proceed)
    alpha: 0.01,  // maximum probability that a ring is stopped although the release is healthy
    // Maximum probability that a release is judged healthy although its odds ratio has at least the value of the field
    // least.
    beta: 0.05,
    least: 2,  // smallest odds ratio (of late responses, failures or fill errors) that the test must detect
    margin: 1.1,  // greatest odds ratio that is tolerated
  },
  // Topology that fills follow: docs/hierarchy.md. If it is left out or disabled, fills are spread over all parents by
  // hash.
  shape: {
    enabled: false,
    version: 1,  // increase it with every change of this section
    head: { name: 'head-office', kbPerS: 60000 },  // the origin. kbPerS: its capacity for all fills
    areas: [
      // A parent group. servers: prefixes of the names of its servers. miss: its miss ratio.
      { name: 'west', servers: ['area-w'], miss: 0.35 },
      { name: 'east', servers: ['area-e'] },
    ],
    depots: [{ name: 'depot-1', kbPerS: 9000 }],  // a site, named as its zone. kbPerS: its peak fill rate
    ways: [
      { from: 'depot-1', to: 'west', kbPerS: 12000, ms: 9 },  // a link. kbPerS: capacity. ms: round-trip time
      { from: 'depot-1', to: 'east', kbPerS: 4000, ms: 30 },
      { from: 'depot-1', to: 'head-office', kbPerS: 1000, ms: 45 },
      { from: 'west', to: 'head-office', kbPerS: 60000, ms: 20 },
      { from: 'east', to: 'head-office', kbPerS: 60000, ms: 20 },
    ],
  },
  // Limit on fills that reach the origin, of which each router enforces its share alone: docs/hierarchy.md. It does not
  // require a topology.
  shield: {
    enabled: false,
    // Algorithm that adapts a router's limit to the durations of its fills: gradient, aimd, or delay. fixed: the limit
    // is always the router's share.
    law: 'gradient',
    most: 40,  // concurrent fills of all routers together up to which the origin responds in its usual time
    reserve: 0.1,  // fraction of each router's limit reserved for uncacheable requests
    // A router may use up to this many times its share (most divided by the number of routers) while its fills take no
    // longer than usual.
    burst: 3,
    usualMs: 90,  // time to the first byte of a fill through the origin when it is not overloaded
    lingerMs: 3000,  // maximum time for which a parent continues a fetch without a waiting request
  },
  // Limit on fills that reach the origin, which all routers enforce together by exchanging datagrams: docs/fleet.md. It
  // requires peers in the configuration file. The settings must name parent caches and state that every response
  // reports its cache status.
  fleet: {
    enabled: false,
    asks: 40,  // maximum number of concurrent fills of all routers, also while the fleet is partitioned
    floor: 0.25,  // fraction split evenly among all routers of the fleet, running or not; the rest is leased out
    verdicts: false,  // whether routers avoid parents that two sites report as failing
    // For a fleet of many hundreds of routers: groups lease the limit from one another, so that no router receives
    // requests from all others. If tree is left out, one router holds the limit for all.
    tree: {
      // Must be the number of peers: docs/fleet.md. The floor of each router is reserved even if it is not running.
      routers: 12000,
      groups: [16, 512],  // ranks in a group, smallest first: 16 in the group of a site, 512 in that of a region
      // Ranks of the electors, a majority of which elects the holder of the fleet's limit: three or five, in different
      // regions.
      electors: [0, 2200, 4400, 6600, 8800],
    },
  },
}
