// Every feature on, and every field set that one scheme of cells allows: width, which it does not, is in shuffle.jsonnet.
{
  cells: {
    enabled: true, version: 7, scheme: 'overflow', spare: 'spare',
    cells: [{ name: 'north', share: 0.5, spill: 'south' }, { name: 'south', share: 0.25 }, { name: 'spare', share: 0.125 }],
    tenants: [{ name: 'vending', cell: 'north', depots: { 'depot-1': 'south' }, weight: 3 }, { name: 'tablets', cell: 'south' }],
    keys: [{ families: [4, 99], class: 'page', prefix: '00ab', named: 'acme', tenant: 'vending' }, { tenant: 'tablets' }],
    budget: { requestsPerS: 11, fillKbPerS: 12, parentKbPerS: 13, originKbPerS: 14, originOpen: 15, open: 16, writesPerS: 17, giveMs: 18 },
  },
  moves: {
    enabled: true, version: 8,
    moves: [{ tenant: 'vending', depot: 'depot-2', from: 'north', to: 'south', start: 1764576000000, warm: 20001, shift: 30002,
      slow: 150003, settle: 60004, hot: ['00ab01', '00ab02'], heldAt: 1764576030005, backAt: 1764576040006, unbounded: true }],
  },
  stage: {
    enabled: true, version: 9, name: 'prices', prefix: '00cd', families: [40, 41], since: 1764576000007, renews: true, keep: 90008,
    rings: [{ cells: ['north'], open: 1764576060009, 'for': 600010 }, { cells: ['south', 'spare'], open: 1764577060011, 'for': 600012 }],
    back: 'serve', unsure: 'go', stopAt: 1764579000013, alpha: 0.02, beta: 0.06, least: 2.5, margin: 1.25,
  },
  shape: {
    enabled: true, version: 10, head: { name: 'head-office', kbPerS: 60001 },
    areas: [{ name: 'west', servers: ['area-w', 'area-v'], miss: 0.375 }, { name: 'east', servers: ['area-e'] }],
    depots: [{ name: 'depot-1', kbPerS: 9002 }],
    ways: [{ from: 'depot-1', to: 'west', kbPerS: 12003, ms: 9 }, { from: 'depot-1', to: 'east', kbPerS: 4004, ms: 30 },
      { from: 'depot-1', to: 'head-office', kbPerS: 1005, ms: 45 }, { from: 'west', to: 'head-office', kbPerS: 60006, ms: 20 },
      { from: 'east', to: 'head-office', kbPerS: 60007 }],
  },
  shield: { enabled: true, law: 'gradient', most: 41, reserve: 0.125, burst: 3, usualMs: 91, lingerMs: 3001 },
  fleet: { enabled: true, asks: 42, floor: 0.25, verdicts: true, tree: { routers: 12001, groups: [16, 512], electors: [0, 2200, 4400] } },
}
