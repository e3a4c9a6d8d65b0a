package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"spantack/core/lease"
)

// Times in microseconds. How the guarantee of the package follows from them stands there.
const (
	voteLifetime   = 3_000_000 // a vote for a holder counts so long from when it is sent
	leaseLifetime  = 1_500_000 // of a lease at most: shorter than a vote, so that a holder can grant leases all the time
	minLeaseTerm   = 100_000   // a shorter one is not granted
	renewInterval  = 400_000   // between two requests, with up to a quarter more at random
	hintLifetime   = 2_000_000 // of what others tell about the holder
	tallyLifetime  = 100_000   // of a count of votes and demand
	demandLifetime = 3_000_000 // of what a router has asked for
	maxClockDrift  = 0.02      // by which the rates of two clocks differ at most

	maxUnanswered = 4          // requests in a row, after which a router is avoided as holder
	avoidDuration = 12_000_000 // and for how long

	maxLimits   = 8
	maxRequests = 8 // requests whose leases may still come
	maxLeases   = 5 // of one router that may still be used: it sends a request each renewInterval, and a lease lasts less than four of those
)

// RecoveryTime is the time in which leases of a pool are granted again after its holder has died or was cut off, where more than half of all routers are
// in one part: until it is declared dead, until the votes for it have ended, and until two requests have been answered.
// It is held by a test at 15 routers, with one datagram in ten lost; 300 took up to 18 s after a heal.
const RecoveryTime = 10_000_000

// Limit is a number that all routers keep together.
type Limit struct {
	Name          string
	Max           float64 // of all routers together
	FloorFraction float64 // part of it that is split into floors, 0 to 1; the rest is the pool
	ExpiryMargin  int64   // us before the end of a lease from which nothing is begun under it: how long what was begun lasts
}

// allotment is what one router has of a pool.
type allotment struct {
	amount    float64
	expiresAt int64 // by the holder's clock
}

// lessee is a router as the holder of a limit knows it.
type lessee struct {
	voteExpiresAt int64 // until when its vote counts here
	demand        float64
	demandAt      int64                // 0: never
	leases        [maxLeases]allotment // that may still be used
}

func (b *lessee) outstanding(now int64) (most float64) {
	for _, l := range b.leases {
		if now < l.expiresAt {
			most = max(most, l.amount)
		}
	}
	return most
}

// record books a lease in place of one that has ended. Where none has, two become one that is no less than either.
func (b *lessee) record(now int64, l allotment) {
	at := 0
	for i := range b.leases {
		if b.leases[i].expiresAt < b.leases[at].expiresAt {
			at = i
		}
	}
	if old := b.leases[at]; now < old.expiresAt {
		l = allotment{max(l.amount, old.amount), max(l.expiresAt, old.expiresAt)}
	}
	b.leases[at] = l
}

// limitState is one limit, as a lessee and as the holder.
type limitState struct {
	node  *Node
	index int // place among the limits
	limit Limit

	// As a lessee.
	inUse             int
	demand            float64
	holder            int    // whom this router has voted for, or is about to; nobody: none
	holderIncarnation uint32 // the incarnation that was voted for; 0: none yet
	voteExpiresAt     int64  // when the vote ends
	holderStamp       uint32 // of that holder's last answer; 0: none
	requests          [maxRequests]struct {
		sequence uint32
		at       int64
	}
	requestCount       int           // requests made
	lastGrantedRequest uint32        // the newest request that was answered
	lease              allotment     // by the own clock
	grantedAt          int64         // when its holder last granted a lease
	unansweredRequests int           // requests since the last that was answered
	avoidedUntil       map[int]int64 // routers that do not answer requests, and until when
	hintedHolder       int           // whom others tell of
	hintedAt           int64
	nextRequestAt      int64

	// As the holder.
	lessees      []lessee
	countedAt    int64
	electedUntil int64 // until when more than half of all have voted
	fairShare    float64
	surplusShare float64 // for each that wants, when there is more than all want
}

