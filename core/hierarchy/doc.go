// Package hierarchy decides from which caches each site fills. A [Topology] lists the nodes and the links over which
// one node may fill from another. The nodes are sites (edge caches and the routers in front of them), groups of parent
// caches, and the origin.
//
//   - [Compile] validates a topology and returns a [Graph]. A topology with a cycle of links is rejected as a whole,
//     and the error names the nodes of the cycle.
//   - [Graph.PlanFills] divides the sites' fills among parent groups and the origin. A plan never exceeds the
//     capacity of a group, a link or the origin. Fills for which no capacity remains are rejected. [FillPlan.Route]
//     returns the part of the plan for one site.
//   - [Graph.Forward], [Graph.ForwardByPeer], [ParseLoop] and [LoopDetector] prevent or detect fills that loop while
//     nodes have different topologies. A fill that every node forwards with Forward visits no node twice, whatever
//     topologies the nodes have.
//
// The package does no I/O and reads no clock. Rates are KB/s, times are milliseconds, fractions are from 0 to 1.
package hierarchy
