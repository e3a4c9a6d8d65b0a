// One tenant sends ten times its usual load. Compares how many requests of the tenants of other cells are served on
// time: with cells, without cells, and without cells but with a rate limit per tenant.
local worlds = import 'worlds.libsonnet';
local flood(kind) = { tenant: 0, times: 10, kind: kind, fromS: 6, forS: 8, hugeKb: 4000 };
local days = { calm: {} } + { [kind]: { flood: flood(kind) } for kind in ['catalogue', 'unique', 'huge'] };
{
  title: 'A tenant at ten times its load',
  sizes: worlds,
  watch: 0,
  arms: {
    none: {},
    limit: { limit: 3 },
    cells: { cells: { small: 4, full: 8 } },
  },
  days: days,
  claims: [
    { name: 'other cells under a %s flood' % kind, of: 'cells/%s/others' % kind, over: 'cells/calm/others', least: 0.98 }
    for kind in ['catalogue', 'unique', 'huge']
  ] + [
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  chart: { figure: 'others', title: 'Fraction of weight served on time, tenants of other cells', arms: ['none', 'limit', 'cells'], days: ['catalogue', 'unique', 'huge'] },
}
