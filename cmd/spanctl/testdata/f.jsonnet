{
  cells: { enabled: true, version: 1, scheme: 'fixed', cells: [{ name: 'a', share: 0.5, spill: 'b' }, { name: 'b', share: 0.5 }],
    tenants: [{ name: 't', cell: 'a' }, { name: 'u', cell: 'b' }], keys: [{ families: [1, 2], tenant: 'u' }, { tenant: 't' }], budget: {} },
  moves: import 'moves.json',
  stage: import 'stage.json',
}
