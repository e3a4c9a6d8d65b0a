package fleet

import (
	"slices"

	"spantack/core/lease"
)

// Times in microseconds.
const (
	countLifetime  = 100_000   // of a count of votes and demand
	demandLifetime = 3_000_000 // of what a lessee has asked for
)

// maxLeases of one lessee may be in use: it sends a request each renewInterval, and a lease lasts less than four of
// those.
const maxLeases = 5

// lessee is a router as the holder of a limit knows it. Times are by the holder's clock.
type lessee struct {
	voteExpiresAt int64
	demand        float64
	demandAt      int64                      // 0: never
	leases        [maxLeases]lease.Allotment // those that have not expired may be in use
}

// grantToSelf has this router vote for itself as the holder, and lease what it wants.
func (l *limitState) grantToSelf(now int64) {
	rank := l.node.options.Rank
	self := &l.lessees[rank]
	l.holderIncarnation = l.node.options.Incarnation
	if l.mayVote(now) {
		l.voteExpiresAt = now + voteLifetime
		self.voteExpiresAt = l.voteExpiresAt
	}
	self.demand = l.wanted()
	self.demandAt = now
	if amount, term := l.grant(now, rank); term > 0 {
		l.lease = lease.Allotment{Amount: amount, ExpiresAt: now + term}
		l.grantedAt = now
	}
}

// handleRequest takes in a request that came to this router, which may be the holder or become it, and answers it.
func (l *limitState) handleRequest(now int64, m *message) {
	from := &l.lessees[m.rank]
	l.recordVote(now, from, m)
	from.demand = m.amount
	from.demandAt = now
	amount, term := l.grant(now, m.rank)
	stamp := l.stamp(now)
	if stamp == 0 {
		return // 0 is no stamp: the next request will be answered
	}
	l.node.send(m.rank, &message{
		kind:            leaseGrantMessage,
		limit:           l.index,
		amount:          amount,
		term:            term,
		stamp:           stamp,
		requestSequence: m.sequence,
	})
}

// recordVote books the vote that a request carries, if it is for this process. The vote counts from the stamp that it
// echoes, which is older than the vote, so it expires here before it does for the voter.
func (l *limitState) recordVote(now int64, voter *lessee, m *message) {
	if m.candidateIncarnation != l.node.options.Incarnation || m.stamp == 0 {
		return
	}
	age := int64(l.stamp(now)-m.stamp) * lease.TermUnit
	if age < voteLifetime {
		expiresAt := now - age - lease.TermUnit + voteLifetime - voteDriftMargin
		voter.voteExpiresAt = max(voter.voteExpiresAt, expiresAt)
	}
}

// grant gives a lessee a lease out of the pool, for as long as this router is surely the holder. Its term is 0 if
// there is none to be had.
func (l *limitState) grant(now int64, rank int) (amount float64, term int64) {
	l.countVotesAndDemand(now)
	term = min(leaseLifetime, l.electedUntil-now)
	if term < minLeaseTerm {
		return 0, 0
	}
	free := l.pool()
	for i := range l.lessees {
		if i != rank {
			free -= lease.Outstanding(now, l.lessees[i].leases[:])
		}
	}
	to := &l.lessees[rank]
	fair := min(to.demand, l.fairShare) + l.surplusShare
	amount = max(min(fair, free), 0)
	amount = float64(amountDown(amount)) * lease.AmountUnit // as it goes over the wire
	expiresAt := now + term + int64(float64(term)*maxClockDrift)
	lease.Record(now, to.leases[:], lease.Allotment{Amount: amount, ExpiresAt: expiresAt})
	l.node.Counts.LeasesGranted++
	return amount, term
}

// countVotesAndDemand computes until when this router is elected, and how the pool is shared.
func (l *limitState) countVotesAndDemand(now int64) {
	if l.countedAt != 0 && now-l.countedAt < countLifetime {
		return
	}
	l.countedAt = now
	var expirations []int64
	var demands []float64
	for i := range l.lessees {
		from := &l.lessees[i]
		if from.voteExpiresAt > now {
			expirations = append(expirations, from.voteExpiresAt)
		}
		if from.demandAt != 0 && now-from.demandAt < demandLifetime {
			demands = append(demands, from.demand)
		}
	}
	l.electedUntil = lease.MajorityUntil(expirations, len(l.lessees))
	l.fairShare, l.surplusShare = fairShares(l.pool(), demands)
}

// fairShares divides a capacity by max-min fairness: each lessee gets what it wants and a part of the surplus or,
// where that is too much, none gets more than a share that the capacity just bears. It sorts demands.
func fairShares(capacity float64, demands []float64) (fairShare, surplusShare float64) {
	sum := 0.0
	for _, demand := range demands {
		sum += demand
	}
	if sum <= capacity {
		return capacity, (capacity - sum) / float64(max(len(demands), 1))
	}
	slices.Sort(demands)
	left := capacity
	for i, demand := range demands { // the modest first: what they leave is shared by the others
		share := left / float64(len(demands)-i)
		if demand >= share {
			return share, 0
		}
		left -= demand
	}
	return 0, 0
}
