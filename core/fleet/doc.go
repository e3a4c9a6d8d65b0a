// Package fleet has the state that the routers of a fleet share: which routers are up, limits on the sum of what all
// routers have in use, and verdicts on servers. It does no I/O and reads no clock. Times are in microseconds of the
// router's own clock. The zero of this clock is arbitrary, and the clock never runs backwards. Random numbers come from
// a seed.
//
// # Membership
//
// Each router probes one other router at a time, first directly and then indirectly through others. It attaches
// membership updates to the datagrams that it sends: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent
// infection-style process group membership protocol", DSN 2002. A router that misses acks of its own probes takes
// longer to suspect others. A suspicion that others confirm ends sooner: A. Dadgar, J. Phillips, J. Currey, "Lifeguard:
// local health awareness for more accurate failure detection", DSN-W 2018. A router that has received a datagram from a
// member within the last probeInterval rejects updates from others that this member is suspect or dead.
//
// # Limits
//
// Each configured router, whether it is up or not, has a floor: a part of the limit that it may always use without a
// lease. The rest of the limit is the pool. One router, the holder, grants leases of the pool to the other routers, its
// lessees. (With Options.LeaseTree, a tree of holders leases the pool instead. See package lease, which has a guarantee
// of its own.) The following holds for any number of partitions of the fleet, and for datagrams that are lost, delayed
// or duplicated:
//
//   - The sum of all floors and leases never exceeds the limit, by any amount or for any time, also after a crash,
//     while the fleet is partitioned, and after a partition has healed. Work that starts under a lease may outlast the
//     lease if it takes longer than Limit.ExpiryMargin. Work that is still in progress when its lease expires can make
//     the amount in use exceed the limit until the work ends.
//   - While the fleet is partitioned, each router has its floor. The partition with more than half of all routers also
//     has the pool. In fleets of 15 routers, the pool is available there within RecoveryTime after the fleet was
//     partitioned. In fleets of 300 routers, it can take up to 18 s after a partition has healed. When the holder dies,
//     the pool is available again within RecoveryTime in fleets of 15 routers, and within 18 s in fleets of 300. Once
//     the pool is available, at least 60% of it is leased at any time (tests check the mean over 2 s). The rest can be
//     unused while a router that joins waits until leases of others expire or shrink. If half of the routers or more
//     are down, only the floors are available.
//
// The guarantee assumes that the rates of two clocks differ by at most maxClockDrift, and that the incarnation of a
// router grows with each restart. It also assumes that no process is paused after it has acquired a unit of a limit and
// before it starts the work for that unit. A process that is paused at this point can start the work after its lease
// has expired.
//
// Correctness: a holder grants leases only while more than half of all routers have voted for it, and no lease that
// expires later than those votes. A voter votes for no other holder while its vote is valid. At the holder, the
// lifetime of a vote counts from the holder's own earlier timestamp, which the vote echoes. The vote therefore expires
// at the holder before it does at the voter. Any two majorities have a voter in common, and that voter does not vote
// for the second holder before its vote for the first has expired. A router counts the lifetime of a lease from the
// time at which it sent its request. The holder counts the lifetime from the time of the grant, which is later. The
// lease therefore expires at the router before it does at the holder. A router that starts has no record of its earlier
// votes, so it casts none for the lifetime of a vote.
//
// # Verdicts
//
// Routers report servers that fail or are overloaded, and eject servers that routers of at least two sites report. See
// HealthReports.
//
// # Files
//
// node.go has the state of a router and dispatches received datagrams. The wire format is in datagram.go and
// lease_messages.go. The membership is in membership.go, probing.go, suspicion.go and dissemination.go. The limits are
// in limits.go, with limit_state.go, limit_lessee.go and limit_holder.go for a single holder and lease_tree.go for a
// tree. The verdicts are in health_reports.go and ejection.go.
package fleet
