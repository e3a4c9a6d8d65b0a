package lease

// Times in microseconds. Upper levels renew less often and have longer leases, so that those below fit into them.
const (
	leaseLifetime = 1_500_000 // of a router's own lease at most; each level above adds as much
	minLeaseTerm  = 100_000   // a shorter lease is not granted
	renewInterval = 400_000   // between two requests of a router, with up to a quarter more at random
	hintLifetime  = 5_000_000 // of a holder that another router has named

	// renewIntervalPerLevel is added to renewInterval by each level above. The more depends on a lease, the more of
	// the requests for it may be lost before it expires.
	renewIntervalPerLevel = 200_000

	maxUnansweredRequests = 8          // in a row, after which a holder is avoided
	avoidDuration         = 12_000_000 // of a holder that does not answer
	maxPendingRequests    = 8          // requests whose grants may still come
)

// maxClockDrift is how much the rates of two clocks differ at most.
const maxClockDrift = 0.02

// leaseLifetimeAt is how long a lease of a lessee at this level lasts at most.
func leaseLifetimeAt(level int) int64 { return int64(level+1) * leaseLifetime }

// renewIntervalAt is the time between two requests of a lessee at this level, without the random part.
func renewIntervalAt(level int) int64 { return renewInterval + int64(level)*renewIntervalPerLevel }

// request is one that was sent.
type request struct {
	number uint32 // 0: none
	sentAt int64
}

// lessee asks the holder of the group above one level for leases.
type lessee struct {
	level int // of what is leased: 0 is the router's own use

	// The holder.
	holder       int // whom it asks; NoRank: none yet
	hintedHolder int // the holder that another router has named; NoRank: none
	hintedAt     int64
	avoided      AvoidList // holders that do not answer

	// Requests.
	requests           [maxPendingRequests]request // by number, modulo the length
	lastRequest        uint32                      // number of the latest
	lastGrantedRequest uint32                      // number of the latest that was answered
	unansweredRequests int                         // in a row
	nextRequestAt      int64

	// Leases, by the own clock.
	lease       Allotment            // the latest
	olderLeases [maxLeases]Allotment // those before it, some of which may not have expired
}

func newLessee(level int) *lessee {
	return &lessee{level: level, holder: NoRank, hintedHolder: NoRank, avoided: AvoidList{}}
}

// available is what may be in use at a time.
func (l *lessee) available(now int64) float64 {
	if now >= l.lease.ExpiresAt {
		return 0
	}
	return l.lease.Amount
}

// capacities lists the leases out of which others may be granted: the latest, then those before it that have not
// expired and are of more. A holder whose lease shrinks can so have all leases below it shrink alike, instead of
// the first that asks alone.
func (l *lessee) capacities(now int64) []Allotment {
	all := []Allotment{l.lease}
	for _, older := range l.olderLeases {
		if older.ExpiresAt > now && older.Amount > l.lease.Amount {
			all = append(all, older)
		}
	}
	return all
}

// holderChoice is what a lessee chooses its holder by.
type holderChoice struct {
	candidates []int
	isElected  bool                  // the candidates elect one of them
	isUp       func(rank int) bool   // asked only where the holder is not elected
	hash       func(rank int) uint64 // orders the candidates, greatest first
}

// chooseHolder returns the router to ask, NoRank if none can be: of the candidates that are up and not avoided the
// first by their hash, so that a group has one holder wherever its members agree on who is up.
//
// An elected holder is kept while its lease lasts, and else is the one that another router has named; only whether it
// answers counts then, not whether it is taken for up.
func (l *lessee) chooseHolder(now int64, choice holderChoice) int {
	l.avoided.Expire(now)
	if l.holder != NoRank && l.unansweredRequests >= maxUnansweredRequests {
		l.avoided[l.holder] = now + avoidDuration
	}
	isUsable := func(rank int) bool {
		return rank != NoRank && (choice.isElected || choice.isUp(rank)) && !l.avoided.Contains(rank)
	}
	if choice.isElected && isUsable(l.holder) && now < l.lease.ExpiresAt {
		return l.holder
	}
	var chosen int
	if choice.isElected && isUsable(l.hintedHolder) && now-l.hintedAt < hintLifetime {
		chosen = l.hintedHolder
	} else {
		chosen = firstByHash(choice.candidates, choice.hash, isUsable)
	}
	if chosen != l.holder {
		l.holder = chosen
		l.unansweredRequests = 0
	}
	return chosen
}

// firstByHash returns the usable candidate with the greatest hash; NoRank if there is none.
func firstByHash(candidates []int, hash func(rank int) uint64, isUsable func(rank int) bool) int {
	first, greatest := NoRank, uint64(0)
	for _, rank := range candidates {
		if h := hash(rank); isUsable(rank) && (first == NoRank || h > greatest) {
			first, greatest = rank, h
		}
	}
	return first
}

// recordRequest notes a request that is about to be sent, and returns its number.
func (l *lessee) recordRequest(now int64) uint32 {
	l.lastRequest++
	l.requests[l.lastRequest%maxPendingRequests] = request{l.lastRequest, now}
	l.unansweredRequests++
	return l.lastRequest
}

// handleGrant takes in the answer to a request. One that is older than the latest answer, or of a request that is not
// known any more, is dropped.
func (l *lessee) handleGrant(now int64, from int, m *Message) {
	answered := l.requests[m.RequestNumber%maxPendingRequests]
	isKnown := m.RequestNumber != 0 && answered.number == m.RequestNumber
	if !isKnown || from != l.holder || m.RequestNumber <= l.lastGrantedRequest {
		return
	}
	l.unansweredRequests = 0
	l.lastGrantedRequest = m.RequestNumber
	if m.Term < minLeaseTerm || m.Term > leaseLifetimeAt(l.level) || m.Amount < 0 {
		if m.KnownHolder != NoRank && m.KnownHolder != from {
			l.noteHolderHint(now, m.KnownHolder)
		}
		return
	}
	l.olderLeases[m.RequestNumber%maxLeases] = l.lease
	// The lease counts from when its request was sent, which was before it was granted, and less the clocks' drift:
	// it expires here before it does at the holder.
	l.lease = Allotment{m.Amount, answered.sentAt + m.Term - int64(float64(m.Term)*maxClockDrift)}
}

// noteHolderHint notes the holder that another router has named. A new one is asked at once. One that was named
// before is asked when that is due: two routers may name one another.
func (l *lessee) noteHolderHint(now int64, rank int) {
	if rank != l.hintedHolder {
		l.nextRequestAt = now
	}
	l.hintedHolder = rank
	l.hintedAt = now
}