// Validate reports the field that can't be used.
func (l *Limit) Validate() error {
	switch {
	case l.Name == "":
		return errors.New("name: missing")
	case !(l.Max > 0 && l.Max <= 1e6):
		return fmt.Errorf("%s: %v is not above 0 to 1000000", l.Name, l.Max)
	case !(l.FloorFraction >= 0 && l.FloorFraction <= 1):
		return fmt.Errorf("floor: %v is not 0 to 1", l.FloorFraction)
	case l.ExpiryMargin < 0 || l.ExpiryMargin >= leaseLifetime:
		return fmt.Errorf("spare: %d us is not 0 to less than %d", l.ExpiryMargin, leaseLifetime)
	}
	return nil
}

func newLimitState(n *Node, at int, opt Limit) (*limitState, error) {
	if err := opt.Validate(); err != nil {
		return nil, err
	}
	return &limitState{node: n, index: at, limit: opt, holder: noRank, hintedHolder: noRank, avoidedUntil: map[int]int64{}, lessees: make([]lessee, n.options.FleetSize)}, nil
}

func (k *limitState) floor() float64 {
	return k.limit.Max * k.limit.FloorFraction / float64(k.node.options.FleetSize)
}
func (k *limitState) pool() float64 { return k.limit.Max * (1 - k.limit.FloorFraction) }

// LimitName is the name of a limit by its place.
func (n *Node) LimitName(limit int) string { return n.options.Limits[limit].Name }

// Quota is how much of a limit this router may have in use at present. What hundreds of routers use of shares below one, by drawing lots,
// keeps the limit in the mean; what they take with Take keeps it always.
func (n *Node) Quota(now int64, limit int) float64 {
	if n.leaseTrees != nil {
		return n.leaseTrees[limit].Quota(now)
	}
	k := n.limits[limit]
	if now < k.lease.expiresAt-k.limit.ExpiryMargin {
		return k.floor() + k.lease.amount
	}
	return k.floor()
}

// SetDemand says how much of a limit this router could use at present.
func (n *Node) SetDemand(limit int, amount float64) {
	if n.leaseTrees != nil {
		n.leaseTrees[limit].SetDemand(amount)
		return
	}
	n.limits[limit].demand = amount
}

// TryAcquire takes one from a limit; false: there is none to be had.
func (n *Node) TryAcquire(now int64, limit int) bool {
	if n.leaseTrees != nil {
		return n.leaseTrees[limit].TryAcquire(now)
	}
	k := n.limits[limit]
	if float64(k.inUse+1) > n.Quota(now, limit) {
		return false
	}
	k.inUse++
	return true
}

// Release gives one back.
func (n *Node) Release(limit int) {
	if n.leaseTrees != nil {
		n.leaseTrees[limit].Release()
		return
	}
	if k := n.limits[limit]; k.inUse > 0 {
		k.inUse--
	}
}

// LimitStatus is what this router's part in a limit is.
type LimitStatus struct {
	Name   string  `json:"Name"`
	Share  float64 `json:"Share"`
	InUse  int     `json:"InUse"`
	Holder int     `json:"Holder"`           // rank of the router that grants; -1: none is known
	Holds  bool    `json:"Holds"`            // this one does, all of it or in a tree a group
	Levels []int   `json:"Levels,omitempty"` // of the groups of a tree that this one holds: 1 is the smallest
}

// LimitStatuses are those of all limits.
func (n *Node) LimitStatuses(now int64) (all []LimitStatus) {
	for i := range n.leaseTrees {
		all = append(all, n.treeLimitStatus(now, i))
	}
	for i, k := range n.limits {
		h := LimitStatus{Name: k.limit.Name, Share: n.Quota(now, i), InUse: k.inUse, Holder: k.currentHolder(now)}
		if h.Holder == noRank {
			h.Holder = -1
		}
		h.Holds = h.Holder == n.options.Rank
		all = append(all, h)
	}
	return all
}

// currentHolder is the holder that has granted this router a lease of late, or nobody.
func (k *limitState) currentHolder(now int64) int {
	if k.grantedAt != 0 && now-k.grantedAt < leaseLifetime {
		return k.holder
	}
	return noRank
}

