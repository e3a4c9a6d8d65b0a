package lease

// Times in microseconds.
const (
	// voteLifetime is how long a vote counts. A lease from the fleet's holder lasts less, so that it can grant
	// leases all the time.
	voteLifetime = 7_000_000
	voteInterval = 1_000_000 // between two votes of an elector

	// voteDriftMargin is how much sooner a vote expires for the candidate than for the voter, for any drift of
	// clocks.
	voteDriftMargin = voteLifetime * maxClockDrift * 2

	// electionTimeout is how long a candidate that is not elected is voted for: the electors must come to agree on
	// another.
	electionTimeout        = 4_000_000
	avoidCandidateDuration = 6_000_000 // of a candidate that does not answer
)

const (
	// maxUnansweredVotes in a row count as votes: what follows asks for a stamp only, so that the votes expire soon
	// if the candidate is lost.
	maxUnansweredVotes = 2
	// maxUnansweredCandidate is how many votes in a row a candidate may leave unanswered before it is avoided.
	maxUnansweredCandidate = 8
)

// elector is a router's part in electing the fleet's holder.
type elector struct {
	// The candidate that it votes for.
	candidate            int    // NoRank: none yet
	candidateSince       int64  // when it was chosen, or last known to be elected
	candidateIncarnation uint32 // that has the vote; 0: none has
	candidateStamp       uint32 // of the candidate's last answer; 0: none
	voteExpiresAt        int64  // by the own clock
	unansweredVotes      int    // in a row
	nextVoteAt           int64
	avoided              AvoidList // candidates that do not answer

	// The router that has last announced that it is elected.
	electedHolder int // NoRank: none
	announcedAt   int64
}

func newElector() *elector {
	return &elector{candidate: NoRank, electedHolder: NoRank, avoided: AvoidList{}}
}

// noteElected notes that a router is elected at present.
func (e *elector) noteElected(now int64, rank int) {
	e.electedHolder = rank
	e.announcedAt = now
}

// chooseCandidate returns the router to vote for, NoRank if none may have the vote at present. While a vote counts,
// its candidate is kept as long as that may come to be elected; no other gets the vote before it has expired. Then
// it is the router that announces that it is elected or, without one, the elector with the greatest hash.
//
// Only what this router has received itself counts, not who is taken for up, so that parts of a fleet that come
// together again need not wait until they take one another for up.
func (e *elector) chooseCandidate(now int64, electors []int, hash func(rank int) uint64) int {
	e.avoided.Expire(now)
	if e.candidate != NoRank {
		e.reviewCandidate(now)
	}
	if now < e.voteExpiresAt {
		if e.avoided.Contains(e.candidate) || now-e.candidateSince >= electionTimeout {
			return NoRank
		}
		return e.candidate
	}
	chosen := e.preferredCandidate(now, electors, hash)
	if chosen != e.candidate {
		e.candidate = chosen
		e.candidateIncarnation = 0
		e.candidateStamp = 0
		e.unansweredVotes = 0
		e.candidateSince = now
	}
	if now-e.candidateSince >= electionTimeout { // the same once more
		e.candidateSince = now
	}
	return chosen
}

// reviewCandidate avoids the candidate if it does not answer, and notes that it is elected if it is.
func (e *elector) reviewCandidate(now int64) {
	if e.unansweredVotes >= maxUnansweredCandidate && !e.avoided.Contains(e.candidate) {
		e.avoided[e.candidate] = now + avoidCandidateDuration
	}
	if e.candidate == e.electedHolder && now-e.announcedAt < electionTimeout {
		e.candidateSince = e.announcedAt
	}
}

// preferredCandidate is the router to vote for where no vote counts any more; NoRank if all are avoided.
func (e *elector) preferredCandidate(now int64, electors []int, hash func(rank int) uint64) int {
	isElected := e.electedHolder != NoRank && now-e.announcedAt < voteLifetime
	if isElected && !e.avoided.Contains(e.electedHolder) {
		return e.electedHolder
	}
	return firstByHash(electors, hash, func(rank int) bool { return !e.avoided.Contains(rank) })
}

// ballot holds the votes that a router has received as a candidate.
type ballot struct {
	voteExpiresAt map[int]int64 // by elector, by the own clock
}

// electedUntil is the time until which more than half of so many electors have voted for this router; 0 if they have
// not.
func (b *ballot) electedUntil(now int64, electors int) int64 {
	var expirations []int64
	for _, expiresAt := range b.voteExpiresAt {
		if expiresAt > now {
			expirations = append(expirations, expiresAt)
		}
	}
	return MajorityUntil(expirations, electors)
}

