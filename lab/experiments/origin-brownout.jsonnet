// The origin drops to 30% of its capacity for 30 s and recovers. Compares the decision engine alone with an origin
// limit (core/originlimit) at admission, with three algorithms. A parent fetches a chunk once for all waiting clients.
// When no client waits any more, the parent continues the fetch (keeps) or cancels it (drops). Continued fetches can
// cause a backlog that outlasts the brownout. The decision engine counts fills without a response as late. This clears
// the backlog in most worlds of the arm keeps, which has no origin limit, and also in the arm forgets, whose origin
// limit does not count abandoned fills.
local worlds = import 'worlds.libsonnet';
local room = { hubs: 4, parentRoom: 1.9, linkRoom: 1.9, originRoom: 1.0, dayS: 90 };
local brownout = { kind: 'brownout', depot: 0, atS: 20, forS: 30, part: 0.3 };
{
  title: 'A brownout of the origin',
  sizes: { small: worlds.small + room, full: worlds.full + room },
  watch: -1,
  arms: { keeps: {}, drops: { dropFetches: true }, fixed: { shield: 'fixed' }, aimd: { shield: 'aimd' }, gradient: { shield: 'gradient' },
    forgets: { shield: 'gradient', forget: true } },
  days: { calm: {}, brownout: { faults: [brownout] } },
  claims: [
    { name: 'end by rules alone', of: 'keeps/brownout/end', over: 'keeps/calm/end', least: 0.97 },
    { name: 'end where nothing is kept', of: 'drops/brownout/end', over: 'drops/calm/end', least: 0.97 },
    { name: 'end under the shield', of: 'gradient/brownout/end', over: 'gradient/calm/end', least: 0.99 },
    { name: 'end where given up ones are not counted', of: 'forgets/brownout/end', over: 'forgets/calm/end', least: 0.97 },
    { name: 'day where given up ones are not counted', of: 'forgets/brownout/timely', over: 'gradient/brownout/timely', most: 0.95 },
    { name: 'day of the brownout under it', of: 'gradient/brownout/timely', over: 'gradient/calm/timely', least: 0.96 },
    { name: 'day of the brownout, against rules alone', of: 'gradient/brownout/timely', over: 'keeps/brownout/timely', least: 1 },
    { name: 'calm day under it', of: 'gradient/calm/timely', over: 'keeps/calm/timely', least: 1 },
    { name: 'calm day, against a fixed share', of: 'gradient/calm/timely', over: 'fixed/calm/timely', least: 1 },
    { name: 'seconds over the head office', of: 'gradient/brownout/originOverS', most: 4 },
    { name: 'attempts to a request', of: 'gradient/brownout/attemptsEach', most: 1.5 },
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  table: ['timely', 'end', 'hits', 'originMb', 'originMost', 'originOverS', 'refused', 'attemptsEach', 'p99CatalogueMs', 'broken'],
  chart: { figure: 'end', title: 'Fraction of weight served on time in the last 15 s', arms: ['keeps', 'drops', 'fixed', 'aimd', 'gradient', 'forgets'], days: ['calm', 'brownout'] },
}
