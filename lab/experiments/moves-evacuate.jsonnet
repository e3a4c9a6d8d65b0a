// One cell of four is drained into two others, or one of eight into three. Arms: no migration (none), a changed
// assignment only (atOnce), one tenant after the other (oneByOne), all tenants at the same time, each within its bounds
// (paced), and by a schedule of core/migration/schedule (planned). The cells that get the tenants have a third to a
// half more load than on a usual day; request rates and links are chosen so that these cells have the capacity for it.
local worlds = import 'worlds.libsonnet';
local trip(style) = {
  small: { style: style, evacuate: 'cell-03', into: 2, startS: 6, warmS: 0, shiftS: 10, slow: 8, settleS: 10, hot: 0 },
  full: { style: style, evacuate: 'cell-05', into: 3, startS: 6, warmS: 0, shiftS: 10, slow: 8, settleS: 10, hot: 0 },
};
local styles = ['none', 'atOnce', 'oneByOne', 'paced', 'planned'];
{
  title: 'Draining a cell',
  sizes: { small: worlds.small { dayS: 60, rateS: 250, linkRoom: 2.2, parentRoom: 2.2, originRoom: 3 }, full: worlds.full { dayS: 60, rateS: 14000, linkRoom: 2, parentRoom: 2, originRoom: 3 } },
  watch: -1,
  arms: { [style]: { cells: { small: 4, full: 8 }, trip: trip(style) } for style in styles },
  days: { calm: {} },
  claims: [
    { name: 'fills into a cell as planned', of: 'planned/calm/cellFill', most: 1 },
    { name: 'cells busy as planned', of: 'planned/calm/cellBusy', most: 1 },
    { name: 'fills into a cell all at once', of: 'atOnce/calm/cellFill', least: 1 },
    { name: 'time of the plan to one by one', of: 'planned/calm/endS', over: 'oneByOne/calm/endS', most: 0.5 },
    { name: 'emptied by', of: 'planned/calm/doneS', most: 60 },
    { name: 'moved tenants as planned', of: 'planned/calm/movers', over: 'none/calm/movers', least: 0.95 },
    { name: 'all others as planned', of: 'planned/calm/stayers', over: 'none/calm/stayers', least: 0.99 },
    { name: 'no rule broken', of: 'all/broken', most: 0 },
  ],
  table: ['movers', 'stayers', 'hits', 'originMb', 'fillMb', 'refused', 'moversRefused', 'cellFill', 'cellBusy', 'moved', 'kept', 'spread', 'endS', 'doneS', 'broken'],
  chart: { figure: 'cellFill', title: 'Maximum fills into a cell, as a fraction of its share of the link', arms: styles, days: ['calm'] },
}
