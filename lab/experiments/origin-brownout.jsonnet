// The head office falls to 30% of its capacity for 30 s and returns: what is served meanwhile, and how long until all is as before.
local worlds = import 'worlds.libsonnet';
local room = { hubs: 4, parentRoom: 1.9, linkRoom: 1.9, originRoom: 1.0, dayS: 100 };
local brownout = { kind: 'brownout', depot: 0, atS: 20, forS: 30, part: 0.3 };
{
  title: 'A brownout of the head office',
  sizes: { small: worlds.small + room, full: worlds.full + room },
  watch: -1,
  arms: { rules: {}, planned: { shape: 'planned' } },
  days: { calm: {}, brownout: { faults: [brownout] } },
  claims: [
    { name: 'attempts to a request', of: 'rules/brownout/attemptsEach', most: 1.5 },
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  table: ['timely', 'hits', 'originMb', 'originMost', 'originOverS', 'refused', 'failed', 'attemptsEach', 'p99CatalogueMs', 'broken'],
  chart: { figure: 'timely', title: 'Timely worth', arms: ['rules', 'planned'], days: ['calm', 'brownout'] },
}
