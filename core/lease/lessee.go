package lease

import "maps"

// Times in microseconds. Upper levels renew less often, and have longer leases, so that those below fit into them.
const (
	leaseLifetime         = 1_500_000 // of a router's own lease; each level above adds as much
	renewInterval         = 400_000   // between two requests of a router, with up to a quarter more at random
	renewIntervalPerLevel = 200_000   // added to that by each level above: of the more that depends on a lease there, the more requests may be lost before it ends
	minTerm               = 100_000   // a shorter lease is not granted
	maxClockDrift         = 0.02      // by which the rates of two clocks differ at most

	maxUnanswered = 8          // requests in a row, after which a holder is avoided
	avoidDuration = 12_000_000 // and for how long
	hintLifetime  = 5_000_000  // of a holder that another router has told of
	maxRequests   = 8          // requests whose grants may still come
)

// leaseLifetimeAt is how long a lease of a lessee at this level lasts at most.
func leaseLifetimeAt(level int) int64 { return int64(level+1) * leaseLifetime }

func renewIntervalAt(level int) int64 { return renewInterval + int64(level)*renewIntervalPerLevel }

// allotment is an amount until a time.
type allotment struct {
	amount    float64
	expiresAt int64
}

// request is one that was sent.
type request struct {
	number uint32 // 0: none
	sentAt int64
}

// lessee asks the holder of the group above one level for leases.
type lessee struct {
	level              int // of what is leased: 0 is the router's own use
	holder             int // whom it asks; NoRank: none yet
	holderIncarnation  uint32
	lease              allotment // the latest, by the own clock
	olderLeases        [maxLeases]allotment
	lastRequest        uint32 // of the latest request
	lastGrantedRequest uint32 // of the latest request that was granted
	requests           [maxRequests]request
	unansweredRequests int
	avoidedUntil       map[int]int64 // holders that do not answer, and until when
	hintedHolder       int           // the holder that another router has told of; NoRank: none
	hintedAt           int64
	nextRequestAt      int64
}

// NoRank is no rank.
const NoRank = -1

func newLessee(level int) *lessee {
	return &lessee{level: level, holder: NoRank, hintedHolder: NoRank, avoidedUntil: map[int]int64{}}
}

// available is what may be used at a time.
func (l *lessee) available(now int64) float64 {
	if now >= l.lease.expiresAt {
		return 0
	}
	return l.lease.amount
}

// grantableLeases lists what may be granted of at a time: the latest lease, then those before it that have not ended and are of more. A holder whose lease shrinks can so
// have those below it shrink alike, in place of the first that asks alone.
func (l *lessee) grantableLeases(now int64) []allotment {
	all := []allotment{l.lease}
	for _, older := range l.olderLeases {
		if older.expiresAt > now && older.amount > l.lease.amount {
			all = append(all, older)
		}
	}
	return all
}

// chooseHolder returns whom to ask: of the candidates that are up and not avoided the one with the greatest hash, so that a group has one holder wherever its members
// agree on who is up. Where elected, the holder is one that the candidates elect: then one that grants is kept, and one that was told of is asked; whether a candidate
// answers counts alone.
func (l *lessee) chooseHolder(now int64, candidates []int, elected bool, up func(rank int) bool, hash func(rank int) uint64) int {
	maps.DeleteFunc(l.avoidedUntil, func(_ int, until int64) bool { return now >= until })
	if l.holder != NoRank && l.unansweredRequests >= maxUnanswered {
		l.avoidedUntil[l.holder] = now + avoidDuration
	}
	usable := func(rank int) bool { return rank != NoRank && (elected || up(rank)) && l.avoidedUntil[rank] == 0 }
	best := NoRank
	switch {
	case elected && usable(l.holder) && now < l.lease.expiresAt:
		return l.holder
	case elected && usable(l.hintedHolder) && now-l.hintedAt < hintLifetime:
		best = l.hintedHolder
	default:
		top := uint64(0)
		for _, rank := range candidates {
			if h := hash(rank); usable(rank) && (best == NoRank || h > top) {
				best, top = rank, h
			}
		}
	}
	if best != l.holder {
		l.holder, l.unansweredRequests = best, 0
	}
	return best
}

// recordRequest notes a request and returns its number.
func (l *lessee) recordRequest(now int64) uint32 {
	l.lastRequest++
	l.requests[l.lastRequest%maxRequests] = request{l.lastRequest, now}
	l.unansweredRequests++
	return l.lastRequest
}

// handleGrant takes in a grant. One that is older than what is known is dropped.
func (l *lessee) handleGrant(now int64, from int, m *Message) {
	sent := l.requests[m.RequestNumber%maxRequests]
	if sent.number != m.RequestNumber || m.RequestNumber == 0 || from != l.holder || m.RequestNumber <= l.lastGrantedRequest {
		return
	}
	l.unansweredRequests = 0
	l.lastGrantedRequest = m.RequestNumber
	if m.Term < minTerm || m.Term > leaseLifetimeAt(l.level) || m.Amount < 0 {
		if m.KnownHolder != NoRank && m.KnownHolder != from {
			if m.KnownHolder != l.hintedHolder { // one that was told before is asked when that is due: two routers may tell of one another
				l.nextRequestAt = now
			}
			l.hintedHolder, l.hintedAt = m.KnownHolder, now
		}
		return
	}
	l.holderIncarnation = m.Incarnation
	l.olderLeases[m.RequestNumber%maxLeases] = l.lease
	l.lease = allotment{m.Amount, sent.sentAt + m.Term - int64(float64(m.Term)*maxClockDrift)}
}
