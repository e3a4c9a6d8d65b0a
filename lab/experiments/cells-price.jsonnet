// Cost of cells on a calm day, by the number of cells and by scheme.
local worlds = import 'worlds.libsonnet';
local counts = [2, 4, 8, 12, 16];
{
  title: 'The cost of cells on a calm day',
  sizes: worlds,
  watch: 0,
  arms: { none: {} }
        + { ['cells-%02d' % n]: { cells: n } for n in counts }
        + { 'shuffle-4': { cells: 8, scheme: 'shuffle', width: 4 }, 'nested-3': { cells: 4, scheme: 'nested', width: 3 },
            'overflow-08': { cells: 8, scheme: 'overflow' } },
  days: { calm: {}, unique: { flood: { tenant: 0, times: 10, kind: 'unique', fromS: 6, forS: 8 } } },
  claims: [
    { name: 'worth with 4 cells', of: 'cells-04/calm/timely', over: 'none/calm/timely', least: 0.98 },
    { name: 'worth with 8 cells', of: 'cells-08/calm/timely', over: 'none/calm/timely', least: 0.98 },
    { name: 'head office bytes with 8 cells', of: 'cells-08/calm/originMb', over: 'none/calm/originMb', most: 1.15 },
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  chart: { figure: 'timely', title: 'Fraction of weight served on time, all tenants', arms: ['none'] + ['cells-%02d' % n for n in counts] + ['shuffle-4', 'nested-3', 'overflow-08'], days: ['calm'] },
}
