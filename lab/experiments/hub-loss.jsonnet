// All parents of one of four hubs are down for 20 s under peak load, and restart with empty stores. The remaining
// parents have just enough capacity for the fills of that hub, and the origin just enough for their misses.
local worlds = import 'worlds.libsonnet';
local hubs = { hubs: 4, parentRoom: 1.35, linkRoom: 1.9, originRoom: 1.0, dayS: 56 };
local loss = { kind: 'hub', which: 0, atS: 10, forS: 20 };
{
  title: 'A hub loses its parents',
  sizes: { small: worlds.small + hubs, full: worlds.full + hubs },
  watch: -1,
  arms: { rules: {}, planned: { shape: 'planned' }, nearest: { shape: 'nearest' }, direct: { shape: 'direct' },
    static: { shield: 'fixed' }, shielded: { shape: 'planned', shield: 'gradient' } },
  days: { calm: {}, loss: { faults: [loss] } },
  claims: [
    { name: 'worth against rules alone', of: 'shielded/loss/timely', over: 'rules/loss/timely', least: 1.03 },
    { name: 'worth against the nearest', of: 'shielded/loss/timely', over: 'nearest/loss/timely', least: 1.05 },
    { name: 'worth against straight up', of: 'shielded/loss/timely', over: 'direct/loss/timely', least: 1.05 },
    { name: 'worth against a static limit', of: 'shielded/loss/timely', over: 'static/loss/timely', least: 1 },
    { name: 'worth against a plan alone', of: 'shielded/loss/timely', over: 'planned/loss/timely', least: 1 },
    // The figure can't exceed 1, so 0.95 is within 5% of the optimum.
    { name: 'worth itself', of: 'shielded/loss/timely', least: 0.95 },
    { name: 'seconds over the head office', of: 'shielded/loss/originOverS', most: 1 },
    { name: 'cold servers within their bound', of: 'shielded/loss/coldMost', most: 1 },
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  table: ['timely', 'hits', 'originMb', 'originMost', 'originOverS', 'refused', 'failed', 'coldMost', 'coldShare', 'p99CatalogueMs', 'broken'],
  chart: { figure: 'timely', title: 'Fraction of weight served on time', arms: ['rules', 'planned', 'nearest', 'direct', 'static', 'shielded'], days: ['calm', 'loss'] },
}
