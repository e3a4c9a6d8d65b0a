package fleet

import (
	"slices"

	"spantack/core/lease"
)

// Times in microseconds.
const (
	recountInterval = 100_000   // minimum time between two counts of votes and demands
	demandLifetime  = 3_000_000 // how long the demand in a request counts
)

// maxLeases is the number of leases of one lessee that are recorded separately. A lessee sends at most one request per
// renewInterval, and a lease lasts less than four renew intervals.
const maxLeases = 5

// account is the record that the holder of a limit has of a router. Times are by the holder's clock.
type account struct {
	voteExpiresAt int64
	demand        float64
	demandAt      int64                  // time of the last request; 0: none
	leases        [maxLeases]lease.Lease // granted leases; unexpired ones may be in use
}

// grantToSelf records the vote of this router for itself as the holder and grants itself a lease for its demand.
func (l *limitState) grantToSelf(now int64) {
	rank := l.node.options.Rank
	self := &l.accounts[rank]
	l.holderIncarnation = l.node.options.Incarnation
	if l.mayVote(now) {
		l.voteExpiresAt = now + voteLifetime
		self.voteExpiresAt = l.voteExpiresAt
	}
	self.demand = l.wanted()
	self.demandAt = now
	if amount, term := l.grant(now, rank); term > 0 {
		l.lease = lease.Lease{Amount: amount, ExpiresAt: now + term}
		l.grantedAt = now
	}
}

// handleRequest records the vote and the demand in a request and responds to the request. If this router is not elected
// as the holder yet, the vote may elect it.
func (l *limitState) handleRequest(now int64, m *message) {
	from := &l.accounts[m.rank]
	l.recordVote(now, from, m)
	from.demand = m.amount
	from.demandAt = now
	amount, term := l.grant(now, m.rank)
	timestamp := l.timestamp(now)
	if timestamp == 0 {
		return // a timestamp of 0 would mean no timestamp, so only the next request is answered
	}
	l.node.send(m.rank, &message{
		kind:            leaseGrantMessage,
		limit:           l.index,
		amount:          amount,
		term:            term,
		timestamp:       timestamp,
		requestSequence: m.sequence,
	})
}

// recordVote records the vote in a request, if the request has a vote for this incarnation. The lifetime of the vote
// counts from the timestamp that the vote echoes. The timestamp is older than the vote, so the vote expires here before
// it does at the voter.
func (l *limitState) recordVote(now int64, voter *account, m *message) {
	if m.candidateIncarnation != l.node.options.Incarnation || m.timestamp == 0 {
		return
	}
	age := int64(l.timestamp(now)-m.timestamp) * lease.TermUnit
	if age < voteLifetime {
		expiresAt := now - age - lease.TermUnit + voteLifetime - voteDriftMargin
		voter.voteExpiresAt = max(voter.voteExpiresAt, expiresAt)
	}
}

// grant grants a lessee a lease from the pool. The term (us) is at most leaseLifetime, and ends no later than
// electedUntil, when the votes for this router expire. The term is 0 if no lease is granted.
func (l *limitState) grant(now int64, rank int) (amount float64, term int64) {
	l.countVotesAndDemand(now)
	term = min(leaseLifetime, l.electedUntil-now)
	if term < minLeaseTerm {
		return 0, 0
	}
	free := l.pool()
	for i := range l.accounts {
		if i != rank {
			free -= lease.Outstanding(now, l.accounts[i].leases[:])
		}
	}
	to := &l.accounts[rank]
	fair := min(to.demand, l.fairShare) + l.surplusShare
	amount = max(min(fair, free), 0)
	amount = float64(unitsRoundedDown(amount)) * lease.AmountUnit // as encoded on the wire
	expiresAt := now + term + int64(float64(term)*maxClockDrift)
	lease.RecordLease(now, to.leases[:], lease.Lease{Amount: amount, ExpiresAt: expiresAt})
	l.node.Counts.LeasesGranted++
	return amount, term
}

// countVotesAndDemand computes electedUntil and the fair shares of the pool, at most once in recountInterval.
func (l *limitState) countVotesAndDemand(now int64) {
	if l.countedAt != 0 && now-l.countedAt < recountInterval {
		return
	}
	l.countedAt = now
	var expirations []int64
	var demands []float64
	for i := range l.accounts {
		from := &l.accounts[i]
		if from.voteExpiresAt > now {
			expirations = append(expirations, from.voteExpiresAt)
		}
		if from.demandAt != 0 && now-from.demandAt < demandLifetime {
			demands = append(demands, from.demand)
		}
	}
	l.electedUntil = lease.MajorityUntil(expirations, len(l.accounts))
	l.fairShare, l.surplusShare = fairShares(l.pool(), demands)
}

// fairShares divides a capacity by max-min fairness. If the capacity covers all demands, each lessee gets its demand
// and surplusShare. Otherwise each lessee gets at most fairShare, the largest share that the capacity allows. Demands
// is sorted in place.
func fairShares(capacity float64, demands []float64) (fairShare, surplusShare float64) {
	sum := 0.0
	for _, demand := range demands {
		sum += demand
	}
	if sum <= capacity {
		return capacity, (capacity - sum) / float64(max(len(demands), 1))
	}
	slices.Sort(demands)
	remaining := capacity
	for i, demand := range demands { // ascending, so that the unused share of small demands goes to larger ones
		share := remaining / float64(len(demands)-i)
		if demand >= share {
			return share, 0
		}
		remaining -= demand
	}
	return 0, 0
}
