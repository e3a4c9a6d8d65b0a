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
	minLease       = 100_000   // a shorter one is not granted
	renewInterval  = 400_000   // between two requests, with up to a quarter more at random
	hintLifetime   = 2_000_000 // of what others tell about the holder
	tallyLifetime  = 100_000   // of a count of votes and demand
	demandLifetime = 3_000_000 // of what a router has asked for
	drift          = 0.02      // by which the rates of two clocks differ at most

	maxUnanswered = 4          // requests in a row, after which a router is avoided as holder
	avoidFor      = 12_000_000 // and for how long

	maxLimits   = 8
	maxRequests = 8 // requests whose leases may still come
	maxLeases   = 5 // of one router that may still be used: it sends a request each renewInterval, and a lease lasts less than four of those
)

// Regain is the time in which leases of a pool are granted again after its holder has died or was cut off, where more than half of all routers are
// in one part: until it is declared dead, until the votes for it have ended, and until two requests have been answered.
// It is held by a test at 15 routers, with one datagram in ten lost; 300 took up to 18 s after a heal.
const Regain = 10_000_000

// Limit is a number that all routers keep together.
type Limit struct {
	Name  string
	Most  float64 // of all routers together
	Floor float64 // part of it that is split into floors, 0 to 1; the rest is the pool
	Spare int64   // us before the end of a lease from which nothing is begun under it: how long what was begun lasts
}

// allotment is what one router has of a pool.
type allotment struct {
	amount float64
	until  int64 // by the holder's clock
}

// lessee is a router as the holder of a limit knows it.
type lessee struct {
	votedUntil int64 // until when its vote counts here
	want       float64
	wantedAt   int64                // 0: never
	leases     [maxLeases]allotment // that may still be used
}

func (b *lessee) out(now int64) (most float64) {
	for _, l := range b.leases {
		if now < l.until {
			most = max(most, l.amount)
		}
	}
	return most
}

// add books a lease in place of one that has ended. Where none has, two become one that is no less than either.
func (b *lessee) add(now int64, l allotment) {
	at := 0
	for i := range b.leases {
		if b.leases[i].until < b.leases[at].until {
			at = i
		}
	}
	if old := b.leases[at]; now < old.until {
		l = allotment{max(l.amount, old.amount), max(l.until, old.until)}
	}
	b.leases[at] = l
}

// limitState is one limit, as a lessee and as the holder.
type limitState struct {
	n   *Node
	at  int // place among the limits
	opt Limit

	// As a lessee.
	inUse             int
	want              float64
	holder            int    // whom this router has voted for, or is about to; nobody: none
	holderIncarnation uint32 // the incarnation that was voted for; 0: none yet
	voteUntil         int64  // when the vote ends
	holderStamp       uint32 // of that holder's last answer; 0: none
	requests          [maxRequests]struct {
		sequence uint32
		at       int64
	}
	requested   int           // requests made
	lastGranted uint32        // the newest request that was answered
	lease       allotment     // by the own clock
	grantedAt   int64         // when its holder last granted a lease
	unanswered  int           // requests since the last that was answered
	avoided     map[int]int64 // routers that do not answer requests, and until when
	hint        int           // whom others tell of
	hintAt      int64
	due         int64

	// As the holder.
	lessees      []lessee
	countedAt    int64
	electedUntil int64 // until when more than half of all have voted
	fairShare    float64
	surplus      float64 // for each that wants, when there is more than all want
}

// Check reports the field that can't be used.
func (l *Limit) Check() error {
	switch {
	case l.Name == "":
		return errors.New("name: missing")
	case !(l.Most > 0 && l.Most <= 1e6):
		return fmt.Errorf("%s: %v is not above 0 to 1000000", l.Name, l.Most)
	case !(l.Floor >= 0 && l.Floor <= 1):
		return fmt.Errorf("floor: %v is not 0 to 1", l.Floor)
	case l.Spare < 0 || l.Spare >= leaseLifetime:
		return fmt.Errorf("spare: %d us is not 0 to less than %d", l.Spare, leaseLifetime)
	}
	return nil
}

func newLimitState(n *Node, at int, opt Limit) (*limitState, error) {
	if err := opt.Check(); err != nil {
		return nil, err
	}
	return &limitState{n: n, at: at, opt: opt, holder: nobody, hint: nobody, avoided: map[int]int64{}, lessees: make([]lessee, n.opt.Siblings)}, nil
}

func (k *limitState) floor() float64 { return k.opt.Most * k.opt.Floor / float64(k.n.opt.Siblings) }
func (k *limitState) pool() float64  { return k.opt.Most * (1 - k.opt.Floor) }

