// All responses to one tenant fail: caches respond with ERR, caches send unreadable responses, or its fills fail at the
// origin.
local worlds = import 'worlds.libsonnet';
local kinds = ['err', 'spoilt', 'root'];
{
  title: 'A tenant whose responses all fail',
  sizes: worlds,
  watch: 0,
  arms: { none: {}, cells: { cells: { small: 4, full: 8 } } },
  days: { calm: {} } + { [kind]: { poison: { tenant: 0, kind: kind, fromS: 6, forS: 8 } } for kind in kinds },
  claims: [
    { name: 'other cells while answers fail by %s' % kind, of: 'cells/%s/others' % kind, over: 'cells/calm/others', least: 0.98 }
    for kind in kinds
  ] + [
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  chart: { figure: 'others', title: 'Fraction of weight served on time, tenants of other cells', arms: ['none', 'cells'], days: kinds },
}
