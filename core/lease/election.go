package lease

// Times in microseconds.
const (
	// voteLifetime is how long a vote is valid. It is longer than a lease from the fleet's holder, so that the holder
	// can grant leases without interruption.
	voteLifetime = 7_000_000
	voteInterval = 1_000_000 // between two votes of an elector

	// voteDriftMargin is subtracted from the lifetime of a vote at the candidate, so that the vote expires there before
	// it expires at the voter for any clock drift up to maxClockDrift.
	voteDriftMargin = voteLifetime * maxClockDrift * 2

	// electionTimeout is how long an elector votes for a candidate that is not elected. After that it lets its vote
	// expire, so that the electors can agree on another candidate.
	electionTimeout        = 4_000_000
	avoidCandidateDuration = 6_000_000 // for a candidate that does not answer
)

const (
	// maxUnansweredVotes is how many messages in a row carry a vote without an answer. The messages after them only
	// request a stamp, so that the vote of an elector expires soon if its candidate is lost.
	maxUnansweredVotes = 2
	// maxUnansweredBeforeAvoid is how many messages in a row may stay unanswered before the candidate is avoided.
	maxUnansweredBeforeAvoid = 8
)

// elector is the state with which a router votes for the holder of the fleet.
type elector struct {
	// The candidate for which it votes.
	candidate            int    // NoRank: none yet
	candidateSince       int64  // time at which it was chosen or last known to be elected
	candidateIncarnation uint32 // that the vote is for; 0: no vote
	candidateStamp       uint32 // in the candidate's last answer; 0: none
	voteExpiresAt        int64  // by the clock of this router
	unansweredVotes      int    // in a row
	nextVoteAt           int64
	avoided              AvoidList // candidates that do not answer

	// The router that last announced that it is elected.
	electedHolder int // NoRank: none
	announcedAt   int64
}

func newElector() *elector {
	return &elector{candidate: NoRank, electedHolder: NoRank, avoided: AvoidList{}}
}

// recordElected records that a router is elected at present.
func (e *elector) recordElected(now int64, rank int) {
	e.electedHolder = rank
	e.announcedAt = now
}

// chooseCandidate returns the router to vote for, NoRank if no vote may be cast at present. While a vote is valid, it
// returns the candidate of that vote, or NoRank if the candidate does not answer or was not elected within
// electionTimeout. It never returns another router before the vote has expired. After that it returns the router that
// has announced that it is elected or, if there is none, the elector with the greatest hash. It skips avoided routers.
//
// The choice depends only on messages that this router has received itself, not on which routers are considered up.
// When partitions merge, electors therefore need not wait until they consider one another up.
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
	if now-e.candidateSince >= electionTimeout { // the same candidate is tried again
		e.candidateSince = now
	}
	return chosen
}

// reviewCandidate adds the candidate to the avoid list if it does not answer. If the candidate has announced within
// electionTimeout that it is elected, reviewCandidate sets candidateSince to the time of that announcement.
func (e *elector) reviewCandidate(now int64) {
	if e.unansweredVotes >= maxUnansweredBeforeAvoid && !e.avoided.Contains(e.candidate) {
		e.avoided[e.candidate] = now + avoidCandidateDuration
	}
	if e.candidate == e.electedHolder && now-e.announcedAt < electionTimeout {
		e.candidateSince = e.announcedAt
	}
}

// preferredCandidate returns the router to vote for once no vote is valid, NoRank if all electors are avoided.
func (e *elector) preferredCandidate(now int64, electors []int, hash func(rank int) uint64) int {
	isElected := e.electedHolder != NoRank && now-e.announcedAt < voteLifetime
	if isElected && !e.avoided.Contains(e.electedHolder) {
		return e.electedHolder
	}
	return firstByHash(electors, hash, func(rank int) bool { return !e.avoided.Contains(rank) })
}

// ballot holds the votes that a router has received as a candidate.
type ballot struct {
	voteExpiresAt map[int]int64 // by rank of the elector, in the time of this router's clock
}

