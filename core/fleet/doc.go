// Package fleet keeps what the routers of a fleet must keep together: which of them are up, limits on what all of them do at once, and verdicts on
// servers. It does no I/O and reads no clock; times are microseconds of the own clock, which may stand at anything but never runs backwards. Random
// numbers come from a seed.
//
// # Membership
//
// Each router probes one other at a time, directly and then by way of others, and sends membership updates with whatever it sends next: A. Das,
// I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent infection-style process group membership protocol" (2002). A router that misses answers
// itself grows slow to suspect others, and a suspicion that others confirm ends sooner: A. Dadgar, J. Phillips, J. Currey, "Lifeguard: local health
// awareness for more accurate failure detection" (2018). What was received from a router itself of late overrides any update about it.
//
// # Limits
//
// A limit is split into floors, one for each router of the settings whether up or not, and a pool from which one router, the holder, grants leases.
// The guarantee, for any number of parts that the fleet falls into and any datagrams lost, late or doubled:
//
//   - The floors and all leases never pass the limit: over by 0 of it for 0 ms after a cut, a crash or a heal. What had been begun under a lease may
//     outlast it; a user that needs more than Spare for that passes the limit by what is still out then, for as long.
//   - While cut, each router has its floor; the part that holds more than half of all routers has the pool besides, after RecoveryTime at the latest in
//     fleets of 15 (at 300 up to 18 s were seen after a heal). A pool whose holder dies is back after that time. Of a pool that is back, six tenths
//     or more are leased at any time: what a router that joins is to have must come back first from those that have it. With half of the routers
//     down or more there are floors alone.
//
// It assumes that clocks run at rates within drift of one another, that a restarted router has a greater incarnation, and that no process stands
// still between taking from a limit and beginning what it took for: one that does begins one thing late.
//
// Why: a holder grants leases only while more than half of all routers have voted for it, and none for longer than those votes count. A voter gives
// no other its vote while one counts. The holder reckons a vote from its own earlier stamp, which the vote echoes, so the vote ends for the holder
// before it ends for the voter. Two majorities share a voter, and that one gives the second holder no vote before its vote for the first has ended. A
// router reckons a lease from the time at which it sent its request, the holder from the time at which it granted it, which is later. A router that
// starts has forgotten its votes, and gives none for the lifetime of a vote.
package fleet
