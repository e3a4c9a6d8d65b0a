package fleet

import "spantack/core/lease"

const (
	hintLifetime = 2_000_000 // us, of a holder that another router has named

	maxUnansweredRequests = 4          // in a row, after which a router is avoided as holder
	avoidDuration         = 12_000_000 // us, of a router that does not answer
	maxPendingRequests    = 8          // requests whose leases may still come
)

// request is one for a lease that was sent.
type request struct {
	sequence uint32 // of its datagram
	sentAt   int64  // 0: none was
}

// currentHolder is the holder that has granted this router a lease of late; lease.NoRank if none has.
func (l *limitState) currentHolder(now int64) int {
	if l.grantedAt != 0 && now-l.grantedAt < leaseLifetime {
		return l.holder
	}
	return lease.NoRank
}

// noteHolderHint notes whom another router names as the holder of a limit.
func (n *Node) noteHolderHint(now int64, m *message) {
	if m.limit >= len(n.limits) || m.holder == lease.NoRank || m.holder >= n.options.FleetSize {
		return
	}
	l := n.limits[m.limit]
	l.hintedHolder = m.holder
	l.hintedAt = now
}

// isEligible reports whether a router may be the holder: it is taken for up, and answers.
func (l *limitState) isEligible(rank int) bool { return l.node.IsUp(rank) && !l.avoided.Contains(rank) }

// preferredHolder is the eligible router with the greatest hash, the same at all routers that take the same ones
// for up.
func (l *limitState) preferredHolder() int {
	preferred, greatest := l.node.options.Rank, uint64(0)
	for rank := range l.node.members {
		if hash := lease.RendezvousHash(l.index, rank); hash > greatest && l.isEligible(rank) {
			preferred, greatest = rank, hash
		}
	}
	return preferred
}

// chooseHolder returns the router to vote for and to ask, lease.NoRank while a vote for one that is of no use any
// more has not expired. A holder that grants leases is kept; else it is the one that others name, or the preferred
// one.
func (l *limitState) chooseHolder(now int64) int {
	l.avoided.Expire(now)
	if l.unansweredRequests >= maxUnansweredRequests && l.holder != lease.NoRank { // known sooner than by updates
		l.avoided[l.holder] = now + avoidDuration
		l.unansweredRequests = 0
	}
	target := l.hintedHolder
	if target == lease.NoRank || now-l.hintedAt >= hintLifetime || !l.node.IsUp(target) {
		target = l.preferredHolder()
	}
	if l.retainsHolder(now, target) {
		return l.holder
	}
	if now < l.voteExpiresAt {
		return lease.NoRank
	}
	l.holder = target
	l.holderIncarnation = 0
	l.holderStamp = 0
	l.grantedAt = 0
	l.lastGrantedRequest = 0
	l.unansweredRequests = 0
	return target
}

// retainsHolder reports whether the holder is retained where target would be chosen without one.
func (l *limitState) retainsHolder(now int64, target int) bool {
	if l.holder == lease.NoRank || !l.node.IsUp(l.holder) {
		return false
	}
	if l.holder == target {
		return true
	}
	return l.isEligible(l.holder) && l.currentHolder(now) != lease.NoRank
}

// requestLease asks a holder for what this router wants and, where it may vote and has the holder's stamp to echo,
// votes for it.
func (l *limitState) requestLease(now int64, holder int) {
	m := message{kind: leaseRequestMessage, limit: l.index, amount: l.wanted()}
	mayVoteAnew := l.holderIncarnation != 0 || now >= l.voteExpiresAt
	if l.mayVote(now) && l.holderStamp != 0 && mayVoteAnew {
		m.stamp = l.holderStamp
		m.candidateIncarnation = l.holderIncarnation
		l.voteExpiresAt = now + voteLifetime
		l.node.Counts.VotesSent++
	}
	l.node.send(holder, &m)
	l.requests[l.requestCount%maxPendingRequests] = request{sequence: l.node.sequence, sentAt: now}
	l.requestCount++
	l.unansweredRequests++
}

// handleGrant takes in a lease, or the answer that there is none to be had.
func (l *limitState) handleGrant(now int64, m *message) {
	if m.rank != l.holder {
		return
	}
	l.unansweredRequests = 0
	if l.holderIncarnation != 0 && m.incarnation != l.holderIncarnation && now < l.voteExpiresAt {
		l.holderStamp = 0 // the vote was for the process before: it must expire first
		return
	}
	sentAt, isKnown := l.requestSentAt(m.requestSequence)
	if !isKnown || l.holderIncarnation == m.incarnation && m.requestSequence <= l.lastGrantedRequest {
		return
	}
	l.holderIncarnation = m.incarnation
	l.holderStamp = m.stamp
	l.lastGrantedRequest = m.requestSequence
	if m.term >= minLeaseTerm && m.term <= leaseLifetime {
		l.grantedAt = now
		// The lease counts from when its request was sent, which was before it was granted, and less the clocks'
		// drift: it expires here before it does for the holder.
		l.lease = lease.Allotment{
			Amount:    m.amount,
			ExpiresAt: sentAt + m.term - int64(float64(m.term)*maxClockDrift),
		}
	}
}

// requestSentAt is when the request with that sequence was sent, if it is still known.
func (l *limitState) requestSentAt(sequence uint32) (sentAt int64, isKnown bool) {
	for _, r := range l.requests {
		if r.sentAt != 0 && r.sequence == sequence {
			sentAt, isKnown = r.sentAt, true
		}
	}
	return sentAt, isKnown
}