// electedUntil returns the time (us) until which votes of more than half of the electors for this router are valid, 0
// if there are fewer.
func (b *ballot) electedUntil(now int64, electors int) int64 {
	var expirations []int64
	for _, expiresAt := range b.voteExpiresAt {
		if expiresAt > now {
			expirations = append(expirations, expiresAt)
		}
	}
	return MajorityUntil(expirations, electors)
}

// record records the vote of an elector.
func (b *ballot) record(elector int, expiresAt int64) {
	b.voteExpiresAt[elector] = max(b.voteExpiresAt[elector], expiresAt)
}

// electedUntil returns the time (us) until which this router is elected as the holder of the fleet, 0 if it is not
// elected.
func (n *Node) electedUntil(now int64) int64 {
	return n.ballot.electedUntil(now, len(n.options.Topology.Electors))
}

// isElected reports whether this router is elected as the holder of the fleet.
func (n *Node) isElected(now int64) bool { return n.electedUntil(now) > now }

// stamp returns the time since this process started in units of TermUnit. It overflows after 49 days.
func (n *Node) stamp(now int64) uint32 { return uint32((now - n.startedAt) / TermUnit) }

// mayVote reports whether all votes of the previous incarnation of this router must have expired. This process has no
// record of them.
func (n *Node) mayVote(now int64) bool { return now-n.startedAt >= voteLifetime+voteDriftMargin }

// castVote votes for the candidate of this elector. If this router is itself elected, it announces that first.
func (n *Node) castVote(now int64) {
	if n.isElected(now) {
		n.elector.recordElected(now, n.options.Rank)
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

// voteForSelf records the vote of this elector for itself, unless its vote for another incarnation is still valid.
func (n *Node) voteForSelf(now int64) {
	e := n.elector
	if !n.mayVote(now) || e.candidateIncarnation != n.options.Incarnation && now < e.voteExpiresAt {
		return
	}
	e.candidateIncarnation = n.options.Incarnation
	e.voteExpiresAt = now + voteLifetime
	n.ballot.record(n.options.Rank, e.voteExpiresAt)
}

// voteFor sends the vote of this elector to another router. The message only requests a stamp if this elector may not
// vote, has no stamp of the candidate to echo, or has maxUnansweredVotes unanswered votes.
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

// announceElected informs all other electors that this router is elected. Electors that were partitioned learn it from
// this message and can name this router to lessees that send them requests.
func (n *Node) announceElected(now int64) {
	for _, rank := range n.options.Topology.Electors {
		if rank != n.options.Rank {
			n.send(rank, Message{Kind: KindVoteAck, Stamp: n.stamp(now), IsElected: true})
		}
	}
}

// handleVote records a vote for this router and answers with a stamp for the next vote. The lifetime of a vote counts
// from the stamp that it echoes. The stamp is older than the vote, so the vote expires here before it does at the
// voter.
func (n *Node) handleVote(now int64, from int, m *Message) {
	age := int64(n.stamp(now)-m.Stamp) * TermUnit
	isForThisProcess := m.CandidateIncarnation == n.options.Incarnation && m.Stamp != 0
	if isForThisProcess && age >= 0 && age < voteLifetime {
		n.ballot.record(from, now-age-TermUnit+voteLifetime-voteDriftMargin)
	}
	stamp := n.stamp(now)
	if stamp == 0 {
		return // 0 means no stamp; the next vote is answered
	}
	n.send(from, Message{Kind: KindVoteAck, Stamp: stamp, IsElected: n.isElected(now)})
}

// handleVoteAck records whether the sender is elected and, if the sender is the candidate of this elector, the stamp
// that the next vote echoes.
func (n *Node) handleVoteAck(now int64, from int, m *Message) {
	e := n.elector
	if m.IsElected {
		e.recordElected(now, from)
	}
	if from != e.candidate {
		return
	}
	e.unansweredVotes = 0
	if e.candidateIncarnation != 0 {
		if m.Incarnation != e.candidateIncarnation && now < e.voteExpiresAt {
			e.candidateStamp = 0 // the vote is for the previous incarnation and must expire first
			return
		}
		if m.Incarnation == e.candidateIncarnation && m.Stamp-e.candidateStamp > 1<<31 {
			return // older than the recorded stamp: messages were reordered
		}
	}
	e.candidateIncarnation = m.Incarnation
	e.candidateStamp = m.Stamp
}
