// Package lease enforces one limit on all routers of a fleet together, such as requests in flight to an origin, with a
// tree of leases. However large the fleet, a router exchanges messages only with the holders of its groups, with its
// lessees and, if it is an elector, with the other electors. The package does no I/O and reads no clock. Times are in
// microseconds of the router's own clock. The zero of this clock is arbitrary, and the clock never runs backwards.
// Random numbers come from a seed.
//
// # The tree
//
// A limit consists of floors, one for each possible router, and a pool. Routers form groups by rank (Topology): the
// smallest groups are blocks of consecutive ranks, several groups form a larger group, and all groups together form the
// fleet. In each group one router, the holder, leases a part of the pool from the holder of the next larger group. It
// grants leases of that part to its lessees. In a smallest group, the lessees are the members of the group. In a larger
// group, they are the holders of the groups in it. The holder of the fleet has the whole pool. The tree follows J.
// Dean, Y. Sobel, "Doorman" (2016), but needs no external store, because the routers elect the holder of the fleet
// themselves.
//
// # Guarantee
//
// The following holds for any number of partitions of the fleet, for messages that are lost, delayed, duplicated or
// reordered, and for any crashes and restarts:
//
//   - The sum of all floors and all leases in use never exceeds the limit, by any amount or for any time. Work that
//     starts under a lease may outlast the lease, unless the work takes less than Limit.ExpiryMargin.
//   - Each router always has its floor. Routers that reach the fleet's holder through the holders of their groups also
//     have the pool. After the loss of any holder, group or part of the fleet, 80% of the pool is leased again within
//     RecoveryTime, provided that a majority of the electors can reach one another. In a partition without the fleet's
//     holder, the routers use their leases until these expire. After that they have only their floors.
//   - A router that joins, leaves or restarts affects the other routers only through their quotas. Routers need not
//     agree on which routers are up, or on which router holds a group.
//
// The guarantee assumes that the rates of two clocks differ by at most maxClockDrift, that the incarnation of a router
// grows with each restart, and that Topology and Limit are the same at all routers. It also assumes that no process is
// paused after it has acquired a unit of a limit and before it starts the work for that unit. A process that is paused
// at this point can start the work after its lease has expired.
//
// # Correctness
//
// Two holders of one group are safe, because each grants only what it has on lease itself. Each lease that a holder
// grants comes from one of the holder's own leases, its source, and must meet two conditions. It expires before its
// source. Together with all other unexpired leases that the holder has granted, it adds up to no more than its source.
// The leases in force below a holder therefore never exceed the largest lease that the holder has at the time. That
// largest lease is the amount that the holder above counts for this holder. A holder that restarts loses the record of
// its grants. The holder above therefore counts the leases of the previous incarnation separately until they have
// expired.
//
// Only the holder of the fleet must be unique. It grants leases while a majority of the electors have voted for it, and
// no lease that expires later than those votes. A vote echoes the holder's own timestamp, and the lifetime of the vote
// counts from that timestamp. The vote therefore expires for the holder before it does for the voter. The voter casts
// no vote for another candidate before its earlier vote has expired by its own clock. Any two majorities have a voter
// in common. A voter that starts has no record of its earlier votes, so it casts none for the lifetime of a vote (L.
// Lamport, "The part-time parliament", ACM Transactions on Computer Systems 16(2), 1998; C. Gray, D. Cheriton,
// "Leases", SOSP 1989).
//
// # Files
//
// The node of a router is in node.go and quota.go. Requests and grants are in leasing.go, the state of a lessee is in
// lessee.go and that of a holder in holder.go. The election of the fleet's holder is in election.go.
package lease
