package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Times in microseconds. How the guarantee of the package follows from them stands there.
const (
	promised  = 3_000_000 // a promise to a keeper holds so long from when it is sent
	lentFor   = 1_500_000 // a loan, at most: shorter than a promise, so that a keeper can lend all the time
	lendLeast = 100_000   // a loan for less is none
	renewal   = 400_000   // between two asks, with up to a quarter more at random
	hintKept  = 2_000_000 // who is known to keep a limit: so long
	tallyAge  = 100_000   // how old a keeper's tally of promises and wants may be
	wantKept  = 3_000_000 // what a router asked for counts so long
	drift     = 0.02      // by which rates of clocks differ at most

	silentAsks = 4          // unanswered: that router is passed over as a keeper
	passedOver = 12_000_000 // for so long

	mostLimits = 8
	mostAsks   = 8 // asks whose loans may still come
	mostLoans  = 5 // of one router that may still be used: it asks every renewal, and a loan lasts less than four
)

// Regain is the time in which a pool is lent out again after its keeper has died or was cut off, where more than half of all routers are
// in one part: until it is held for dead, until the promises to it have ended, and until two asks have been answered.
// It is held by a test at 15 routers, with one datagram in ten lost; 300 took up to 18 s after a heal.
const Regain = 10_000_000

// Limit is a number that all routers keep together.
type Limit struct {
	Name  string
	Most  float64 // of all routers together
	Floor float64 // part of it that is split into floors, 0 to 1; the rest is the pool
	Spare int64   // us before the end of a loan from which nothing is begun under it: how long what was begun lasts
}

// loan is what one router has.
type loan struct {
	amount float64
	until  int64 // by the keeper's clock
}

// borrower is a router as the keeper of a limit knows it.
type borrower struct {
	promised int64 // until when its promise counts here
	want     float64
	wantedAt int64           // 0: never
	loans    [mostLoans]loan // that may still be used
}

func (b *borrower) out(now int64) (most float64) {
	for _, l := range b.loans {
		if now < l.until {
			most = max(most, l.amount)
		}
	}
	return most
}

// add books a loan in place of one that has ended. Where none has, two become one that is no less than either.
func (b *borrower) add(now int64, l loan) {
	at := 0
	for i := range b.loans {
		if b.loans[i].until < b.loans[at].until {
			at = i
		}
	}
	if old := b.loans[at]; now < old.until {
		l = loan{max(l.amount, old.amount), max(l.until, old.until)}
	}
	b.loans[at] = l
}

// lending is one limit, from both sides.
type lending struct {
	n   *Node
	at  int // place among the limits
	opt Limit

	// As one who borrows.
	inUse  int
	want   float64
	keeper int    // that it has promised, or is about to; nobody
	of     uint32 // the incarnation that was promised; 0: none yet
	until  int64  // when the promise ends
	stamp  uint32 // of that keeper's last answer; 0: none
	asks   [mostAsks]struct {
		sequence uint32
		at       int64
	}
	made      int           // asks made
	answered  uint32        // the newest ask that was answered
	loan      loan          // by the own clock
	reignedAt int64         // when its keeper last lent
	silent    int           // asks since the last that was answered
	passed    map[int]int64 // routers that do not answer asks, and until when they are passed over
	hint      int           // whom others have
	hintAt    int64
	due       int64

	// As the keeper.
	borrowers []borrower
	tallied   int64
	tenure    int64 // until when more than half of all have promised
	level     float64
	extra     float64 // for each that wants, when there is more than all want
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
	case l.Spare < 0 || l.Spare >= lentFor:
		return fmt.Errorf("spare: %d us is not 0 to less than %d", l.Spare, lentFor)
	}
	return nil
}

func newLending(n *Node, at int, opt Limit) (*lending, error) {
	if err := opt.Check(); err != nil {
		return nil, err
	}
	return &lending{n: n, at: at, opt: opt, keeper: nobody, hint: nobody, passed: map[int]int64{}, borrowers: make([]borrower, n.opt.Siblings)}, nil
}

func (k *lending) floor() float64 { return k.opt.Most * k.opt.Floor / float64(k.n.opt.Siblings) }
func (k *lending) pool() float64  { return k.opt.Most * (1 - k.opt.Floor) }

