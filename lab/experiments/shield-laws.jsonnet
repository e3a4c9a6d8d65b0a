// Compares algorithms for a router's limit on fills in flight at the origin: on a calm day, while the origin lacks 70%
// of its capacity for 30 s, and after half of the routers die. With `knee` fills in flight, the number above which the
// origin slows down, a fill takes 200 ms. Clients make three attempts of 1.5 s each.
local trial = { routers: 64, rateS: 500, capS: 640, knee: 128, slows: 0.5, allowS: 1.5, tries: 3, reports: 0.05, warmS: 10, dayS: 100, reserve: 0.1 };
{
  title: 'Algorithms for a limit at the origin',
  shield: { small: trial { routers: 16, rateS: 125, capS: 160, knee: 32 }, full: trial },
  arms: { none: { law: 'none' }, fixed: { law: 'fixed', burst: 1 }, aimd: { law: 'aimd', burst: 3 }, gradient: { law: 'gradient', burst: 3 }, delay: { law: 'delay', burst: 3 } },
  days: { calm: {}, brownout: { low: 0.3, lowFromS: 30, lowForS: 30 }, deaths: { deadPart: 0.5, deadAtS: 30 } },
  claims: [
    { name: 'served on a calm day', of: 'gradient/calm/served', least: 0.99 },
    { name: 'end of a brownout without a limit', of: 'none/brownout/end', most: 0.5 },
    { name: 'seconds to come back', of: 'gradient/brownout/backS', most: 5 },
    { name: 'seconds to settle', of: 'gradient/brownout/settleS', most: 5 },
    { name: 'most out', of: 'gradient/brownout/outMost', most: 3 },
    { name: 'served with half of the routers', of: 'gradient/deaths/end', least: 0.98 },
  ],
  table: ['served', 'before', 'low', 'end', 'sentEach', 'turned', 'reports', 'outMost', 'overS', 'settleS', 'backS'],
  chart: { figure: 'served', title: 'Fraction of fills served on time', arms: ['none', 'fixed', 'aimd', 'gradient', 'delay'], days: ['calm', 'brownout', 'deaths'] },
}
