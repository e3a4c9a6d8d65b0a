// Package lease keeps one number that all routers of a fleet hold together, such as fills at the head office at once, by a tree of leases: no router
// exchanges messages with more than its group and its children, however large the fleet. It does no I/O and reads no clock; times are microseconds of the
// own clock, which may stand at anything but never runs backwards. Random numbers come from a seed.
//
// # The tree
//
// A limit is split into floors, one for each router that there may be, and a pool. Routers form groups by their ranks (Topology): the smallest groups are
// blocks of neighbouring ranks, several of these form a larger one, and all of them the fleet. In each group one router, the holder, leases a part of
// the pool from the holder of the group above, and grants leases of that part to the members of its group, or to the holders of the groups in it. The
// holder of the fleet has the whole pool. J. Dean's and Y. Sobel's Doorman (2016) has such a tree of servers; here it needs no store.
//
// # Guarantee
//
// For any number of parts that the fleet falls into, any datagrams lost, late, doubled or out of order, and any crashes and restarts:
//
//   - The floors and what all routers have on lease never pass the limit: over by 0 of it for 0 ms. What was begun under a lease may outlast it, unless it
//     takes less than Spare.
//   - Each router has its floor always. Routers that reach the fleet's holder through their groups' holders have the pool besides; it is in use again RecoveryTime
//     after any holder, group or part of the fleet was lost, where more than half of the electors can reach one another. A part that is cut off from
//     the fleet's holder uses what it had on lease until that ends, and its floors from then on.
//   - A router that joins, leaves or restarts changes nothing for others but their share. Routers need not agree on who is up, nor on who holds a group.
//
// It assumes that clocks run at rates within drift of one another, that a restarted router has a greater incarnation, that Topology and Limit are the same
// everywhere, and that no process stands still between taking from a limit and beginning what it took for: one that does begins one thing late.
//
// # Why it holds
//
// Two holders of one group do no harm, as each grants only what it has itself on lease: a holder grants a lease only where it ends before a lease of its own
// does, and only where all leases that it has out then are together no more than that one. So what is out below a holder never passes the greatest lease that
// it has at the time, and that is what the holder above counts for it. A holder that restarts has forgotten what it granted, so the one above counts what
// the process before it had apart, until that has ended.
//
// Only the holder of the fleet must be the only one. It grants while more than half of the electors have voted for it, and nothing that ends later than those
// votes. A vote echoes the holder's own stamp and is reckoned from there, so it ends for the holder before it ends for the voter, who gives no other vote
// meanwhile; two majorities share a voter. A voter that starts has forgotten its votes, and gives none for the lifetime of a vote (L. Lamport, "The part-time
// parliament", 1998; C. Gray, D. Cheriton, "Leases", 1989).
package lease
