// Package lease keeps one number that all routers of a fleet must not exceed together, such as requests in flight
// to an origin, by a tree of leases. No router exchanges messages with more than its group and its children,
// however large the fleet. It does no I/O and reads no clock: times are microseconds of the router's own clock,
// which may stand at anything but never runs backwards. Random numbers come from a seed.
//
// # The tree
//
// A limit is split into floors, one for each router that there may be, and a pool. Routers form groups by their
// ranks (Topology): the smallest groups are blocks of neighbouring ranks, several of these form a larger one, and
// all of them the fleet. In each group one router, the holder, leases a part of the pool from the holder of the
// group above it, and grants leases of that part to the members of its group, or to the holders of the groups in
// it: these are its lessees. The holder of the fleet has the whole pool. J. Dean's and Y. Sobel's Doorman (2016)
// has such a tree of servers; here it needs no store.
//
// # Guarantee
//
// For any number of partitions of the fleet, any messages lost, late, doubled or out of order, and any crashes and
// restarts:
//
//   - The floors and what all routers have on lease never pass the limit: over by 0 of it for 0 ms. What was begun
//     under a lease may outlast it, unless it takes less than Limit.ExpiryMargin.
//   - Each router has its floor always. Routers that reach the fleet's holder through their groups' holders have
//     the pool besides. It is in use again RecoveryTime after any holder, group or part of the fleet was lost,
//     where more than half of the electors can reach one another. A partition without the fleet's holder uses what
//     it had on lease until that expires, and its floors from then on.
//   - A router that joins, leaves or restarts changes nothing for others but their quotas. Routers need not agree
//     on who is up, nor on who holds a group.
//
// It assumes that the rates of two clocks differ by maxClockDrift at most, that a restarted router has a greater
// incarnation, that Topology and Limit are the same everywhere, and that no process is paused between acquiring
// from a limit and beginning what it acquired for: one that is begins one thing late.
//
// # Why it holds
//
// Two holders of one group do no harm, as each grants only what it has on lease itself: it grants a lease only if
// that expires before one of its own leases does, and only if all leases that it has out then are together no more
// than that one. So what is out below a holder never passes the greatest lease that it has at the time, and that is
// what the holder above counts for it. A holder that restarts has forgotten what it granted, so the one above
// counts what the process before it had apart, until that has expired.
//
// Only the holder of the fleet must be the only one. It grants leases while more than half of the electors have
// voted for it, and none that expires later than those votes. A vote echoes the holder's own stamp and counts from
// there, so it expires for the holder before it does for the voter, who gives no other vote meanwhile; two
// majorities share a voter. A voter that starts has forgotten its votes, and gives none for the lifetime of a vote
// (L. Lamport, "The part-time parliament", ACM Transactions on Computer Systems 16(2), 1998; C. Gray, D. Cheriton,
// "Leases", SOSP 1989).
//
// # Files
//
// The node of a router is in node.go and quota.go; requests and grants in leasing.go, with the state of a lessee in
// lessee.go and of a holder in holder.go; the election of the fleet's holder in election.go.
package lease
