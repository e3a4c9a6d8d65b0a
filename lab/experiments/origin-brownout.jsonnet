// The head office falls to 30% of its capacity for 30 s and returns: by rules alone, and with core/shield in the gate under three laws. An area cache asks it for a part once for all who wait;
// when they wait no more it goes on all the same (keeps), or gives up (drops): the jam that outlives the brownout is made of what is kept.
local worlds = import 'worlds.libsonnet';
local room = { hubs: 4, parentRoom: 1.9, linkRoom: 1.9, originRoom: 1.0, dayS: 90 };
local brownout = { kind: 'brownout', depot: 0, atS: 20, forS: 30, part: 0.3 };
{
  title: 'A brownout of the head office',
  sizes: { small: worlds.small + room, full: worlds.full + room },
  watch: -1,
  arms: { keeps: {}, drops: { dropFetches: true }, fixed: { shield: 'fixed' }, aimd: { shield: 'aimd' }, gradient: { shield: 'gradient' },
    forgets: { shield: 'gradient', forget: true } },
  days: { calm: {}, brownout: { faults: [brownout] } },
  claims: [
    { name: 'jam that outlives the brownout', of: 'keeps/brownout/end', over: 'keeps/calm/end', most: 0.9 },
    { name: 'end where nothing is kept', of: 'drops/brownout/end', over: 'drops/calm/end', least: 0.97 },
    { name: 'end under the shield', of: 'gradient/brownout/end', over: 'gradient/calm/end', least: 0.99 },
    { name: 'end where given up ones are not counted', of: 'forgets/brownout/end', over: 'gradient/brownout/end', most: 0.9 },
    { name: 'day of the brownout under it', of: 'gradient/brownout/timely', over: 'keeps/brownout/timely', least: 1.1 },
    { name: 'calm day under it', of: 'gradient/calm/timely', over: 'keeps/calm/timely', least: 1 },
    { name: 'calm day, against a fixed share', of: 'gradient/calm/timely', over: 'fixed/calm/timely', least: 1 },
    { name: 'seconds over the head office', of: 'gradient/brownout/originOverS', most: 4 },
    { name: 'attempts to a request', of: 'gradient/brownout/attemptsEach', most: 1.5 },
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  table: ['timely', 'end', 'hits', 'originMb', 'originMost', 'originOverS', 'refused', 'attemptsEach', 'p99CatalogueMs', 'broken'],
  chart: { figure: 'end', title: 'Timely worth in the last 15 s', arms: ['keeps', 'drops', 'fixed', 'aimd', 'gradient', 'forgets'], days: ['calm', 'brownout'] },
}
