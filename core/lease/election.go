package lease

// Times in microseconds.
const (
	// voteLifetime is how long a vote is valid. It is longer than a lease from the fleet's holder, so that the holder
	// can grant leases without interruption.
	voteLifetime = 7_000_000
	voteInterval = 1_000_000 // time between two votes of an elector

	// voteDriftMargin is subtracted from the lifetime of a vote at the candidate. With any clock drift up to
	// maxClockDrift, the vote therefore expires at the candidate before it expires at the voter.
	voteDriftMargin = voteLifetime * maxClockDrift * 2

	// electionTimeout is how long an elector votes for a candidate that is not elected. After that it lets its vote
	// expire, so that the electors can agree on another candidate.
	electionTimeout        = 4_000_000
	avoidCandidateDuration = 6_000_000 // how long a candidate that does not respond is avoided
)

const (
	// maxUnansweredVotes is the number of unanswered messages in a row after which further messages carry no vote and
	// only request a timestamp. The vote of an elector therefore expires soon if its candidate is lost.
	maxUnansweredVotes = 2
	// maxUnansweredBeforeAvoid is how many messages in a row may stay unanswered before the candidate is avoided.
	maxUnansweredBeforeAvoid = 8
)

// elector is the state of a router as an elector of the holder of the fleet.
type elector struct {
	// The candidate for which the elector votes.
	candidate            int    // rank of the candidate; NoRank: none yet
	candidateSince       int64  // time at which the candidate was chosen or last known to be elected
	candidateIncarnation uint32 // incarnation in the candidate's last response; votes are for it; 0: none yet
	candidateTimestamp   uint32 // timestamp in the candidate's last response; 0: none
	voteExpiresAt        int64  // time at which the latest vote expires by the clock of this router
	unansweredVotes      int    // unanswered messages in a row to the candidate, with or without a vote
	nextVoteAt           int64
	avoided              AvoidList // candidates that do not respond

	// The router that last announced that it is elected.
	electedHolder int   // rank of that router; NoRank: none
	announcedAt   int64 // time at which its latest announcement was recorded
}

func newElector() *elector {
	return &elector{candidate: NoRank, electedHolder: NoRank, avoided: AvoidList{}}
}

// recordElected records that a router is elected at present.
func (e *elector) recordElected(now int64, rank int) {
	e.electedHolder = rank
	e.announcedAt = now
}

// chooseCandidate returns the router to vote for, NoRank if no vote may be cast at present.
//
// While a vote is valid, it returns the candidate of that vote, or NoRank if the candidate does not respond or was not
// elected within electionTimeout. It returns no other router before the vote has expired. Once no vote is valid, it
// returns the router that has announced that it is elected. If there is none, it returns the elector with the greatest
// hash. It skips avoided routers in both cases.
//
// The choice depends only on messages that this router has received itself, not on which routers are considered up.
// After a partition has healed, electors therefore need not wait until they consider one another up.
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
		e.candidateTimestamp = 0
		e.unansweredVotes = 0
		e.candidateSince = now
	}
	if now-e.candidateSince >= electionTimeout { // the same candidate is tried again
		e.candidateSince = now
	}
	return chosen
}

// reviewCandidate adds the candidate to the avoid list if the candidate does not respond. If the candidate has
// announced within the last electionTimeout that it is elected, reviewCandidate sets candidateSince to the time of that
// announcement.
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

// receivedVotes has the votes that a router has received as a candidate.
type receivedVotes struct {
	voteExpiresAt map[int]int64 // by rank of the elector: time at which its vote expires, by the clock of this router
}

// electedUntil returns the time (us) until which votes of more than half of the electors for this router are valid, 0
// if there are fewer.
func (v *receivedVotes) electedUntil(now int64, electors int) int64 {
	var expirations []int64
	for _, expiresAt := range v.voteExpiresAt {
		if expiresAt > now {
			expirations = append(expirations, expiresAt)
		}
	}
	return MajorityUntil(expirations, electors)
}

// record records the vote of an elector.
func (v *receivedVotes) record(elector int, expiresAt int64) {
	v.voteExpiresAt[elector] = max(v.voteExpiresAt[elector], expiresAt)
}

