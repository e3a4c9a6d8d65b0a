package fleet

import "spantack/core/lease"

// Times in microseconds. The package comment explains how the guarantee follows from them.
const (
	// voteLifetime is how long a vote for a holder is valid. The voter counts it from the time at which it sends the vote.
	voteLifetime = 3_000_000
	// leaseLifetime is the maximum term of a lease. It is shorter than voteLifetime. A holder can therefore grant leases
	// without interruption.
	leaseLifetime = 1_500_000
	minLeaseTerm  = 100_000 // minimum term of a lease; shorter leases are not granted
	renewInterval = 400_000 // time between two requests, plus a random part of up to a quarter

	// voteDriftMargin is subtracted from the lifetime of a vote at the holder. With any clock drift up to maxClockDrift,
	// the vote therefore expires at the holder before it expires at the voter.
	voteDriftMargin = voteLifetime * maxClockDrift * 2
)

// maxClockDrift is the maximum difference between the rates of two clocks, as a fraction.
const maxClockDrift = 0.02

// limitState is the state of this router for one limit with a single holder. It has the units that the router uses, the
// router's state as a lessee, and its state as the holder.
type limitState struct {
	node  *Node
	index int // index of the limit in Options.Limits
	limit Limit

	inUse  int     // units acquired and not released
	demand float64 // amount that this router could use

	// As a lessee: the holder that gets the votes and requests of this router.
	holder            int             // rank of the holder; lease.NoRank: none
	holderIncarnation uint32          // incarnation in the holder's last response; votes are for it; 0: none yet
	holderTimestamp   uint32          // timestamp in the holder's last response; 0: none
	voteExpiresAt     int64           // time at which the latest vote of this router expires
	hintedHolder      int             // rank that another router last named as the holder; lease.NoRank: none
	hintedAt          int64           // time of the latest such hint
	avoided           lease.AvoidList // routers that do not respond to requests

	// As a lessee: requests, and the latest lease.
	requests            [maxPendingRequests]request // indexed by requestCount, modulo the length
	requestCount        int
	unansweredRequests  int // number of unanswered requests in a row
	nextRequestAt       int64
	lastAnsweredRequest uint32      // sequence number of the latest answered request
	lease               lease.Lease // the latest lease, with its expiry by the clock of this router
	grantedAt           int64       // time of the latest grant of the holder; 0: the holder has granted no lease

	// As the holder.
	accounts     []account // accounts of the lessees, by rank
	countedAt    int64     // time at which the fields below were computed; 0: never
	electedUntil int64     // time until which votes of more than half of all routers are valid; 0: not elected
	fairShare    float64   // upper bound on the lease of each lessee if demand exceeds the pool
	surplusShare float64   // added to each grant if the pool exceeds demand
}

func newLimitState(n *Node, index int, limit Limit) *limitState {
	return &limitState{
		node:         n,
		index:        index,
		limit:        limit,
		holder:       lease.NoRank,
		hintedHolder: lease.NoRank,
		avoided:      lease.AvoidList{},
		accounts:     make([]account, n.options.FleetSize),
	}
}

// floor returns how much each router may have in use without a lease.
func (l *limitState) floor() float64 {
	return l.limit.Max * l.limit.FloorFraction / float64(l.node.options.FleetSize)
}

// pool returns the part of the limit that the holder leases out.
func (l *limitState) pool() float64 { return l.limit.Max * (1 - l.limit.FloorFraction) }

func (l *limitState) quota(now int64) float64 {
	if now < l.lease.ExpiresAt-l.limit.ExpiryMargin {
		return l.floor() + l.lease.Amount
	}
	return l.floor()
}

func (l *limitState) tryAcquire(now int64) bool {
	if float64(l.inUse+1) > l.quota(now) {
		return false
	}
	l.inUse++
	return true
}

func (l *limitState) release() {
	if l.inUse > 0 {
		l.inUse--
	}
}

func (l *limitState) status(now int64) LimitStatus {
	holder := l.currentHolder(now)
	return LimitStatus{
		Name:     l.limit.Name,
		Quota:    l.quota(now),
		InUse:    l.inUse,
		Holder:   holder,
		IsHolder: holder == l.node.options.Rank,
	}
}

// timestamp returns the time since this process started in units of lease.TermUnit. The timestamp wraps around after 49
// days. This has no effect, because only differences of timestamps are used.
func (l *limitState) timestamp(now int64) uint32 {
	return uint32((now - l.node.startedAt) / lease.TermUnit)
}

// mayVote reports whether all votes of the previous incarnation of this router have certainly expired. This process has
// no record of those votes.
func (l *limitState) mayVote(now int64) bool {
	return now-l.node.startedAt >= voteLifetime+voteDriftMargin
}

// tick requests a lease if a request is due.
func (l *limitState) tick(now int64) {
	if now < l.nextRequestAt {
		return
	}
	l.nextRequestAt = now + renewInterval + int64(l.node.rng.Float64()*renewInterval/4)
	switch holder := l.chooseHolder(now); holder {
	case lease.NoRank:
	case l.node.options.Rank:
		l.grantToSelf(now)
	default:
		l.requestLease(now, holder)
	}
}

// wanted returns the demand of this router for the pool, which is its demand beyond its floor.
func (l *limitState) wanted() float64 { return max(l.demand-l.floor(), 0) }
