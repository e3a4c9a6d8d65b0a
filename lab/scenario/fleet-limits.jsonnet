// A limit on origin fills that router processes share over a network that loses one datagram in six, duplicates
// datagrams and reorders them. The load is always above the limit: each request is for a new object.
local fair = { loss: 0.17, double: 0.1, delayMs: 1, jitterMs: 20 };
{
  title: 'A limit at the origin while the network fails',
  asks: 3,  // origin fills in flight per router
  // Fraction of the limit: one fill per router, a whole number, so that the sum of the floors is an exact bound.
  floor: 1 / 3,
  delayMs: 70,  // delay of an edge cache; parents and the origin take three times as long
  everyMs: 2,  // interval between two requests, over all routers; chosen for 16 routers, reduce it for more
  conditions: fair,
  steps: [
    { name: 'whole', forS: 25, regains: true },
    // None of the three partitions has a majority, so only the floors remain once the leases have expired.
    { name: 'cut in three', conditions: fair { parts: 3 }, forS: 8, settleS: 4, floors: true, fills: true },
    { name: 'healed', conditions: fair, forS: 25, regains: true },
    { name: 'holder cut off', conditions: fair { alone: 'holder' }, forS: 25, regains: true },
    { name: 'holder back', conditions: fair, forS: 3 },
    { name: 'five cuts and heals in ten seconds', conditions: fair { parts: 3, flips: 5 }, forS: 10 },
    { name: 'settled', conditions: fair, forS: 25, regains: true },
    { name: 'holder killed', kill: 'holder', forS: 2 },
    { name: 'holder back with nothing', restart: true, forS: 25, regains: true },
    // A frozen process may have decided on a fill that it sends after the freeze: one fill beyond the limit.
    { name: 'holder frozen', freeze: 'holder', freezeS: 3, forS: 5, slack: 1 },
    { name: 'holder thawed', forS: 25, regains: true, slack: 1 },
    { name: 'seven in ten killed', kill: '0.7', forS: 6, settleS: 4, floors: true },
    { name: 'all back', restart: true, forS: 25, regains: true },
  ],
}
