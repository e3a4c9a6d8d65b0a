package fleet

import "spantack/core/lease"

const (
	hintLifetime = 2_000_000 // how long a hint about the holder from another router is valid, us

	maxUnansweredRequests = 4          // number of unanswered requests in a row after which a holder is avoided
	avoidDuration         = 12_000_000 // how long a router that does not respond is avoided as the holder, us
	maxPendingRequests    = 8          // maximum number of requests whose grants are still accepted
)

// request is the record of a lease request that was sent.
type request struct {
	sequence uint32 // sequence number of the datagram with the request
	sentAt   int64  // time at which the request was sent; 0: no request
}

// currentHolder returns the chosen holder if it has granted this router a lease within the last leaseLifetime,
// otherwise lease.NoRank.
func (l *limitState) currentHolder(now int64) int {
	if l.grantedAt != 0 && now-l.grantedAt < leaseLifetime {
		return l.holder
	}
	return lease.NoRank
}

// recordHolderHint records the router that another router names as the holder of a limit.
func (n *Node) recordHolderHint(now int64, m *message) {
	if m.limit >= len(n.limits) || m.holder == lease.NoRank || m.holder >= n.options.FleetSize {
		return
	}
	l := n.limits[m.limit]
	l.hintedHolder = m.holder
	l.hintedAt = now
}

// isEligible reports whether a router is considered up and is not avoided.
func (l *limitState) isEligible(rank int) bool { return l.node.IsUp(rank) && !l.avoided.Contains(rank) }

// preferredHolder returns the eligible router with the greatest hash. The result is the same at all routers that agree
// on which routers are eligible.
func (l *limitState) preferredHolder() int {
	preferred, greatest := l.node.options.Rank, uint64(0)
	for rank := range l.node.members {
		if hash := lease.RendezvousHash(l.index, rank); hash > greatest && l.isEligible(rank) {
			preferred, greatest = rank, hash
		}
	}
	return preferred
}

// chooseHolder returns the router that gets the vote and the next request of this router. A holder that grants leases
// is retained. Otherwise chooseHolder returns the router that others name as the holder or, without a valid hint, the
// preferred holder. If the vote for a holder that is not retained has not expired yet, chooseHolder returns
// lease.NoRank.
func (l *limitState) chooseHolder(now int64) int {
	l.avoided.Expire(now)
	// Unanswered requests reveal a lost holder sooner than the membership does.
	if l.unansweredRequests >= maxUnansweredRequests && l.holder != lease.NoRank {
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
	l.holderTimestamp = 0
	l.grantedAt = 0
	l.lastAnsweredRequest = 0
	l.unansweredRequests = 0
	return target
}

// retainsHolder reports whether the chosen holder is retained instead of being replaced by target. A holder that is
// down is never retained. A holder that is up is retained if it is target. It is also retained if it is eligible and
// grants leases to this router.
func (l *limitState) retainsHolder(now int64, target int) bool {
	if l.holder == lease.NoRank || !l.node.IsUp(l.holder) {
		return false
	}
	if l.holder == target {
		return true
	}
	return l.isEligible(l.holder) && l.currentHolder(now) != lease.NoRank
}

// requestLease requests a lease for the demand of this router from a holder. The request includes a vote for the holder
// if this router may vote and has a timestamp of the holder to echo.
func (l *limitState) requestLease(now int64, holder int) {
	m := message{kind: leaseRequestMessage, limit: l.index, amount: l.wanted()}
	otherVotesExpired := l.holderIncarnation != 0 || now >= l.voteExpiresAt
	if l.mayVote(now) && l.holderTimestamp != 0 && otherVotesExpired {
		m.timestamp = l.holderTimestamp
		m.candidateIncarnation = l.holderIncarnation
		l.voteExpiresAt = now + voteLifetime
		l.node.Counts.VotesSent++
	}
	l.node.send(holder, &m)
	l.requests[l.requestCount%maxPendingRequests] = request{sequence: l.node.sequence, sentAt: now}
	l.requestCount++
	l.unansweredRequests++
}

// handleGrant handles the response of the holder to a request. The response has a lease, or a term of 0 if no lease was
// granted.
func (l *limitState) handleGrant(now int64, m *message) {
	if m.rank != l.holder {
		return
	}
	l.unansweredRequests = 0
	if l.holderIncarnation != 0 && m.incarnation != l.holderIncarnation && now < l.voteExpiresAt {
		l.holderTimestamp = 0 // the vote is for the previous incarnation and must expire first
		return
	}
	sentAt, isKnown := l.requestSentAt(m.requestSequence)
	if !isKnown || l.holderIncarnation == m.incarnation && m.requestSequence <= l.lastAnsweredRequest {
		return
	}
	l.holderIncarnation = m.incarnation
	l.holderTimestamp = m.timestamp
	l.lastAnsweredRequest = m.requestSequence
	if m.term >= minLeaseTerm && m.term <= leaseLifetime {
		l.grantedAt = now
		// The term is reduced by the clock drift. It counts from the time at which the request was sent, and that time
		// is before the grant. For both reasons the lease expires here before it does at the holder.
		l.lease = lease.Lease{
			Amount:    m.amount,
			ExpiresAt: sentAt + m.term - int64(float64(m.term)*maxClockDrift),
		}
	}
}

// requestSentAt returns the time at which the request with the given sequence number was sent, and whether that request
// is recorded.
func (l *limitState) requestSentAt(sequence uint32) (sentAt int64, isKnown bool) {
	for _, r := range l.requests {
		if r.sentAt != 0 && r.sequence == sequence {
			sentAt, isKnown = r.sentAt, true
		}
	}
	return sentAt, isKnown
}
