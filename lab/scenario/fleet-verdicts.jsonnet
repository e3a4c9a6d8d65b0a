// One of three parents dies under 16 routers of four sites, and the endpoint list does not say so for as long as the
// scenario lasts. Each router fills little, so that it needs seconds to eject the parent by itself; a verdict of two
// sites keeps all routers off it. The network loses three datagrams in ten.
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
    // Two sites find it in some seconds; 2.5 s after the second all have heard. The circuit breakers of the finders
    // close after 10 s at the soonest.
    { name: 'one dies', lose: true, forS: 11, settleS: 7, named: 1 },
  ],
}
