// A limit on origin fills that real routers share, over a network that loses one datagram in six, and duplicates and
// reorders them. The load is above the limit throughout: each request is for an object that nobody asked for before.
local fair = { loss: 0.17, double: 0.1, delayMs: 1, jitterMs: 20 };
{
  title: 'A limit at the head office while links fail',
  asks: 3,  // of each router
  floor: 1 / 3,  // one for each router: whole ones, so that the bound is hard
  delayMs: 70,  // of an edge cache; a parent and the origin take three times as long
  everyMs: 2,  // between two requests to all routers, of sixteen; fewer for more
  conditions: fair,
  steps: [
    { name: 'whole', forS: 25, regains: true },
    // None of three partitions has a majority: floors alone, once leases have ended.
    { name: 'cut in three', conditions: fair { parts: 3 }, forS: 8, settleS: 4, floors: true, fills: true },
    { name: 'healed', conditions: fair, forS: 25, regains: true },
    { name: 'holder cut off', conditions: fair { alone: 'holder' }, forS: 25, regains: true },
    { name: 'holder back', conditions: fair, forS: 3 },
    { name: 'five cuts and heals in ten seconds', conditions: fair { parts: 3, flips: 5 }, forS: 10 },
    { name: 'settled', conditions: fair, forS: 25, regains: true },
    { name: 'holder killed', kill: 'holder', forS: 2 },
    { name: 'holder back with nothing', restart: true, forS: 25, regains: true },
    // A fill that a frozen process had decided goes out after it: one beyond the limit.
    { name: 'holder frozen', freeze: 'holder', freezeS: 3, forS: 5, slack: 1 },
    { name: 'holder thawed', forS: 25, regains: true, slack: 1 },
    { name: 'seven in ten killed', kill: '0.7', forS: 6, settleS: 4, floors: true },
    { name: 'all back', restart: true, forS: 25, regains: true },
  ],
}
