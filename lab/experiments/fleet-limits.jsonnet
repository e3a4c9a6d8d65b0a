// A limit of 80 shared by 300 routers. At any time a few routers have most of the demand; every 15 s it moves to
// others. Compares an even split, shares by gossiped demand, leases from one holder in each partition, which needs no
// majority, and core/fleet. The network is partitioned in two (60% and 40% of the routers) or in five for 20 s, or 70%
// of the routers fail at once and restart without state after 20 s.
local trial = { routers: 300, limit: 80, floor: 0.1, demand: 1.2, skew: 0.9, movesS: 15, loss: 0.05, warmS: 20, dayS: 90 };
local cut = { cutS: 35, cutForS: 20 };
{
  title: 'A limit shared by all routers',
  tier: { small: trial { routers: 48, limit: 40, dayS: 75 }, full: trial },
  arms: { even: { way: 'even' }, gossip: { way: 'gossip' }, keeper: { way: 'keeper' }, fleet: { way: 'fleet' } },
  days: { whole: {}, lossy: { loss: 0.25 }, halves: cut { parts: 2 }, fifths: cut { parts: 5 }, deaths: cut { deadPart: 0.7 } },
  claims: [
    { name: 'most in use on a whole day', of: 'fleet/whole/over', most: 1 },
    { name: 'at 30% loss', of: 'fleet/lossy/over', most: 1 },
    { name: 'in halves', of: 'fleet/halves/over', most: 1 },
    { name: 'in fifths', of: 'fleet/fifths/over', most: 1 },
    { name: 'when seven in ten die', of: 'fleet/deaths/over', most: 1 },
    { name: 'most in use by gossip in fifths', of: 'gossip/fifths/over', least: 2 },
    { name: 'with a keeper in each fifth', of: 'keeper/fifths/over', least: 2 },
    { name: 'use on a whole day', of: 'fleet/whole/use', over: 'even/whole/use', least: 1.2 },
    { name: 'use in halves', of: 'fleet/halves/cutUse', over: 'fleet/whole/use', least: 0.4 },
    { name: 'use in fifths', of: 'fleet/fifths/cutUse', least: 0.08 },
    { name: 'seconds until it is used again', of: 'fleet/halves/regainS', most: 15 },
  ],
  table: ['over', 'overS', 'use', 'cutUse', 'regainS', 'bytes'],
  chart: { figure: 'over', title: 'Maximum granted, as a fraction of the limit', arms: ['even', 'gossip', 'keeper', 'fleet'], days: ['whole', 'lossy', 'halves', 'fifths', 'deaths'] },
}