// LimitName is the name of a limit by its place.
func (n *Node) LimitName(limit int) string { return n.opt.Limits[limit].Name }

// Share is how much of a limit this router may have in use at present. What hundreds of routers use of shares below one, by drawing lots,
// keeps the limit in the mean; what they take with Take keeps it always.
func (n *Node) Share(now int64, limit int) float64 {
	if n.trees != nil {
		return n.trees[limit].Share(now)
	}
	k := n.limits[limit]
	if now < k.lease.until-k.opt.Spare {
		return k.floor() + k.lease.amount
	}
	return k.floor()
}

// Want says how much of a limit this router could use at present.
func (n *Node) Want(limit int, amount float64) {
	if n.trees != nil {
		n.trees[limit].Want(amount)
		return
	}
	n.limits[limit].want = amount
}

// Take takes one from a limit; false: there is none to be had.
func (n *Node) Take(now int64, limit int) bool {
	if n.trees != nil {
		return n.trees[limit].Take(now)
	}
	k := n.limits[limit]
	if float64(k.inUse+1) > n.Share(now, limit) {
		return false
	}
	k.inUse++
	return true
}

// Give gives one back.
func (n *Node) Give(limit int) {
	if n.trees != nil {
		n.trees[limit].Give()
		return
	}
	if k := n.limits[limit]; k.inUse > 0 {
		k.inUse--
	}
}

// Holding is what this router's part in a limit is.
type Holding struct {
	Name   string  `json:"Name"`
	Share  float64 `json:"Share"`
	InUse  int     `json:"InUse"`
	Holder int     `json:"Holder"`           // rank of the router that grants; -1: none is known
	Holds  bool    `json:"Holds"`            // this one does, all of it or in a tree a group
	Levels []int   `json:"Levels,omitempty"` // of the groups of a tree that this one holds: 1 is the smallest
}

// Holdings are those of all limits.
func (n *Node) Holdings(now int64) (all []Holding) {
	for i := range n.trees {
		all = append(all, n.treeHolding(now, i))
	}
	for i, k := range n.limits {
		h := Holding{Name: k.opt.Name, Share: n.Share(now, i), InUse: k.inUse, Holder: k.currentHolder(now)}
		if h.Holder == nobody {
			h.Holder = -1
		}
		h.Holds = h.Holder == n.opt.Rank
		all = append(all, h)
	}
	return all
}

// currentHolder is the holder that has granted this router a lease of late, or nobody.
func (k *limitState) currentHolder(now int64) int {
	if k.grantedAt != 0 && now-k.grantedAt < leaseLifetime {
		return k.holder
	}
	return nobody
}

// learnHolder notes whom another router has for the holder.
func (k *limitState) learnHolder(now int64, rank int) { k.hint, k.hintAt = rank, now }

// eligible reports that a router may be a holder: it is taken for up, and answers.
func (k *limitState) eligible(rank int) bool { return k.n.Up(rank) && k.avoided[rank] == 0 }

// candidate is the router that all who hold the same ones for up name: the highest by a hash of limit and rank (D. Thaler, C.
// Ravishankar, "Using name-based mappings to increase hit rates", 1998).
func (k *limitState) candidate() (best int) {
	top := uint64(0)
	best = k.n.opt.Rank
	for rank := range k.n.members {
		if h := lease.Hash(k.at, rank); h > top && k.eligible(rank) {
			top, best = h, rank
		}
	}
	return best
}

// chooseHolder settles whom to ask, nobody while a vote for one that is of no use any more has not ended. A holder that grants leases is kept; else it is
// the one that others have, or the candidate.
func (k *limitState) chooseHolder(now int64) int {
	maps.DeleteFunc(k.avoided, func(_ int, until int64) bool { return now >= until })
	if k.unanswered >= maxUnanswered && k.holder != nobody { // own evidence, sooner than the membership updates
		k.avoided[k.holder], k.unanswered = now+avoidFor, 0
	}
	target := k.hint
	if target == nobody || now-k.hintAt >= hintLifetime || !k.n.Up(target) {
		target = k.candidate()
	}
	switch {
	case k.holder != nobody && (k.eligible(k.holder) || k.holder == target) && k.n.Up(k.holder) && (k.holder == target || k.currentHolder(now) != nobody):
		return k.holder
	case now < k.voteUntil:
		return nobody
	}
	k.holder, k.holderIncarnation, k.holderStamp, k.grantedAt, k.lastGranted, k.unanswered = target, 0, 0, 0, 0, 0
	return target
}