// electedUntil returns the time (us) until which this router is elected as the holder of the fleet, 0 if it is not
// elected.
func (n *Node) electedUntil(now int64) int64 {
	return n.receivedVotes.electedUntil(now, len(n.options.Topology.Electors))
}

// isElected reports whether this router is elected as the holder of the fleet.
func (n *Node) isElected(now int64) bool { return n.electedUntil(now) > now }

// timestamp returns the time since this process started in units of TermUnit. The timestamp wraps around after 49 days.
// This has no effect, because only differences of timestamps are used.
func (n *Node) timestamp(now int64) uint32 { return uint32((now - n.startedAt) / TermUnit) }

// mayVote reports whether all votes of the previous incarnation of this router have certainly expired. This process has
// no record of those votes.
func (n *Node) mayVote(now int64) bool { return now-n.startedAt >= voteLifetime+voteDriftMargin }

// castVote votes for the candidate of this elector. If this router is itself elected, castVote first announces this to
// the other electors.
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

// voteForSelf records the vote of this elector for itself. It does nothing if this elector may not vote yet, or if a
// vote for another incarnation is still valid.
func (n *Node) voteForSelf(now int64) {
	e := n.elector
	if !n.mayVote(now) || e.candidateIncarnation != n.options.Incarnation && now < e.voteExpiresAt {
		return
	}
	e.candidateIncarnation = n.options.Incarnation
	e.voteExpiresAt = now + voteLifetime
	n.receivedVotes.record(n.options.Rank, e.voteExpiresAt)
}

// voteFor sends the vote of this elector to another router. In three cases the message carries no vote and only
// requests a timestamp: this elector may not vote yet, it has no timestamp of the candidate to echo, or
// maxUnansweredVotes messages to the candidate are unanswered.
func (n *Node) voteFor(now int64, candidate int) {
	e := n.elector
	m := Message{Kind: KindVote}
	hasTimestamp := e.candidateTimestamp != 0 && e.candidateIncarnation != 0
	if n.mayVote(now) && hasTimestamp && e.unansweredVotes < maxUnansweredVotes {
		m.Timestamp = e.candidateTimestamp
		m.CandidateIncarnation = e.candidateIncarnation
		e.voteExpiresAt = now + voteLifetime
		n.Counts.VotesSent++
	}
	e.unansweredVotes++
	n.send(candidate, m)
}

// announceElected informs all other electors that this router is elected. Electors that were partitioned learn this
// from the announcement. They can then name this router to lessees that send them requests.
func (n *Node) announceElected(now int64) {
	for _, rank := range n.options.Topology.Electors {
		if rank != n.options.Rank {
			n.send(rank, Message{Kind: KindVoteAck, Timestamp: n.timestamp(now), IsElected: true})
		}
	}
}

// handleVote records a vote for this router and responds with a timestamp for the next vote. The lifetime of a vote
// counts from the timestamp that the vote echoes. The timestamp is older than the vote, so the vote expires here before
// it does at the voter.
func (n *Node) handleVote(now int64, from int, m *Message) {
	age := int64(n.timestamp(now)-m.Timestamp) * TermUnit
	isForThisProcess := m.CandidateIncarnation == n.options.Incarnation && m.Timestamp != 0
	if isForThisProcess && age >= 0 && age < voteLifetime {
		n.receivedVotes.record(from, now-age-TermUnit+voteLifetime-voteDriftMargin)
	}
	timestamp := n.timestamp(now)
	if timestamp == 0 {
		return // a timestamp of 0 would mean no timestamp, so only the next vote is answered
	}
	n.send(from, Message{Kind: KindVoteAck, Timestamp: timestamp, IsElected: n.isElected(now)})
}

// handleVoteAck records whether the sender is elected and, if the sender is the candidate of this elector, the
// timestamp that the next vote echoes.
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
			e.candidateTimestamp = 0 // the vote is for the previous incarnation and must expire first
			return
		}
		if m.Incarnation == e.candidateIncarnation && m.Timestamp-e.candidateTimestamp > 1<<31 {
			return // the message is older than the recorded timestamp, because messages were reordered
		}
	}
	e.candidateIncarnation = m.Incarnation
	e.candidateTimestamp = m.Timestamp
}
