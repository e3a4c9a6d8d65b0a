package lease

import "maps"

// Times in microseconds. Upper levels renew less often, and have longer leases, so that those below fit into them.
const (
	leaseLifetime = 1_500_000 // of a router's own lease; each level above adds as much
	renewInterval = 400_000   // between two requests of a router, with up to a quarter more at random
	renewLater    = 200_000   // added to that by each level above: of the more that depends on a lease there, the more requests may be lost before it ends
	minTerm       = 100_000   // a shorter lease is not granted
	drift         = 0.02      // by which the rates of two clocks differ at most

	maxUnanswered = 8          // requests in a row, after which a holder is avoided
	avoidFor      = 12_000_000 // and for how long
	hintLifetime  = 5_000_000  // of a holder that another router has told of
	maxRequests   = 8          // requests whose grants may still come
)

// lifetimeAt is how long a lease of a lessee at this level lasts at most.
func lifetimeAt(level int) int64 { return int64(level+1) * leaseLifetime }

func renewIntervalAt(level int) int64 { return renewInterval + int64(level)*renewLater }

// allotment is an amount until a time.
type allotment struct {
	amount float64
	until  int64
}

// request is one that was sent.
type request struct {
	number uint32 // 0: none
	sentAt int64
}

// lessee asks the holder of the group above one level for leases.
type lessee struct {
	level       int // of what is leased: 0 is the router's own use
	holder      int // whom it asks; Nobody: none yet
	incarnation uint32
	lease       allotment // the latest, by the own clock
	older       [maxLeases]allotment
	number      uint32 // of the latest request
	granted     uint32 // of the latest request that was granted
	requests    [maxRequests]request
	unanswered  int
	avoided     map[int]int64 // holders that do not answer, and until when
	hint        int           // the holder that another router has told of; Nobody: none
	hintAt      int64
	due         int64
}

// Nobody is no rank.
const Nobody = -1

func newLessee(level int) *lessee {
	return &lessee{level: level, holder: Nobody, hint: Nobody, avoided: map[int]int64{}}
}

// available is what may be used at a time.
func (l *lessee) available(now int64) float64 {
	if now >= l.lease.until {
		return 0
	}
	return l.lease.amount
}

// leases lists what may be granted of at a time: the latest lease, then those before it that have not ended and are of more. A holder whose lease shrinks can so
// have those below it shrink alike, in place of the first that asks alone.
func (l *lessee) leases(now int64) []allotment {
	all := []allotment{l.lease}
	for _, older := range l.older {
		if older.until > now && older.amount > l.lease.amount {
			all = append(all, older)
		}
	}
	return all
}

// chooseHolder returns whom to ask: of the candidates that are up and not avoided the one with the greatest hash, so that a group has one holder wherever its members
// agree on who is up. Where elected, the holder is one that the candidates elect: then one that grants is kept, and one that was told of is asked; whether a candidate
// answers counts alone.
func (l *lessee) chooseHolder(now int64, candidates []int, elected bool, up func(rank int) bool, hash func(rank int) uint64) int {
	maps.DeleteFunc(l.avoided, func(_ int, until int64) bool { return now >= until })
	if l.holder != Nobody && l.unanswered >= maxUnanswered {
		l.avoided[l.holder] = now + avoidFor
	}
	usable := func(rank int) bool { return rank != Nobody && (elected || up(rank)) && l.avoided[rank] == 0 }
	best := Nobody
	switch {
	case elected && usable(l.holder) && now < l.lease.until:
		return l.holder
	case elected && usable(l.hint) && now-l.hintAt < hintLifetime:
		best = l.hint
	default:
		top := uint64(0)
		for _, rank := range candidates {
			if h := hash(rank); usable(rank) && (best == Nobody || h > top) {
				best, top = rank, h
			}
		}
	}
	if best != l.holder {
		l.holder, l.unanswered = best, 0
	}
	return best
}

// send notes a request and returns its number.
func (l *lessee) send(now int64) uint32 {
	l.number++
	l.requests[l.number%maxRequests] = request{l.number, now}
	l.unanswered++
	return l.number
}

// receive takes in a grant. One that is older than what is known is dropped.
func (l *lessee) receive(now int64, from int, m *Message) {
	sent := l.requests[m.Number%maxRequests]
	if sent.number != m.Number || m.Number == 0 || from != l.holder || m.Number <= l.granted {
		return
	}
	l.unanswered = 0
	l.granted = m.Number
	if m.Term < minTerm || m.Term > lifetimeAt(l.level) || m.Amount < 0 {
		if m.Holder != Nobody && m.Holder != from {
			if m.Holder != l.hint { // one that was told before is asked when that is due: two routers may tell of one another
				l.due = now
			}
			l.hint, l.hintAt = m.Holder, now
		}
		return
	}
	l.incarnation = m.Incarnation
	l.older[m.Number%maxLeases] = l.lease
	l.lease = allotment{m.Amount, sent.sentAt + m.Term - int64(float64(m.Term)*drift)}
}