// record books an elector's vote.
func (b *ballot) record(elector int, expiresAt int64) {
	b.voteExpiresAt[elector] = max(b.voteExpiresAt[elector], expiresAt)
}

// electedUntil is the time until which this router is elected as the fleet's holder; 0 if it is not.
func (n *Node) electedUntil(now int64) int64 {
	return n.ballot.electedUntil(now, len(n.options.Topology.Electors))
}

// isElected reports whether this router holds the fleet.
func (n *Node) isElected(now int64) bool { return n.electedUntil(now) > now }

// stamp is a time of this process in units of TermUnit. It overflows after 49 days.
func (n *Node) stamp(now int64) uint32 { return uint32((now - n.startedAt) / TermUnit) }

// mayVote reports whether all votes that a process before this one may have given have expired: they are forgotten.
func (n *Node) mayVote(now int64) bool { return now-n.startedAt >= voteLifetime+voteDriftMargin }

// castVote votes for this elector's candidate. If this router is elected itself, it announces that first.
func (n *Node) castVote(now int64) {
	if n.isElected(now) {
		n.elector.noteElected(now, n.options.Rank)
		n.announceElected(now)
	}
	topology := &n.options.Topology
	hash := func(rank int) uint64 { return RendezvousHash(topology.fleetLevel(), rank) }
	switch candidate := n.elector.chooseCandidate(now, topology.Electors, hash); candidate {
	case NoRank:
	case n.options.Rank:
		n.voteForSelf(now)
	default:
		n.voteFor(now, candidate)
	}
}

// voteForSelf books this elector's vote for itself, unless the vote for another incarnation still counts.
func (n *Node) voteForSelf(now int64) {
	e := n.elector
	if !n.mayVote(now) || e.candidateIncarnation != n.options.Incarnation && now < e.voteExpiresAt {
		return
	}
	e.candidateIncarnation = n.options.Incarnation
	e.voteExpiresAt = now + voteLifetime
	n.ballot.record(n.options.Rank, e.voteExpiresAt)
}

// voteFor sends another router this elector's vote or, where it may not vote or has no stamp of the candidate to
// echo, asks for a stamp.
func (n *Node) voteFor(now int64, candidate int) {
	e := n.elector
	m := Message{Kind: KindVote}
	hasStamp := e.candidateStamp != 0 && e.candidateIncarnation != 0
	if n.mayVote(now) && hasStamp && e.unansweredVotes < maxUnansweredVotes {
		m.Stamp = e.candidateStamp
		m.CandidateIncarnation = e.candidateIncarnation
		e.voteExpiresAt = now + voteLifetime
		n.Counts.VotesSent++
	}
	e.unansweredVotes++
	n.send(candidate, m)
}

// announceElected tells all other electors that this router is elected: so those that were cut off learn it, and
// name it to lessees that ask them.
func (n *Node) announceElected(now int64) {
	for _, rank := range n.options.Topology.Electors {
		if rank != n.options.Rank {
			n.send(rank, Message{Kind: KindVoteAck, Stamp: n.stamp(now), IsElected: true})
		}
	}
}

// handleVote books a vote for this router and answers with a stamp for the next one. A vote counts from the stamp
// that it echoes, which is older than the vote, so it expires here before it does for the voter.
func (n *Node) handleVote(now int64, from int, m *Message) {
	age := int64(n.stamp(now)-m.Stamp) * TermUnit
	isForThisProcess := m.CandidateIncarnation == n.options.Incarnation && m.Stamp != 0
	if isForThisProcess && age >= 0 && age < voteLifetime {
		n.ballot.record(from, now-age-TermUnit+voteLifetime-voteDriftMargin)
	}
	stamp := n.stamp(now)
	if stamp == 0 {
		return // 0 is no stamp: the next vote will be answered
	}
	n.send(from, Message{Kind: KindVoteAck, Stamp: stamp, IsElected: n.isElected(now)})
}

// handleVoteAck takes in a candidate's answer with the stamp that the next vote echoes, and whether it is elected.
func (n *Node) handleVoteAck(now int64, from int, m *Message) {
	e := n.elector
	if m.IsElected {
		e.noteElected(now, from)
	}
	if from != e.candidate {
		return
	}
	e.unansweredVotes = 0
	if e.candidateIncarnation != 0 {
		if m.Incarnation != e.candidateIncarnation && now < e.voteExpiresAt {
			e.candidateStamp = 0 // the vote was for the process before: it must expire first
			return
		}
		if m.Incarnation == e.candidateIncarnation && m.Stamp-e.candidateStamp > 1<<31 {
			return // an older stamp, overtaken by a newer one
		}
	}
	e.candidateIncarnation = m.Incarnation
	e.candidateStamp = m.Stamp
}
