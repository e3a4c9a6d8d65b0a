package fleet

import "spantack/core/lease"

// Times in microseconds. How the guarantee of the package follows from them stands there.
const (
	voteLifetime  = 3_000_000 // how long a vote for a holder counts from when it is sent
	leaseLifetime = 1_500_000 // of a lease at most: shorter than a vote, so that a holder can grant leases all the time
	minLeaseTerm  = 100_000   // a shorter lease is not granted
	renewInterval = 400_000   // between two requests, with up to a quarter more at random

	// voteDriftMargin is how much sooner a vote expires for the holder than for the voter, for any drift of clocks.
	voteDriftMargin = voteLifetime * maxClockDrift * 2
)

// maxClockDrift is how much the rates of two clocks differ at most.
const maxClockDrift = 0.02

// limitState is one limit that a single holder keeps: this router's use of it, and its part in it as a lessee and
// as the holder.
type limitState struct {
	node  *Node
	index int // among the limits
	limit Limit

	inUse  int     // acquired and not released
	demand float64 // what this router could use

	// As a lessee: the holder that this router votes for and asks.
	holder            int    // lease.NoRank: none
	holderIncarnation uint32 // that has the vote; 0: none has
	holderStamp       uint32 // of that holder's last answer; 0: none
	voteExpiresAt     int64
	hintedHolder      int // that another router has last named; lease.NoRank: none
	hintedAt          int64
	avoided           lease.AvoidList // routers that do not answer requests

	// As a lessee: requests, and the lease that the latest answer gave.
	requests           [maxPendingRequests]request // by requestCount, modulo the length
	requestCount       int
	unansweredRequests int // in a row
	nextRequestAt      int64
	lastGrantedRequest uint32          // sequence of the latest request that was answered
	lease              lease.Allotment // by the own clock
	grantedAt          int64           // 0: the holder has granted no lease

	// As the holder.
	lessees      []lessee // by rank
	countedAt    int64    // when the fields below were computed; 0: never
	electedUntil int64    // until then more than half of all routers have voted for this one
	fairShare    float64  // no lessee gets more, where there is too little for all
	surplusShare float64  // what each lessee gets besides, where there is more than all want
}

func newLimitState(n *Node, index int, limit Limit) *limitState {
	return &limitState{
		node:         n,
		index:        index,
		limit:        limit,
		holder:       lease.NoRank,
		hintedHolder: lease.NoRank,
		avoided:      lease.AvoidList{},
		lessees:      make([]lessee, n.options.FleetSize),
	}
}

// floor is what each router may have in use without a lease.
func (l *limitState) floor() float64 {
	return l.limit.Max * l.limit.FloorFraction / float64(l.node.options.FleetSize)
}

// pool is what the holder leases.
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

// stamp is a time of this process in units of lease.TermUnit. It overflows after 49 days.
func (l *limitState) stamp(now int64) uint32 {
	return uint32((now - l.node.startedAt) / lease.TermUnit)
}

// mayVote reports whether all votes that a process before this one may have given have expired: they are forgotten.
func (l *limitState) mayVote(now int64) bool {
	return now-l.node.startedAt >= voteLifetime+voteDriftMargin
}

// tick requests a lease when that is due.
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

// wanted is what this router wants of the pool: the floor is its own.
func (l *limitState) wanted() float64 { return max(l.demand-l.floor(), 0) }
