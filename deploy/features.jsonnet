// Example of a features file, with all features disabled. These features are not part of the platform's configuration.
// Start a router with
//
//     spantack --features deploy/features.jsonnet
//
// and check the file first with `spanctl check deploy/features.jsonnet`. A router applies a changed file on SIGHUP. If
// the changed file is invalid, the router logs the error and keeps the previous file. `spanctl check --schema` prints
// all fields.
{
  // Confines tenants to cells, which are subsets of a site's caches: docs/cells.md.
  cells: {
    enabled: false,
    // To be increased with every change of this section.
    version: 1,
    // fixed: a tenant uses all caches of its cell. Other schemes: shuffle and nested (both with the field width), and
    // overflow (with the field spare).
    scheme: 'fixed',
    // share: fraction of each site's caches and of the budget below; the sum is at most 1. spill: the cell that serves
    // while this one has no live cache; if left out, requests are rejected then.
    cells: [
      { name: 'north', share: 0.5, spill: 'south' },
      { name: 'south', share: 0.5 },
    ],
    tenants: [
      { name: 'vending', cell: 'north' },
      { name: 'tablets', cell: 'south' },
    ],
    // The first key that matches a request determines its tenant. Conditions of a key: families (first and last purge
    // group), class, prefix (of the object name, in hex), named (the tenant that the front declares). The last key has
    // no condition.
    keys: [
      { families: [0, 99], tenant: 'vending' },
      { tenant: 'tablets' },
    ],
    // Rates and limits that are divided among cells by their shares. 0: no limit.
    budget: {
      requestsPerS: 0,  // of all routers of a site
      fillKbPerS: 0,  // over the link into a site; 0: the capacity in the settings
      parentKbPerS: 0,  // from all parents to all sites
      originKbPerS: 0,  // from the origin to all sites
      originOpen: 0,  // concurrent fills that may reach the origin, of all routers of all sites
      writesPerS: 0,  // requests of uncacheable classes, of all routers of a site
      open: 0,  // concurrent requests at one router
      giveMs: 250,  // time within which a cell gets back its share from cells that borrowed it, ms
    },
  },
  // Migrations of tenants between cells: docs/migration.md. Times are Unix milliseconds, durations milliseconds.
  // `spanctl cells migrate` and related commands write a document. Import it here as `moves: import 'moves.json'`.
  moves: {
    enabled: false,
    version: 1,  // to be increased with every change of this section
    moves: [
      {
        tenant: 'vending',
        depot: '*',  // at all sites
        from: 'north',
        to: 'south',
        start: 1764576000000,
        warm: 0,  // duration of the warm-up, in which only the objects listed in hot migrate
        shift: 30000,  // minimum duration of the migration of all other objects
        slow: 150000,  // maximum duration of the same: deployments and slow responses of a cell delay it up to this
        settle: 60000,  // time after that in which the source cell serves requests that exceed the target's capacity
      },
    ],
  },
  // Rollout of a release to cells, ring by ring, with a verdict on each ring: docs/rollout.md. Requests for objects of
  // the release are rejected in cells that do not have it.
  stage: {
    enabled: false,
    version: 1,  // to be increased with every change of this section
    name: 'prices-2026-12',
    families: [40, 41],  // first and last purge group of its objects; also, or instead, prefix (of objects, in hex)
    since: 1764576000000,
    rings: [
      // open: earliest time at which the ring opens. for: time within which its verdict must be reached, ms.
      { cells: ['north'], open: 1764576060000, 'for': 600000 },
    ],
    unsure: 'wait',  // action after a ring without a verdict within its time: wait, or go (proceed)
    alpha: 0.01,  // maximum probability that a ring is stopped although the release is healthy
    beta: 0.05,  // maximum probability that a release is judged healthy although its odds ratio is least or more
    least: 2,  // smallest harmful odds ratio of late, failed or badly filled responses
    margin: 1.1,  // odds ratio that still counts as harmless
  },
  // Topology that fills follow: docs/hierarchy.md. If it is left out or off, fills are spread over all parents by hash.
  shape: {
    enabled: false,
    version: 1,  // to be increased with every change of this section
    head: { name: 'head-office', kbPerS: 60000 },  // the origin; its capacity for all fills together
    areas: [
      { name: 'west', servers: ['area-w'], miss: 0.35 },  // a parent group: prefixes of its servers' names; miss ratio
      { name: 'east', servers: ['area-e'] },
    ],
    depots: [{ name: 'depot-1', kbPerS: 9000 }],  // a site, named as its zone in the endpoint list; peak fill rate
    ways: [
      { from: 'depot-1', to: 'west', kbPerS: 12000, ms: 9 },  // a link: capacity; round-trip time
      { from: 'depot-1', to: 'east', kbPerS: 4000, ms: 30 },
      { from: 'depot-1', to: 'head-office', kbPerS: 1000, ms: 45 },
      { from: 'west', to: 'head-office', kbPerS: 60000, ms: 20 },
      { from: 'east', to: 'head-office', kbPerS: 60000, ms: 20 },
    ],
  },
  // Limit on fills of all routers together that reach the origin: docs/hierarchy.md. It does not require a topology.
  shield: {
    enabled: false,
    law: 'gradient',  // algorithm that adapts a router's limit to the times of its fills; or aimd, delay, fixed
    most: 40,  // number of concurrent fills up to which the origin answers in its usual time
    reserve: 0.1,  // fraction of them reserved for uncacheable requests
    burst: 3,  // number of shares that a router may borrow while fills take no longer than usual
    usualMs: 90,  // time to the first byte of a fill through the origin when it is not overloaded
    lingerMs: 3000,  // maximum time for which a parent continues a fetch without a waiting request
  },
  // Limit on fills that reach the origin, which all routers enforce together by exchanging datagrams: docs/fleet.md. It
  // requires peers in the settings.
  fleet: {
    enabled: false,
    asks: 40,  // maximum of concurrent fills of all routers; it also holds while the fleet is partitioned
    floor: 0.25,  // fraction split evenly among all routers of the settings, running or not; the rest is leased out
    verdicts: false,  // whether routers avoid parents that fail according to two sites
    // For a fleet of many hundreds of routers: groups lease the limit from one another, so that no router receives
    // requests from all others. If tree is left out, one router holds the limit for all.
    tree: {
      // Must be the number of peers for now: docs/fleet.md. The floor of each is reserved, running or not.
      routers: 12000,
      groups: [16, 512],  // number of ranks in a group, smallest first: those of a site, and those of a region
      // Ranks of the electors, a majority of which elects the holder of the fleet's limit: three or five, in different
      // regions.
      electors: [0, 2200, 4400, 6600, 8800],
    },
  },
}
