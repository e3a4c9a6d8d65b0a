package lease

import "slices"

// Times in microseconds.
const (
	voteLifetime = 7_000_000 // more than a lease from the fleet's holder lasts, so that it can grant those all the time
	voteInterval = 1_000_000

	electionTimeout        = 4_000_000 // after which a candidate that is not elected gets no further vote: the electors must come to agree on another
	maxVotesUnanswered     = 2         // in a row: further ones are none, so that they end soon if the candidate is lost
	avoidCandidateDuration = 6_000_000 // of one that does not answer
)

// elector is a router's part in electing the fleet's holder.
type elector struct {
	candidate            int    // whom it votes for; NoRank: none yet
	candidateSince       int64  // when it was chosen, or was elected last
	candidateIncarnation uint32 // that has its vote; 0: none has
	voteExpiresAt        int64  // when its vote ends
	candidateStamp       uint32 // of the candidate's last answer; 0: none
	unansweredVotes      int
	avoidedUntil         map[int]int64
	electedHolder        int // who told of late that it is elected; NoRank: none
	electedSeenAt        int64
	nextVoteAt           int64
}

func newElector() *elector {
	return &elector{candidate: NoRank, electedHolder: NoRank, avoidedUntil: map[int]int64{}}
}

// chooseCandidate keeps the candidate while a vote for it counts; nobody where that is of no use any more. Otherwise it takes the one that tells that it is
// elected, or else the one with the greatest hash. Only what this router has seen itself counts, so that parts that come together again need not wait until they
// take one another for up.
func (e *elector) chooseCandidate(now int64, electors []int, hash func(rank int) uint64) int {
	for rank, until := range e.avoidedUntil {
		if now >= until {
			delete(e.avoidedUntil, rank)
		}
	}
	usable := func(rank int) bool { return e.avoidedUntil[rank] == 0 }
	if e.candidate != NoRank && e.unansweredVotes >= maxUnanswered && e.avoidedUntil[e.candidate] == 0 {
		e.avoidedUntil[e.candidate] = now + avoidCandidateDuration
	}
	if e.candidate != NoRank && e.candidate == e.electedHolder && now-e.electedSeenAt < electionTimeout {
		e.candidateSince = e.electedSeenAt
	}
	if now < e.voteExpiresAt {
		if usable(e.candidate) && now-e.candidateSince < electionTimeout {
			return e.candidate
		}
		return NoRank // its vote must end first, and is not given anew
	}
	best := NoRank
	if e.electedHolder != NoRank && now-e.electedSeenAt < voteLifetime && usable(e.electedHolder) {
		best = e.electedHolder
	} else {
		for _, rank := range electors {
			if usable(rank) && (best == NoRank || hash(rank) > hash(best)) {
				best = rank
			}
		}
	}
	if best != e.candidate {
		e.candidate, e.candidateIncarnation, e.candidateStamp, e.unansweredVotes = best, 0, 0, 0
		e.candidateSince = now
	}
	if now-e.candidateSince >= electionTimeout { // the same once more
		e.candidateSince = now
	}
	return best
}

// ballot counts the votes that a router has received as a candidate.
type ballot struct {
	voteExpiresAt map[int]int64 // by elector: until when its vote counts, by the own clock
}

// electedUntil is until when more than half of so many electors have voted for this router; 0: they have not.
func (b *ballot) electedUntil(now int64, electors int) int64 {
	var ends []int64
	for _, until := range b.voteExpiresAt {
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
