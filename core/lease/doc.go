// Package lease enforces one limit on all routers of a fleet together, such as requests in flight to an origin, with a
// tree of leases. However large the fleet, a router exchanges messages only with the holders of its groups, with its
// lessees and, if it is an elector, with the other electors. The package does no I/O and reads no clock. Times are in
// microseconds of the router's own clock, whose zero is arbitrary and which never runs backwards. Random numbers come
// from a seed.
//
// # The tree
//
// A limit consists of floors, one for each possible router, and a pool. Routers form groups by rank (Topology): the
// smallest groups are blocks of consecutive ranks, several of these form a larger group, and all of them form the
// fleet. In each group one router, the holder, leases a part of the pool from the holder of the group above it. It
// grants leases of that part to its lessees: the members of its group, or the holders of the groups in it. The holder
// of the fleet has the whole pool. The tree follows J. Dean, Y. Sobel, "Doorman" (2016), but needs no external store:
// the routers elect the holder of the fleet themselves.
//
// # Guarantee
//
// The following holds for any number of partitions of the fleet, for messages that are lost, delayed, duplicated or
// reordered, and for any crashes and restarts:
//
//   - The sum of all floors and all leases in use never exceeds the limit, by any amount or for any time. Work that
//     starts under a lease may outlast the lease, unless it takes less than Limit.ExpiryMargin.
//   - Each router always has its floor. Routers that reach the fleet's holder through the holders of their groups also
//     have the pool. After the loss of any holder, group or part of the fleet, 80% of the pool is leased again within
//     RecoveryTime, provided that a majority of the electors can reach one another. A partition without the fleet's
//     holder uses its leases until they expire, and only its floors after that.
//   - A router that joins, leaves or restarts affects the other routers only through their quotas. Routers need not
//     agree on which routers are up, or on which router holds a group.
//
// The guarantee assumes that the rates of two clocks differ by at most maxClockDrift, that the incarnation of a router
// grows with each restart, that Topology and Limit are the same at all routers, and that no process is paused between
// acquiring from a limit and starting the work that it acquired for. A process that is paused there can start that one
// unit of work after its lease has expired.
//
// # Correctness
//
// Two holders of one group are safe, because each grants only what it has on lease itself. A holder grants a lease
// only if it expires before one of the holder's own leases, and only if all leases that it has granted and that have
// not expired, this one included, add up to no more than that own lease. The leases in force below a holder therefore
// never exceed the largest lease that the holder has at the time, and that is the amount that the holder above counts
// for it. A holder that restarts loses the record of its grants. The holder above therefore counts the leases of the
// previous incarnation separately until they have expired.
//
// Only the holder of the fleet must be unique. It grants leases while a majority of the electors have voted for it, and
// none that expires later than those votes. A vote echoes the holder's own timestamp, and its lifetime counts from that
// timestamp. It therefore expires for the holder before it does for the voter. The voter casts no vote for another
// candidate before its earlier vote has expired by its own clock. Any two majorities have a voter in common. A voter
// that starts has no record of its earlier votes, so it casts none for the lifetime of a vote (L. Lamport, "The
// part-time parliament", ACM Transactions on Computer Systems 16(2), 1998; C. Gray, D. Cheriton, "Leases", SOSP 1989).
//
// # Files
//
// The node of a router is in node.go and quota.go. Requests and grants are in leasing.go, the state of a lessee is in
// lessee.go and that of a holder in holder.go. The election of the fleet's holder is in election.go.
package lease