// Share is how much of a limit this router may have in use at present. What hundreds of routers use of shares below one, by drawing lots,
// keeps the limit in the mean; what they take with Take keeps it always.
func (n *Node) Share(now int64, limit int) float64 {
	k := n.limits[limit]
	if now < k.loan.until-k.opt.Spare {
		return k.floor() + k.loan.amount
	}
	return k.floor()
}

// Want says how much of a limit this router could use at present.
func (n *Node) Want(limit int, amount float64) { n.limits[limit].want = amount }

// Take takes one from a limit; false: there is none to be had.
func (n *Node) Take(now int64, limit int) bool {
	k := n.limits[limit]
	if float64(k.inUse+1) > n.Share(now, limit) {
		return false
	}
	k.inUse++
	return true
}

// Give gives one back.
func (n *Node) Give(limit int) {
	if k := n.limits[limit]; k.inUse > 0 {
		k.inUse--
	}
}

// Holding is what this router's part in a limit is.
type Holding struct {
	Name   string
	Share  float64
	InUse  int
	Keeper int  // rank of the router that lends; -1: none is known
	Keeps  bool // this one does
}

// Holdings are those of all limits.
func (n *Node) Holdings(now int64) (all []Holding) {
	for i, k := range n.limits {
		h := Holding{k.opt.Name, n.Share(now, i), k.inUse, k.reigns(now), false}
		if h.Keeper == nobody {
			h.Keeper = -1
		}
		h.Keeps = h.Keeper == n.opt.Rank
		all = append(all, h)
	}
	return all
}

// reigns is the keeper that has lent to this router of late, or nobody.
func (k *lending) reigns(now int64) int {
	if k.reignedAt != 0 && now-k.reignedAt < lentFor {
		return k.keeper
	}
	return nobody
}

// hinted is told whom another router has for the keeper.
func (k *lending) hinted(now int64, rank int) { k.hint, k.hintAt = rank, now }

// fit reports that a router may be a keeper: it is held for up, and answers.
func (k *lending) fit(rank int) bool { return k.n.Up(rank) && k.passed[rank] == 0 }

// candidate is the router that all who hold the same ones for up name: the highest by a hash of limit and rank (D. Thaler, C.
// Ravishankar, "Using name-based mappings to increase hit rates", 1998).
func (k *lending) candidate() (best int) {
	top := uint64(0)
	best = k.n.opt.Rank
	for rank := range k.n.members {
		if h := mix(uint64(k.at)<<32 | uint64(rank)); h > top && k.fit(rank) {
			top, best = h, rank
		}
	}
	return best
}

// mix is the finish of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// choose settles whom to ask, nobody while a promise to one that is no use any more has not ended. A keeper that lends is kept to; else it is
// the one that others have, or the candidate.
func (k *lending) choose(now int64) int {
	maps.DeleteFunc(k.passed, func(_ int, until int64) bool { return now >= until })
	if k.silent >= silentAsks && k.keeper != nobody { // own evidence, sooner than the tier's word of it gets round
		k.passed[k.keeper], k.silent = now+passedOver, 0
	}
	target := k.hint
	if target == nobody || now-k.hintAt >= hintKept || !k.n.Up(target) {
		target = k.candidate()
	}
	switch {
	case k.keeper != nobody && (k.fit(k.keeper) || k.keeper == target) && k.n.Up(k.keeper) && (k.keeper == target || k.reigns(now) != nobody):
		return k.keeper
	case now < k.until:
		return nobody
	}
	k.keeper, k.of, k.stamp, k.reignedAt, k.answered, k.silent = target, 0, 0, 0, 0, 0
	return target
}

// tick asks for what is wanted, with a promise, when that is due.
func (k *lending) tick(now int64) {
	if now < k.due {
		return
	}
	k.due = now + renewal + int64(k.n.rng.Float64()*renewal/4)
	to := k.choose(now)
	if to == nobody {
		return
	}
	want := max(k.want-k.floor(), 0)                           // of the pool: the floor is its own
	mayPromise := now-k.n.started >= promised+promised*drift*2 // what was promised before the start is forgotten
	if to == k.n.opt.Rank {
		k.of = k.n.opt.Incarnation
		b := &k.borrowers[to]
		if mayPromise {
			k.until = now + promised
			b.promised = k.until
		}
		b.want, b.wantedAt = want, now
		if amount, term := k.grant(now, to); term > 0 {
			k.loan, k.reignedAt = loan{amount, now + term}, now
		}
		return
	}
	m := &k.n.say
	m.op, m.limit, m.amount, m.stamp, m.of = ask, k.at, want, 0, 0
	if mayPromise && k.stamp != 0 && (k.of != 0 || now >= k.until) {
		m.stamp, m.of = k.stamp, k.of
		k.until = now + promised
		k.n.Counts.Promises++
	}
	k.n.send(to)
	k.asks[k.made%mostAsks].sequence, k.asks[k.made%mostAsks].at = k.n.sequence, now
	k.made++
	k.silent++
}

