// All routers lose the discovery service at once, and it comes back; it resets each connection; it falls silent with
// connections open; and it is away while seven in ten routers are killed and restarted. Judged by the relay before it:
// how many dial within any 100 ms, and that all are connected again.
{
  title: 'Routers that lose the list service together',
  asks: 0,
  floor: 0,
  delayMs: 20,
  everyMs: 20,
  conditions: {},
  steps: [
    { name: 'all there', forS: 10, allBack: true },
    { name: 'it holds', forS: 1.5 },
    { name: 'away', board: 'cut', forS: 5, tries: true },
    { name: 'back', board: 'open', forS: 10, tries: true, allBack: true },
    { name: 'it holds again', forS: 1.5 },
    { name: 'breaks each connection', board: 'breaks', forS: 4, tries: true },
    { name: 'back after breaks', board: 'open', forS: 10, tries: true, allBack: true },
    { name: 'it holds once more', forS: 1.5 },
    { name: 'silent', board: 'silent', forS: 6, tries: true },
    { name: 'speaks again', board: 'open', forS: 15, tries: true, allBack: true },
    { name: 'seven in ten killed while it is away', board: 'cut', kill: '0.7', forS: 1 },
    { name: 'they come back, it is still away', restart: true, forS: 3 },
    { name: 'all back', board: 'open', forS: 15, allBack: true },
  ],
}
