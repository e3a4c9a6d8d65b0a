// The same limit by a tree of leases: four groups of routers, each with a lease holder that leases from that of the
// fleet. Groups are cut off from one another, and lease holders of a group and of the fleet are killed and restarted
// without state.
local fair = { loss: 0.05, double: 0.1, delayMs: 1, jitterMs: 20 };
{
  title: 'A limit at the head office by a tree of leases',
  asks: 3,  // of each router
  floor: 1 / 3,  // one for each router: whole ones, so that the bound is hard
  group: 4,
  delayMs: 70,  // of an edge cache; a parent and the origin take three times as long
  everyMs: 2,  // between two requests to all routers, of sixteen; fewer for more
  conditions: fair,
  steps: [
    { name: 'whole', forS: 30, regains: true },
    // No group has a majority of the electors: floors alone, once votes (7 s) and the leases under them (3 s and 1.5 s)
    // have ended.
    { name: 'groups cut off', conditions: fair { blocks: 4 }, forS: 15, settleS: 13, floors: true, fills: true },
    { name: 'healed', conditions: fair, forS: 40, regains: true },
    { name: 'holder of a group killed', kill: 'holder', forS: 2 },
    { name: 'back with nothing', restart: true, forS: 30, regains: true },
    { name: 'holder of the fleet killed', kill: 'fleet', forS: 3 },
    { name: 'back with nothing too', restart: true, forS: 30, regains: true },
  ],
}
