// What is new since the platform's configuration, all of it off. Start a router with
//
//     spantack --features deploy/features.jsonnet
//
// and check the file first with `spanctl check deploy/features.jsonnet`. A router applies a changed file on SIGHUP; one
// that can't be used is logged, and the file before it stays in force. `spanctl check --schema` prints all fields.
{
  // Tenants confined to cells, subsets of a site's caches: docs/cells.md.
  cells: {
    enabled: false,
    // Greater with every change of this section.
    version: 1,
    // fixed: a tenant uses all caches of its cell. Others: shuffle, nested (both with width), overflow (with spare).
    scheme: 'fixed',
    // Shares are parts of each site's caches and of all that cells share; they come to 1 at most. A cell without a live
    // cache falls back to the one named in spill, or its requests are rejected.
    cells: [
      { name: 'north', share: 0.5, spill: 'south' },
      { name: 'south', share: 0.5 },
    ],
    tenants: [
      { name: 'vending', cell: 'north' },
      { name: 'tablets', cell: 'south' },
    ],
    // The first key that matches names the tenant. Fields: families (first and last purge group), class, prefix (of
    // the object, in hex), named (the tenant that the front declares). The last key has none of them.
    keys: [
      { families: [0, 99], tenant: 'vending' },
      { tenant: 'tablets' },
    ],
    // Rates and limits that cells share; each cell has its share of them. 0: no limit.
    budget: {
      requestsPerS: 0,  // of all routers of a site
      fillKbPerS: 0,  // over the link into a site; 0: as the settings say
      parentKbPerS: 0,  // from all parents to all sites
      originKbPerS: 0,  // from the origin to all sites
      originOpen: 0,  // fills that may reach the origin, open at once, all routers of all sites
      writesPerS: 0,  // requests of uncacheable classes, all routers of a site
      open: 0,  // requests open at one router
      giveMs: 250,  // within this time a lent share is free again for its owner
    },
  },
  // Migrations of tenants from cell to cell: docs/migration.md. Times are Unix milliseconds, durations milliseconds. `spanctl cells migrate` and
  // the commands beside it write a document; import it here as `moves: import 'moves.json'`.
  moves: {
    enabled: false,
    version: 1,  // greater with every change of this section
    moves: [
      {
        tenant: 'vending',
        depot: '*',  // at all sites
        from: 'north',
        to: 'south',
        start: 1764576000000,
        warm: 0,  // the objects named in hot go first
        shift: 30000,  // the others follow, at the soonest
        slow: 150000,  // and at the latest: a deploy, or a cell that answers late, holds a router back up to here
        settle: 60000,  // the source cell still takes what the target has no capacity for
      },
    ],
  },
  // Rollout of a release into cells ring by ring, each judged: docs/rollout.md. Requests for its objects are rejected in cells that have not got it.
  stage: {
    enabled: false,
    version: 1,  // greater with every change of this section
    name: 'prices-2026-12',
    families: [40, 41],  // and, or instead, prefix: that of its objects, in hex
    since: 1764576000000,
    rings: [
      { cells: ['north'], open: 1764576060000, 'for': 600000 },  // opens at the soonest then, to be judged in so many ms
    ],
    unsure: 'wait',  // or go: what becomes of a ring that can't be judged in its time
    alpha: 0.01,  // probability at most that a ring without harm is stopped
    beta: 0.05,  // and that harm of least or more is judged healthy
    least: 2,  // smallest harm that matters, as a factor on the odds of a late, failed or badly filled answer
    margin: 1.1,  // a factor that is no harm
  },
  // Who fills from whom: docs/hierarchy.md. Left out or off, fills go to all parents alike, by hash.
  shape: {
    enabled: false,
    version: 1,  // greater with every change of this section
    head: { name: 'head-office', kbPerS: 60000 },  // what it sends for all fills together
    areas: [
      { name: 'west', servers: ['area-w'], miss: 0.35 },  // prefixes of its servers' names; miss ratio
      { name: 'east', servers: ['area-e'] },
    ],
    depots: [{ name: 'depot-1', kbPerS: 9000 }],  // as the endpoint list names its zone; its fills at peak
    ways: [
      { from: 'depot-1', to: 'west', kbPerS: 12000, ms: 9 },  // capacity; round trip
      { from: 'depot-1', to: 'east', kbPerS: 4000, ms: 30 },
      { from: 'depot-1', to: 'head-office', kbPerS: 1000, ms: 45 },
      { from: 'west', to: 'head-office', kbPerS: 60000, ms: 20 },
      { from: 'east', to: 'head-office', kbPerS: 60000, ms: 20 },
    ],
  },
  // A limit on fills that reach the origin, of all routers together: docs/hierarchy.md. It works with a topology and without.
  shield: {
    enabled: false,
    law: 'gradient',  // or aimd, delay, fixed: how a router's limit follows the times of its own fills
    most: 40,  // fills at the origin at once that it answers in its usual time
    reserve: 0.1,  // part of them left to uncacheable requests
    burst: 3,  // shares that a router may borrow while fills take no longer than usual
    usualMs: 90,  // to the first byte of a fill through the origin, when it is not overloaded
    lingerMs: 3000,  // how long a parent may go on with a fetch that nobody waits for
  },
  // A limit on fills that ask the origin which all routers keep together, by datagrams: docs/fleet.md. It needs peers in the settings.
  fleet: {
    enabled: false,
    asks: 40,  // of all routers at once, whatever parts the fleet falls into
    floor: 0.25,  // part of them split evenly among all routers of the settings, up or not; the rest is leased out
    verdicts: false,  // keep off parents that two sites find failing
    // For a fleet of many hundreds: groups of routers lease the limit from one another, so that none receives requests from all. Left out: one router holds it for all.
    tree: {
      routers: 12000,  // for now the number of peers: docs/fleet.md; each costs its floor, there or not
      groups: [16, 512],  // ranks in a group, smallest first: as many as a site has, and a region
      electors: [0, 2200, 4400, 6600, 8800],  // ranks of which more than half elect the holder of the fleet; three or five, in different regions
    },
  },
}
