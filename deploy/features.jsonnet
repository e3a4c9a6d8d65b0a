// What is new since the platform's configuration, all of it off. Start a router with
//
//     spantack --features deploy/features.jsonnet
//
// and check the file first with `spanctl check deploy/features.jsonnet`. A router takes a changed file in on SIGHUP; one
// that can't be used is logged, and the settings before it stay in force. `spanctl check --schema` prints all fields.
{
  // Tenants confined to cells, subsets of a depot's caches: docs/cells.md.
  cells: {
    enabled: false,
    // Greater with every change of this section.
    version: 1,
    // fixed: a tenant uses all caches of its cell. Others: shuffle, nested (both with width), overflow (with spare).
    scheme: 'fixed',
    // Shares are parts of each depot's caches and of all that cells share; they come to 1 at most. A cell without a live
    // cache is served by the one named in spill, or refused.
    cells: [
      { name: 'north', share: 0.5, spill: 'south' },
      { name: 'south', share: 0.5 },
    ],
    tenants: [
      { name: 'vending', cell: 'north' },
      { name: 'tablets', cell: 'south' },
    ],
    // The first line that matches tells the tenant. Fields: families (first and last group of objects), class, prefix (of
    // the object, in hex), named (by the front). The last line has none of them.
    keys: [
      { families: [0, 99], tenant: 'vending' },
      { tenant: 'tablets' },
    ],
    // What all routers of a depot may take together, of area caches and head office what all routers of all depots may.
    // 0: no limit; fillKbPerS 0: as the settings tell of the depot's link.
    budget: {
      requestsPerS: 0,
      fillKbPerS: 0,
      parentKbPerS: 0,
      originKbPerS: 0,
      writesPerS: 0,
      open: 0,
    },
  },
}
