// Random topologies of up to 24 parent groups at several levels, a third of which get a cycle on purpose. Each is
// changed six times during fills, while half of the nodes still have the topology before the last change. Every cycle
// must be rejected and named, no valid topology may be rejected, and no fill may visit a node twice.
{
  title: 'Topologies with cycles, and topologies that change during fills',
  shapes: {
    small: { shapes: 200, areas: 24, depots: 8, changes: 6, fills: 20 },
    full: { shapes: 1000, areas: 24, depots: 8, changes: 6, fills: 100 },
  },
  arms: { plain: {}, asker: {}, path: {} },  // guard against cycles: none, requester only, path of the fill
  days: { changes: {} },
  claims: [
    { name: 'shapes with circles taken', of: 'path/changes/plantedTaken', most: 0 },
    { name: 'circles named that are none', of: 'path/changes/misnamed', most: 0 },
    { name: 'valid shapes refused', of: 'path/changes/validRefused', most: 0 },
    { name: 'nodes visited twice', of: 'path/changes/twice', most: 0 },
    { name: 'nodes visited twice without a guard', of: 'plain/changes/twice', least: 1 },
    { name: 'fills that find no way', of: 'path/changes/stuck', most: 0.05 },
  ],
  table: ['valid', 'validRefused', 'planted', 'plantedTaken', 'misnamed', 'fills', 'twice', 'served', 'stuck', 'hops'],
  chart: { figure: 'twice', title: 'Fills that visit a node twice', arms: ['plain', 'asker', 'path'], days: ['changes'] },
}
