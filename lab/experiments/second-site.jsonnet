// A deployment like the platform's second one: requests go only to caches, parents fetch separately for each fill, the
// origin is distant, catalogue copies stay fresh for 5 s, and caches report the utilization of their site's link. Days:
// half of all purge groups are purged (purge), the origin has a third of its capacity for 10 s (slow), or both at the
// same time (both), so that copies must be filled again while the origin has little capacity. In the arm `silent`,
// caches do not report utilization. In the arm `near`, the origin is 12 ms away, as in the first deployment.
local worlds = import 'worlds.libsonnet';
local site = { cachesOnly: true, apart: true, linkTold: true, originWayMs: 50, freshS: 5, graceS: 30, promiseMs: 300 };
local room = { hubs: 3, parentRoom: 1.6, linkRoom: 1.4, originRoom: 3, missShare: 0.5, dayS: 40, site: site };
local purge = { kind: 'purge', depot: 0, atS: 14, part: 0.5 };
local slow = { kind: 'brownout', depot: 0, atS: 15, forS: 10, part: 0.33 };
{
  title: 'A distant origin, group purges and load reports',
  sizes: { small: worlds.small + room + { depots: 4, caches: 8 }, full: worlds.full + room },
  watch: -1,
  arms: { site: {}, silent: { site: site + { linkTold: false } }, near: { site: site + { originWayMs: 12 } } },
  days: { calm: {}, purge: { faults: [purge] }, slow: { faults: [slow] }, both: { faults: [purge, slow] } },
  claims: [
    { name: 'calm day', of: 'site/calm/timely', least: 0.97 },
    { name: 'refused on a calm day', of: 'site/calm/refused', most: 0.02 },
    { name: 'calm day before a far head office', of: 'site/calm/timely', over: 'near/calm/timely', least: 0.97 },
    { name: 'jam that outlives purge and slow head office', of: 'site/both/end', over: 'site/calm/end', least: 0.93 },
    { name: 'that day, with reports against without', of: 'site/both/timely', over: 'silent/both/timely', least: 0.95 },
  ] + [
    { name: 'large objects, ' + day + ', ' + part, of: 'site/' + day + '/' + part, least: if day == 'calm' then 0.667 else 0.5 }
    for day in ['calm', 'purge', 'slow', 'both']
    for part in ['largest', 'next']
  ] + [
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  table: ['timely', 'end', 'hits', 'originMb', 'refused', 'attemptsEach', 'p99CatalogueMs', 'largest', 'next', 'broken'],
  chart: { figure: 'timely', title: 'Fraction of weight served on time', arms: ['site', 'silent', 'near'], days: ['calm', 'purge', 'slow', 'both'] },
}
