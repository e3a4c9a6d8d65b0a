// Thirty tenants (twelve at size small) migrate between cells in all sites while 91% of the caches are replaced within
// 22 s. Links and origin have the capacity to refill the replaced caches. Without that capacity the deployment is
// overloaded, whether or not tenants migrate (docs/migration.md).
local worlds = import 'worlds.libsonnet';
local roomy = {
  small: { linkRoom: 4, parentRoom: 4, originRoom: 6, dayS: 70 },
  full: { linkRoom: 2.5, parentRoom: 2.5, originRoom: 4, dayS: 60 },
};
local trip(style) = {
  small: { style: style, count: 12, startS: 6, warmS: 3, shiftS: 10, slow: 5, settleS: 10, hot: 2 },
  full: { style: style, count: 30, startS: 6, warmS: 3, shiftS: 12, slow: 5, settleS: 10, hot: 2 },
};
local deploy = { kind: 'deploy', depot: -1, atS: 8, forS: 22, part: 0.91 };
{
  title: 'Migrations between cells during rolling deploys',
  sizes: { small: worlds.small + roomy.small, full: worlds.full + roomy.full },
  watch: -1,
  arms: { [style]: { cells: { small: 4, full: 8 }, trip: trip(style) } for style in ['none', 'paced', 'ramp'] },
  days: { calm: { skewMs: 1000 }, deploy: { skewMs: 1000, faults: [deploy] } },
  claims: [
    { name: 'moved tenants in deploys', of: 'paced/deploy/movers', over: 'none/deploy/movers', least: 0.95 },
    { name: 'all others in deploys', of: 'paced/deploy/stayers', over: 'none/deploy/stayers', least: 0.99 },
    { name: 'moved tenants on a calm day', of: 'paced/calm/movers', over: 'none/calm/movers', least: 0.95 },
    { name: 'cold servers within their bound', of: 'paced/deploy/coldMost', most: 1 },
    { name: 'one router within its share of that', of: 'paced/deploy/coldShare', most: 1 },
    { name: 'requests without an answer', of: 'paced/deploy/unanswered', most: 0 },
    { name: 'wishes without an end', of: 'paced/deploy/unended', most: 0 },
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  table: ['movers', 'stayers', 'hits', 'originMb', 'fillMb', 'refused', 'moversRefused', 'coldMost', 'coldShare', 'cellFill', 'cellBusy', 'moved', 'kept', 'spread', 'doneS', 'broken'],
  chart: { figure: 'movers', title: 'Fraction of weight served on time, migrated tenants', arms: ['none', 'paced', 'ramp'], days: ['calm', 'deploy'] },
}