// noteHolderHint notes whom another router has for the holder.
func (k *limitState) noteHolderHint(now int64, rank int) { k.hintedHolder, k.hintedAt = rank, now }

// isEligible reports that a router may be a holder: it is taken for up, and answers.
func (k *limitState) isEligible(rank int) bool { return k.node.IsUp(rank) && k.avoidedUntil[rank] == 0 }

// preferredHolder is the router that all who hold the same ones for up name: the highest by a hash of limit and rank (D. Thaler, C.
// Ravishankar, "Using name-based mappings to increase hit rates", 1998).
func (k *limitState) preferredHolder() (best int) {
	top := uint64(0)
	best = k.node.options.Rank
	for rank := range k.node.members {
		if h := lease.RendezvousHash(k.index, rank); h > top && k.isEligible(rank) {
			top, best = h, rank
		}
	}
	return best
}

// chooseHolder settles whom to ask, nobody while a vote for one that is of no use any more has not ended. A holder that grants leases is kept; else it is
// the one that others have, or the candidate.
func (k *limitState) chooseHolder(now int64) int {
	maps.DeleteFunc(k.avoidedUntil, func(_ int, until int64) bool { return now >= until })
	if k.unansweredRequests >= maxUnanswered && k.holder != noRank { // own evidence, sooner than the membership updates
		k.avoidedUntil[k.holder], k.unansweredRequests = now+avoidDuration, 0
	}
	target := k.hintedHolder
	if target == noRank || now-k.hintedAt >= hintLifetime || !k.node.IsUp(target) {
		target = k.preferredHolder()
	}
	switch {
	case k.holder != noRank && (k.isEligible(k.holder) || k.holder == target) && k.node.IsUp(k.holder) && (k.holder == target || k.currentHolder(now) != noRank):
		return k.holder
	case now < k.voteExpiresAt:
		return noRank
	}
	k.holder, k.holderIncarnation, k.holderStamp, k.grantedAt, k.lastGrantedRequest, k.unansweredRequests = target, 0, 0, 0, 0, 0
	return target
}

// tick sends a request for what is wanted, with a vote, when that is due.
func (k *limitState) tick(now int64) {
	if now < k.nextRequestAt {
		return
	}
	k.nextRequestAt = now + renewInterval + int64(k.node.rng.Float64()*renewInterval/4)
	to := k.chooseHolder(now)
	if to == noRank {
		return
	}
	want := max(k.demand-k.floor(), 0)                                           // of the pool: the floor is its own
	mayVote := now-k.node.startedAt >= voteLifetime+voteLifetime*maxClockDrift*2 // votes cast before the start are forgotten
	if to == k.node.options.Rank {
		k.holderIncarnation = k.node.options.Incarnation
		b := &k.lessees[to]
		if mayVote {
			k.voteExpiresAt = now + voteLifetime
			b.voteExpiresAt = k.voteExpiresAt
		}
		b.demand, b.demandAt = want, now
		if amount, term := k.grant(now, to); term > 0 {
			k.lease, k.grantedAt = allotment{amount, now + term}, now
		}
		return
	}
	m := &k.node.outgoing
	m.kind, m.limit, m.amount, m.stamp, m.candidateIncarnation = leaseRequestMessage, k.index, want, 0, 0
	if mayVote && k.holderStamp != 0 && (k.holderIncarnation != 0 || now >= k.voteExpiresAt) {
		m.stamp, m.candidateIncarnation = k.holderStamp, k.holderIncarnation
		k.voteExpiresAt = now + voteLifetime
		k.node.Counts.VotesSent++
	}
	k.node.send(to)
	k.requests[k.requestCount%maxRequests].sequence, k.requests[k.requestCount%maxRequests].at = k.node.sequence, now
	k.requestCount++
	k.unansweredRequests++
}

// stamp is a time of this process in milliseconds; it begins anew after 49 days.
func (k *limitState) stamp(now int64) uint32 { return uint32((now - k.node.startedAt) / termUnit) }

