// The limit of fleet-limits, shared by a lease tree: four groups of routers, each with a lease holder that leases from
// the lease holder of the fleet. The groups are cut off from one another. The lease holder of a group is killed and
// restarted without state, and later the lease holder of the fleet.
local fair = { loss: 0.05, double: 0.1, delayMs: 1, jitterMs: 20 };
{
  title: 'A limit at the origin by a lease tree',
  asks: 3,  // origin fills in flight per router
  // Fraction of the limit: one fill per router, a whole number, so that the sum of the floors is an exact bound.
  floor: 1 / 3,
  group: 4,
  delayMs: 70,  // delay of an edge cache; parents and the origin take three times as long
  everyMs: 2,  // interval between two requests, over all routers; chosen for 16 routers, reduce it for more
  conditions: fair,
  steps: [
    { name: 'whole', forS: 30, regains: true },
    // No group has a majority of the electors, so only the floors remain once the votes (7 s) and the leases based on
    // them (3 s and 1.5 s) have expired.
    { name: 'groups cut off', conditions: fair { blocks: 4 }, forS: 15, settleS: 13, floors: true, fills: true },
    { name: 'healed', conditions: fair, forS: 40, regains: true },
    { name: 'holder of a group killed', kill: 'holder', forS: 2 },
    { name: 'back with nothing', restart: true, forS: 30, regains: true },
    { name: 'holder of the fleet killed', kill: 'fleet', forS: 3 },
    { name: 'back with nothing too', restart: true, forS: 30, regains: true },
  ],
}
