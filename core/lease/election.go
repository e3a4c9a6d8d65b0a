package lease

import "slices"

// Times in microseconds.
const (
	voteLifetime = 7_000_000 // more than a lease from the fleet's holder lasts, so that it can grant those all the time
	voteInterval = 1_000_000

	electionTimeout    = 4_000_000 // after which a candidate that is not elected gets no further vote: the electors must come to agree on another
	maxVotesUnanswered = 2         // in a row: further ones are none, so that they end soon if the candidate is lost
	avoidCandidateFor  = 6_000_000 // of one that does not answer
)

// elector is a router's part in electing the fleet's holder.
type elector struct {
	candidate   int    // whom it votes for; Nobody: none yet
	since       int64  // when it was chosen, or was elected last
	incarnation uint32 // that has its vote; 0: none has
	until       int64  // when its vote ends
	stamp       uint32 // of the candidate's last answer; 0: none
	unanswered  int
	avoided     map[int]int64
	elected     int // who told of late that it is elected; Nobody: none
	electedAt   int64
	due         int64
}

func newElector() *elector {
	return &elector{candidate: Nobody, elected: Nobody, avoided: map[int]int64{}}
}

// chooseCandidate keeps the candidate while a vote for it counts; nobody where that is of no use any more. Otherwise it takes the one that tells that it is
// elected, or else the one with the greatest hash. Only what this router has seen itself counts, so that parts that come together again need not wait until they
// take one another for up.
func (e *elector) chooseCandidate(now int64, electors []int, hash func(rank int) uint64) int {
	for rank, until := range e.avoided {
		if now >= until {
			delete(e.avoided, rank)
		}
	}
	usable := func(rank int) bool { return e.avoided[rank] == 0 }
	if e.candidate != Nobody && e.unanswered >= maxUnanswered && e.avoided[e.candidate] == 0 {
		e.avoided[e.candidate] = now + avoidCandidateFor
	}
	if e.candidate != Nobody && e.candidate == e.elected && now-e.electedAt < electionTimeout {
		e.since = e.electedAt
	}
	if now < e.until {
		if usable(e.candidate) && now-e.since < electionTimeout {
			return e.candidate
		}
		return Nobody // its vote must end first, and is not given anew
	}
	best := Nobody
	if e.elected != Nobody && now-e.electedAt < voteLifetime && usable(e.elected) {
		best = e.elected
	} else {
		for _, rank := range electors {
			if usable(rank) && (best == Nobody || hash(rank) > hash(best)) {
				best = rank
			}
		}
	}
	if best != e.candidate {
		e.candidate, e.incarnation, e.stamp, e.unanswered = best, 0, 0, 0
		e.since = now
	}
	if now-e.since >= electionTimeout { // the same once more
		e.since = now
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
