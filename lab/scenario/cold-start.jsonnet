// The discovery service fails for all routers at once, in four ways one after the other: it refuses connections, it
// resets each connection, it stops responding on open connections, and it is down while 70% of the routers are killed
// and restarted. The relay in front of the service counts the dials within any 100 ms. It also counts the open
// connections, whose number shows whether all routers have reconnected.
{
  title: 'All routers lose the discovery service at once',
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
