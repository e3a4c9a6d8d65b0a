// Package hierarchy decides from which caches a site fills. A [Topology] lists the nodes: sites (edge caches and the
// routers in front of them), groups of parent caches, and the origin, with the links over which one may fill from
// another.
//
//   - [Compile] checks a topology and makes a [Graph] of it. A topology with a cycle of links is rejected as a
//     whole, and the error names the cycle.
//   - [Graph.PlanFills] divides the sites' fills among parent groups and the origin. A plan sends no group, link or
//     origin more than its stated capacity; what does not fit is counted as rejected. [FillPlan.Route] is one
//     site's part of it.
//   - [Graph.Forward], [Graph.ForwardByPeer], [ParseLoop] and [LoopDetector] keep a fill from looping while nodes have
//     different topologies. A fill forwarded by Forward visits no node twice, whatever topologies its nodes have.
//
// The package does no I/O and reads no clock. Rates are KB/s, times are milliseconds, fractions are from 0 to 1.
package hierarchy
