package lease

import "slices"

// Times in microseconds.
const (
	voteLifetime = 7_000_000 // more than a lease from the fleet's holder lasts, so that it can grant those all the time
	voteInterval = 1_000_000
)

// elector is a router's part in electing the fleet's holder.
type elector struct {
	candidate   int    // whom it votes for; nobody: none yet
	incarnation uint32 // that has its vote; 0: none has
	until       int64  // when its vote ends
	stamp       uint32 // of the candidate's last answer; 0: none
	unanswered  int
	avoided     map[int]int64
	elected     int // who told of late that it is elected; nobody: none
	electedAt   int64
	due         int64
}

func newElector() *elector {
	return &elector{candidate: nobody, elected: nobody, avoided: map[int]int64{}}
}

// chooseCandidate keeps the candidate while a vote for it counts; nobody where that is of no use any more. Otherwise it takes the one that tells that it is
// elected, or else the one with the greatest hash.
func (e *elector) chooseCandidate(now int64, electors []int, up func(rank int) bool, hash func(rank int) uint64) int {
	for rank, until := range e.avoided {
		if now >= until {
			delete(e.avoided, rank)
		}
	}
	usable := func(rank int) bool { return up(rank) && e.avoided[rank] == 0 }
	if e.candidate != nobody && e.unanswered >= maxUnanswered && e.avoided[e.candidate] == 0 {
		e.avoided[e.candidate] = now + avoidFor
	}
	if now < e.until {
		if usable(e.candidate) {
			return e.candidate
		}
		return nobody // its vote must end first, and is not given anew
	}
	best := nobody
	if e.elected != nobody && now-e.electedAt < voteLifetime && usable(e.elected) {
		best = e.elected
	} else {
		for _, rank := range electors {
			if usable(rank) && (best == nobody || hash(rank) > hash(best)) {
				best = rank
			}
		}
	}
	if best != e.candidate {
		e.candidate, e.incarnation, e.stamp, e.unanswered = best, 0, 0, 0
	}
	return best
}

// ballot counts the votes that a router has received as a candidate.
type ballot struct {
	votes map[int]int64 // by elector: until when its vote counts, by the own clock
}

// electedUntil is until when more than half of so many electors have voted for this router; 0: they have not.
func (b *ballot) electedUntil(now int64, electors int) int64 {
	var ends []int64
	for _, until := range b.votes {
		if until > now {
			ends = append(ends, until)
		}
	}
	majority := electors/2 + 1
	if len(ends) < majority {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-majority]
}
