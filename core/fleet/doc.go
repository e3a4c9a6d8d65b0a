// Package fleet keeps what the routers of a tier must keep together: who of them is up, and limits on what all of them do at once. It does
// no I/O and reads no clock; times are microseconds of the own clock, which may stand at anything but never runs backwards. Random numbers
// come from a seed.
//
// # Who is up
//
// Each router asks one other at a time whether it is there, by itself and then by way of others, and tells what it found with whatever it
// sends next: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable weakly-consistent infection-style process group membership protocol" (2002). A
// router that misses answers itself grows slow to blame others, and a suspicion that others share ends sooner: A. Dadgar, J. Phillips, J.
// Currey, "Lifeguard: local health awareness for more accurate failure detection" (2018). What was heard from a router itself of late wins
// over any word of it.
//
// # Limits
//
// A limit is split into floors, one for each router of the settings whether up or not, and a pool that one router, the keeper, lends out.
// The guarantee, for any number of parts that the tier falls into and any datagrams lost, late or doubled:
//
//   - The floors and all that is lent never pass the limit: over by 0 of it for 0 ms after a cut, a crash or a heal. What had been begun
//     under a loan may outlast it; a user that needs more than Spare for that passes the limit by what is still out then, for as long.
//   - While cut, each router has its floor; the part that holds more than half of all routers has the pool besides, after Regain at the
//     latest in tiers of 15 (at 300 up to 18 s were seen after a heal). A pool whose keeper dies is back after that time. Of a pool that is back, six tenths or more are lent at any time: what a
//     router that joins is to have must come back first from those that have it. With half of the routers down or more there are floors alone.
//
// It assumes that clocks run at rates within drift of one another, that a restarted router has a greater incarnation, and that no
// process stands still between taking from a limit and beginning what it took for: one that does begins one thing late.
//
// Why: a keeper lends only while more than half of all routers have promised it to vote for no other, and no longer than that promise
// holds. It reckons a promise from its own earlier stamp, which the promise echoes, so the promise ends for the keeper before it ends for
// the voter. Two majorities share a voter, and that one promises the second keeper nothing before its promise to the first has ended. A
// router reckons a loan from the time at which it asked, the keeper from the time at which it lent, which is later. Who starts has
// forgotten what it promised, and promises nothing for the length of a promise.
package fleet