// stampAt is a time of this process in milliseconds; it begins anew after 49 days.
func (k *lending) stampAt(now int64) uint32 { return uint32((now - k.n.started) / termUnit) }

// asked is an ask that came to this router, which may be the keeper, or become it.
func (k *lending) asked(now int64, m *message) {
	b := &k.borrowers[m.rank]
	if age := int64(k.stampAt(now)-m.stamp) * termUnit; m.of == k.n.opt.Incarnation && m.stamp != 0 && age < promised {
		b.promised = max(b.promised, now-age-termUnit+promised-promised*drift*2)
	}
	b.want, b.wantedAt = m.amount, now
	reply := &k.n.say
	sequence := m.sequence // the reply is built in another message, but m is used again by what follows
	rank := m.rank
	reply.amount, reply.term = k.grant(now, rank)
	reply.op, reply.limit, reply.stamp, reply.asked = lend, k.at, k.stampAt(now), sequence
	if reply.stamp == 0 {
		return // no stamp yet: the next ask will do
	}
	k.n.send(rank)
}

// tally reckons until when more than half of all routers have promised, and how the pool is shared among those who want of it.
func (k *lending) tally(now int64) {
	if now-k.tallied < tallyAge && k.tallied != 0 {
		return
	}
	k.tallied = now
	var ends []int64
	var wants []float64
	sum := 0.0
	for i := range k.borrowers {
		b := &k.borrowers[i]
		if b.promised > now {
			ends = append(ends, b.promised)
		}
		if b.wantedAt != 0 && now-b.wantedAt < wantKept {
			wants = append(wants, b.want)
			sum += b.want
		}
	}
	k.tenure = 0
	if most := len(k.borrowers)/2 + 1; len(ends) >= most {
		slices.Sort(ends)
		k.tenure = ends[len(ends)-most]
	}
	// As much for each as it wants, and where that is too much, none gets more than a level that the pool just bears (max-min fairness).
	left := k.pool()
	k.level, k.extra = 0, 0
	if sum <= left {
		k.level = left
		k.extra = (left - sum) / float64(max(len(wants), 1))
		return
	}
	slices.Sort(wants)
	for i, w := range wants {
		if part := left / float64(len(wants)-i); w >= part {
			k.level = part
			break
		}
		left -= w
	}
}

// grant lends to a router what the pool has for it, for as long as this router surely keeps it. No term: it does not.
func (k *lending) grant(now int64, rank int) (amount float64, term int64) {
	k.tally(now)
	term = min(lentFor, k.tenure-now)
	if term < lendLeast {
		return 0, 0
	}
	free := k.pool()
	for i := range k.borrowers {
		if i != rank {
			free -= k.borrowers[i].out(now)
		}
	}
	b := &k.borrowers[rank]
	amount = max(min(min(b.want, k.level)+k.extra, free), 0)
	amount = float64(units(amount, false)) * amountUnit // as it goes over the wire
	b.add(now, loan{amount, now + term + int64(float64(term)*drift)})
	k.n.Counts.Lent++
	return amount, term
}

// lent is a loan that came, or the word that there is none.
func (k *lending) lent(now int64, m *message) {
	if m.rank != k.keeper {
		return
	}
	k.silent = 0
	if k.of != 0 && m.incarnation != k.of && now < k.until { // the promise was to the process before: it must end first
		k.stamp = 0
		return
	}
	sent := int64(-1)
	for i := range k.asks {
		if a := &k.asks[i]; a.at != 0 && a.sequence == m.asked {
			sent = a.at
		}
	}
	if sent < 0 || k.of == m.incarnation && m.asked <= k.answered {
		return // older than what is known
	}
	k.of, k.stamp, k.answered = m.incarnation, m.stamp, m.asked
	if m.term >= lendLeast && m.term <= lentFor {
		k.reignedAt = now
		k.loan = loan{m.amount, sent + m.term - int64(float64(m.term)*drift)}
	}
}
