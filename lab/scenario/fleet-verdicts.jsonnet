// One of three area caches dies under 16 routers of four depots, and the list does not say so for as long as the play lasts. Each router fills little, so that
// by itself it needs seconds to shut it off; a verdict of two depots keeps all off it. The network loses three datagrams in ten.
{
  title: 'A dead area cache that the list calls ready',
  asks: 0,
  floor: 0,
  depots: 4,
  verdicts: true,
  delayMs: 5,
  everyMs: 30,
  conditions: { loss: 0.3, double: 0.1, delayMs: 1, jitterMs: 20 },
  steps: [
    { name: 'all well', forS: 4 },
    // Two depots find it in some seconds; 2.5 s after the second all have heard. Its own breaker ends at the finders after 10 s at the soonest.
    { name: 'one dies', lose: true, forS: 11, settleS: 7, named: 1 },
  ],
}
