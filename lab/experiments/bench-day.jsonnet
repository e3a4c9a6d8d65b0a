// A day without faults on the operators' test bench, approximated by the emulator. docs/emulator.md compares the
// figures.
local day = {
  depots: 2, routers: 2, caches: 4, parents: 3, tenants: 1, objects: 120, channels: 4,
  rateS: 81, tenantSkew: 0, objectSkew: 1.05, onceShare: 0.03, driftS: 200, keepS: 60,
  linkRoom: 1.35, parentRoom: 1.35, originRoom: 2, missShare: 0.3, routerUs: 150,
  warmS: 5, dayS: 50,
};
{
  title: 'A calm day of the bench',
  sizes: { small: day, full: day },
  watch: 0,
  arms: { none: {} },
  days: { calm: {} },
  claims: [
    { name: 'timely worth', of: 'none/calm/guilty', least: 0.99 },
    { name: 'attempts a request', of: 'none/calm/attemptsEach', most: 1.05 },
    { name: 'large objects', of: 'none/calm/largest', least: 0.667 },
    { name: 'the next in size', of: 'none/calm/next', least: 0.667 },
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  chart: { figure: 'guilty', title: 'Fraction of weight served on time', arms: ['none'], days: ['calm'] },
}