// handleRequest takes in a request that came to this router, which may be the holder, or become it.
func (k *limitState) handleRequest(now int64, m *message) {
	b := &k.lessees[m.rank]
	if age := int64(k.stamp(now)-m.stamp) * termUnit; m.candidateIncarnation == k.node.options.Incarnation && m.stamp != 0 && age < voteLifetime {
		b.voteExpiresAt = max(b.voteExpiresAt, now-age-termUnit+voteLifetime-voteLifetime*maxClockDrift*2)
	}
	b.demand, b.demandAt = m.amount, now
	reply := &k.node.outgoing
	sequence := m.sequence // the reply is built in another message, but m is used again by what follows
	rank := m.rank
	reply.amount, reply.term = k.grant(now, rank)
	reply.kind, reply.limit, reply.stamp, reply.requestSequence = leaseGrantMessage, k.index, k.stamp(now), sequence
	if reply.stamp == 0 {
		return // no stamp yet: the next ask will do
	}
	k.node.send(rank)
}

// countVotes computes until when more than half of all routers have voted, and how the pool is shared among those that want a part of it.
func (k *limitState) countVotes(now int64) {
	if now-k.countedAt < tallyLifetime && k.countedAt != 0 {
		return
	}
	k.countedAt = now
	var ends []int64
	var wants []float64
	sum := 0.0
	for i := range k.lessees {
		b := &k.lessees[i]
		if b.voteExpiresAt > now {
			ends = append(ends, b.voteExpiresAt)
		}
		if b.demandAt != 0 && now-b.demandAt < demandLifetime {
			wants = append(wants, b.demand)
			sum += b.demand
		}
	}
	k.electedUntil = 0
	if most := len(k.lessees)/2 + 1; len(ends) >= most {
		slices.Sort(ends)
		k.electedUntil = ends[len(ends)-most]
	}
	// As much for each as it wants, and where that is too much, none gets more than a level that the pool just bears (max-min fairness).
	left := k.pool()
	k.fairShare, k.surplusShare = 0, 0
	if sum <= left {
		k.fairShare = left
		k.surplusShare = (left - sum) / float64(max(len(wants), 1))
		return
	}
	slices.Sort(wants)
	for i, w := range wants {
		if part := left / float64(len(wants)-i); w >= part {
			k.fairShare = part
			break
		}
		left -= w
	}
}

// grant gives a router a lease of what the pool has for it, for as long as this router is surely the holder. Term 0: it is not.
func (k *limitState) grant(now int64, rank int) (amount float64, term int64) {
	k.countVotes(now)
	term = min(leaseLifetime, k.electedUntil-now)
	if term < minLeaseTerm {
		return 0, 0
	}
	free := k.pool()
	for i := range k.lessees {
		if i != rank {
			free -= k.lessees[i].outstanding(now)
		}
	}
	b := &k.lessees[rank]
	amount = max(min(min(b.demand, k.fairShare)+k.surplusShare, free), 0)
	amount = float64(wireUnits(amount, false)) * amountUnit // as it goes over the wire
	b.record(now, allotment{amount, now + term + int64(float64(term)*maxClockDrift)})
	k.node.Counts.LeasesGranted++
	return amount, term
}

// handleGrant takes in a lease, or the answer that there is none.
func (k *limitState) handleGrant(now int64, m *message) {
	if m.rank != k.holder {
		return
	}
	k.unansweredRequests = 0
	if k.holderIncarnation != 0 && m.incarnation != k.holderIncarnation && now < k.voteExpiresAt { // the vote was for the process before: it must end first
		k.holderStamp = 0
		return
	}
	sent := int64(-1)
	for i := range k.requests {
		if a := &k.requests[i]; a.at != 0 && a.sequence == m.requestSequence {
			sent = a.at
		}
	}
	if sent < 0 || k.holderIncarnation == m.incarnation && m.requestSequence <= k.lastGrantedRequest {
		return // older than what is known
	}
	k.holderIncarnation, k.holderStamp, k.lastGrantedRequest = m.incarnation, m.stamp, m.requestSequence
	if m.term >= minLeaseTerm && m.term <= leaseLifetime {
		k.grantedAt = now
		k.lease = allotment{m.amount, sent + m.term - int64(float64(m.term)*maxClockDrift)}
	}
}
