// One of three parents dies, with 16 routers in four sites. The endpoint list shows it as ready throughout the
// scenario. Each router makes few fills, so that on its own it needs seconds to eject the parent. A verdict by two
// sites makes all routers avoid it. The network loses 30% of the datagrams.
{
  title: 'A dead parent that the endpoint list shows as ready',
  asks: 0,
  floor: 0,
  depots: 4,
  verdicts: true,
  delayMs: 5,
  everyMs: 30,
  conditions: { loss: 0.3, double: 0.1, delayMs: 1, jitterMs: 20 },
  steps: [
    { name: 'all well', forS: 4 },
    // The settle time covers the detection by two sites, which takes some seconds, and the 2.5 s after which all
    // routers have the verdict. The circuit breakers of the routers that detect the fault close after 10 s at the
    // earliest.
    { name: 'one dies', lose: true, forS: 11, settleS: 7, named: 1 },
  ],
}
