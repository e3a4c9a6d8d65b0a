package lease

import "testing"

// Guards against a delayed vote that is valid for too long. The lifetime of a vote must count from the candidate's
// timestamp that the vote echoes, not from the arrival of the vote.
func TestVoteLifetimeCountsFromTimestamp(t *testing.T) {
	n, err := New(0, Options{
		Incarnation: 1,
		Topology:    Topology{Routers: 3, Electors: []int{0, 1, 2}},
		Limit:       Limit{Max: 10},
	})
	if err != nil {
		t.Fatal(err)
	}
	stampedAt, now := 10*second, 13*second
	vote := func(from int, candidateIncarnation uint32) (expiresAt int64) {
		n.Receive(now, from, Message{
			Kind: KindVote, Incarnation: 5, CandidateIncarnation: candidateIncarnation, Timestamp: n.timestamp(stampedAt),
		})
		return n.receivedVotes.voteExpiresAt[from]
	}
	if expiresAt := vote(1, 1); expiresAt <= now || expiresAt > stampedAt+voteLifetime {
		t.Errorf("a vote with a timestamp of %d us is valid until %d us", stampedAt, expiresAt)
	}
	if expiresAt := vote(2, 9); expiresAt != 0 {
		t.Errorf("a vote for another incarnation is valid until %d us", expiresAt)
	}
}

// Guards against two elected holders. An elector must not vote for a second candidate before its vote for the first one
// has expired, even if the first one does not respond.
func TestElectorDoesNotVoteForTwoCandidates(t *testing.T) {
	e := newElector()
	electors := []int{0, 1, 2}
	hash := func(rank int) uint64 { return uint64(10 - rank) }
	now := 100 * second
	if got := e.chooseCandidate(now, electors, hash); got != 0 {
		t.Fatalf("candidate %d, want 0, the first by hash", got)
	}
	e.candidateIncarnation = 7
	e.voteExpiresAt = now + voteLifetime
	e.unansweredVotes = maxUnansweredBeforeAvoid
	for at := now; at < e.voteExpiresAt; at += voteInterval {
		if got := e.chooseCandidate(at, electors, hash); got != 0 && got != NoRank {
			t.Fatalf("candidate %d while the vote for 0 is valid", got)
		}
	}
	e.avoided[0] = e.voteExpiresAt + second
	if got := e.chooseCandidate(e.voteExpiresAt, electors, hash); got != 1 {
		t.Errorf("candidate %d after the vote has expired, want 1", got)
	}
}
