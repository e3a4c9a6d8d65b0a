// Base worlds of the experiments. Times are in seconds, except routerUs.
{
  small: {
    depots: 2, routers: 2, caches: 16, parents: 4, tenants: 120, objects: 5, channels: 6,
    rateS: 420, tenantSkew: 0.8, objectSkew: 1.1, onceShare: 0.06, driftS: 200, keepS: 40,
    linkRoom: 1.35, parentRoom: 1.35, originRoom: 2, missShare: 0.35, routerUs: 150,
    warmS: 4, dayS: 12,
  },
  // 64 routers, 608 caches, 5,000 tenants, 20,000 requests a second.
  full: {
    depots: 16, routers: 4, caches: 38, parents: 16, tenants: 5000, objects: 4, channels: 12,
    rateS: 20000, tenantSkew: 1.0, objectSkew: 1.1, onceShare: 0.06, driftS: 200, keepS: 100,
    linkRoom: 1.35, parentRoom: 1.35, originRoom: 2, missShare: 0.35, routerUs: 150,
    warmS: 4, dayS: 12,
  },
}
