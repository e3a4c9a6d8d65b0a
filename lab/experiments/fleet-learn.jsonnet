// Parents lack a fifth of the capacity that they need, and for ten seconds half of all video requests are for one new
// object, which all sites fill from the same parent. Compares routers that each detect the overload of that parent
// alone with routers that also report it to one another (core/gossip), without datagram loss and with 30% loss.
local worlds = import 'worlds.libsonnet';
local fleet = {
  caches: 4, channels: 8, objects: 40, onceShare: 0.02, keepS: 40, linkRoom: 1.6, parentRoom: 0.8, originRoom: 3, hubs: 2, warmS: 6, dayS: 24,
};
{
  title: 'Routers that share observations of overload',
  sizes: {
    small: worlds.small + fleet + { depots: 10, routers: 6, parents: 4, tenants: 40, rateS: 600 },
    full: worlds.full + fleet + { depots: 50, routers: 6, parents: 12, tenants: 200, rateS: 3000 },
  },
  watch: -1,
  arms: { alone: {}, told: { talk: { loss: 0 } }, lossy: { talk: { loss: 0.3 } } },
  days: { calm: {}, hot: { hot: { atS: 10, forS: 10, part: 0.5 } } },
  claims: [
    { name: 'day of the hot object, told against alone', of: 'told/hot/timely', over: 'alone/hot/timely', least: 1.02 },
    { name: 'the same with three datagrams in ten lost', of: 'lossy/hot/timely', over: 'alone/hot/timely', least: 1.02 },
    { name: 'calm day, told against alone', of: 'told/calm/timely', over: 'alone/calm/timely', least: 0.99 },
    { name: 'price of the datagrams', of: 'told/hot/wordPrice', most: 0.005 },
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  table: ['timely', 'end', 'hits', 'fillMb', 'originMb', 'refused', 'attemptsEach', 'words', 'wordPrice', 'p99CatalogueMs', 'broken'],
  chart: { figure: 'timely', title: 'Fraction of weight served on time', arms: ['alone', 'told', 'lossy'], days: ['calm', 'hot'] },
}
