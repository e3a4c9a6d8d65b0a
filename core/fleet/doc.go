// Package fleet keeps what the routers of a fleet must keep together: which of them are up, limits on what all of
// them do at once, and verdicts on servers. It does no I/O and reads no clock: times are microseconds of the
// router's own clock, which may stand at anything but never runs backwards. Random numbers come from a seed.
//
// # Membership
//
// Each router probes one other at a time, directly and then by way of others, and sends membership updates with
// whatever it sends next: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent infection-style process
// group membership protocol", DSN 2002. A router that misses answers itself grows slow to suspect others, and a
// suspicion that others confirm ends sooner: A. Dadgar, J. Phillips, J. Currey, "Lifeguard: local health awareness
// for more accurate failure detection", DSN-W 2018. A datagram that was received of late from a router itself
// overrides any update about it.
//
// # Limits
//
// A limit is split into floors, one for each router of the settings whether up or not, and a pool, out of which one
// router, the holder, grants leases to the others, its lessees. (With Options.LeaseTree the pool is leased down a
// tree of holders instead: see package lease, which has a guarantee of its own.) The guarantee, for any number of
// partitions of the fleet and any datagrams lost, late or doubled:
//
//   - The floors and all leases never pass the limit: over by 0 of it for 0 ms after a cut, a crash or a heal. What
//     had been begun under a lease may outlast it; a user that needs more than Limit.ExpiryMargin for that passes
//     the limit by what is still in flight then, for as long.
//   - While the fleet is cut, each router has its floor. The partition with more than half of all routers has the
//     pool besides, after RecoveryTime at the latest in fleets of 15 (at 300 up to 18 s were seen after a heal). A
//     pool whose holder dies is back after that time. Of a pool that is back, six tenths or more are leased at any
//     time: what a router that joins is to have must come back first from those that have it. With half of the
//     routers down or more there are floors alone.
//
// It assumes that the rates of two clocks differ by maxClockDrift at most, that a restarted router has a greater
// incarnation, and that no process is paused between acquiring from a limit and beginning what it acquired for: one
// that is begins one thing late.
//
// Why it holds: a holder grants leases only while more than half of all routers have voted for it, and none that
// lasts longer than those votes count. A voter gives no other its vote while one counts. The holder counts a vote
// from its own earlier stamp, which the vote echoes, so the vote expires for the holder before it does for the
// voter. Two majorities share a voter, and that one gives the second holder no vote before its vote for the first
// has expired. A router counts a lease from the time at which it sent its request, the holder from the time at
// which it granted it, which is later. A router that starts has forgotten its votes, and gives none for the
// lifetime of a vote.
//
// # Verdicts
//
// Routers report servers whose answers fail, and eject those that routers of several sites report: HealthReports.
//
// # Files
//
// node.go has a router's part and dispatches what it receives; datagram.go and lease_messages.go the wire format;
// membership.go, probing.go, suspicion.go and dissemination.go the membership; limits.go the limits, with
// limit_state.go, limit_lessee.go and limit_holder.go for a single holder and lease_tree.go for a tree;
// health_reports.go and ejection.go the verdicts.
package fleet