// tick sends a request for what is wanted, with a vote, when that is due.
func (k *limitState) tick(now int64) {
	if now < k.due {
		return
	}
	k.due = now + renewInterval + int64(k.n.rng.Float64()*renewInterval/4)
	to := k.chooseHolder(now)
	if to == nobody {
		return
	}
	want := max(k.want-k.floor(), 0)                                // of the pool: the floor is its own
	mayVote := now-k.n.started >= voteLifetime+voteLifetime*drift*2 // votes cast before the start are forgotten
	if to == k.n.opt.Rank {
		k.holderIncarnation = k.n.opt.Incarnation
		b := &k.lessees[to]
		if mayVote {
			k.voteUntil = now + voteLifetime
			b.votedUntil = k.voteUntil
		}
		b.want, b.wantedAt = want, now
		if amount, term := k.grant(now, to); term > 0 {
			k.lease, k.grantedAt = allotment{amount, now + term}, now
		}
		return
	}
	m := &k.n.outgoing
	m.op, m.limit, m.amount, m.stamp, m.of = leaseRequest, k.at, want, 0, 0
	if mayVote && k.holderStamp != 0 && (k.holderIncarnation != 0 || now >= k.voteUntil) {
		m.stamp, m.of = k.holderStamp, k.holderIncarnation
		k.voteUntil = now + voteLifetime
		k.n.Counts.Votes++
	}
	k.n.send(to)
	k.requests[k.requested%maxRequests].sequence, k.requests[k.requested%maxRequests].at = k.n.sequence, now
	k.requested++
	k.unanswered++
}

// stampAt is a time of this process in milliseconds; it begins anew after 49 days.
func (k *limitState) stampAt(now int64) uint32 { return uint32((now - k.n.started) / termUnit) }

// handleRequest takes in a request that came to this router, which may be the holder, or become it.
func (k *limitState) handleRequest(now int64, m *message) {
	b := &k.lessees[m.rank]
	if age := int64(k.stampAt(now)-m.stamp) * termUnit; m.of == k.n.opt.Incarnation && m.stamp != 0 && age < voteLifetime {
		b.votedUntil = max(b.votedUntil, now-age-termUnit+voteLifetime-voteLifetime*drift*2)
	}
	b.want, b.wantedAt = m.amount, now
	reply := &k.n.outgoing
	sequence := m.sequence // the reply is built in another message, but m is used again by what follows
	rank := m.rank
	reply.amount, reply.term = k.grant(now, rank)
	reply.op, reply.limit, reply.stamp, reply.asked = leaseGrant, k.at, k.stampAt(now), sequence
	if reply.stamp == 0 {
		return // no stamp yet: the next ask will do
	}
	k.n.send(rank)
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
		if b.votedUntil > now {
			ends = append(ends, b.votedUntil)
		}
		if b.wantedAt != 0 && now-b.wantedAt < demandLifetime {
			wants = append(wants, b.want)
			sum += b.want
		}
	}
	k.electedUntil = 0
	if most := len(k.lessees)/2 + 1; len(ends) >= most {
		slices.Sort(ends)
		k.electedUntil = ends[len(ends)-most]
	}
	// As much for each as it wants, and where that is too much, none gets more than a level that the pool just bears (max-min fairness).
	left := k.pool()
	k.fairShare, k.surplus = 0, 0
	if sum <= left {
		k.fairShare = left
		k.surplus = (left - sum) / float64(max(len(wants), 1))
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
	if term < minLease {
		return 0, 0
	}
	free := k.pool()
	for i := range k.lessees {
		if i != rank {
			free -= k.lessees[i].out(now)
		}
	}
	b := &k.lessees[rank]
	amount = max(min(min(b.want, k.fairShare)+k.surplus, free), 0)
	amount = float64(units(amount, false)) * amountUnit // as it goes over the wire
	b.add(now, allotment{amount, now + term + int64(float64(term)*drift)})
	k.n.Counts.Granted++
	return amount, term
}

// handleGrant takes in a lease, or the answer that there is none.
func (k *limitState) handleGrant(now int64, m *message) {
	if m.rank != k.holder {
		return
	}
	k.unanswered = 0
	if k.holderIncarnation != 0 && m.incarnation != k.holderIncarnation && now < k.voteUntil { // the vote was for the process before: it must end first
		k.holderStamp = 0
		return
	}
	sent := int64(-1)
	for i := range k.requests {
		if a := &k.requests[i]; a.at != 0 && a.sequence == m.asked {
			sent = a.at
		}
	}
	if sent < 0 || k.holderIncarnation == m.incarnation && m.asked <= k.lastGranted {
		return // older than what is known
	}
	k.holderIncarnation, k.holderStamp, k.lastGranted = m.incarnation, m.stamp, m.asked
	if m.term >= minLease && m.term <= leaseLifetime {
		k.grantedAt = now
		k.lease = allotment{m.amount, sent + m.term - int64(float64(m.term)*drift)}
	}
}
