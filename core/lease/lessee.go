package lease

// Times in microseconds. Upper levels renew less often and have longer leases than the levels below. A lease must
// expire before the lease from which it was granted.
const (
	leaseLifetime = 1_500_000 // maximum term of a lease at level 0; each level above adds the same again
	minLeaseTerm  = 100_000   // minimum term of a lease; shorter leases are not granted
	renewInterval = 400_000   // time between two requests at level 0, plus a random part of up to a quarter
	hintLifetime  = 5_000_000 // how long a hint about the holder from another router is valid

	// renewIntervalPerLevel is added to renewInterval for each level above 0. Lease lifetimes grow faster by level than
	// renew intervals, so a lease on which more routers depend tolerates more lost requests before it expires.
	renewIntervalPerLevel = 200_000

	maxUnansweredRequests = 8          // number of unanswered requests in a row after which a holder is avoided
	avoidDuration         = 12_000_000 // how long a holder that does not respond is avoided
	maxPendingRequests    = 8          // maximum number of requests whose grants are still accepted
)

// maxClockDrift is the maximum difference between the rates of two clocks, as a fraction.
const maxClockDrift = 0.02

// leaseLifetimeAt returns the maximum term (us) of a lease of a lessee at a level.
func leaseLifetimeAt(level int) int64 { return int64(level+1) * leaseLifetime }

// renewIntervalAt returns the time (us) between two requests of a lessee at a level, without the random part.
func renewIntervalAt(level int) int64 { return renewInterval + int64(level)*renewIntervalPerLevel }

// request is the record of a request that was sent.
type request struct {
	number uint32 // 0: no request
	sentAt int64
}

// lessee is the state of a router as a lessee at one level. It requests leases from the holder of the group above it.
type lessee struct {
	level int // 0: the leases are for this router itself; above 0: for the group of that level that this router holds

	// The holder.
	holder       int       // rank of the router that receives the requests; NoRank: none chosen yet
	hintedHolder int       // rank that another router named as the holder; NoRank: none
	hintedAt     int64     // time of the latest such hint
	avoided      AvoidList // holders that do not respond

	// Requests.
	requests            [maxPendingRequests]request // indexed by number, modulo the length
	lastRequest         uint32                      // number of the latest request
	lastAnsweredRequest uint32                      // number of the latest request that was answered
	unansweredRequests  int                         // number of unanswered requests in a row
	nextRequestAt       int64

	// Leases, with times by the clock of this router.
	lease       Lease            // the latest lease
	olderLeases [maxLeases]Lease // some of them may not have expired
}

func newLessee(level int) *lessee {
	return &lessee{level: level, holder: NoRank, hintedHolder: NoRank, avoided: AvoidList{}}
}

// available returns the amount of the latest lease, 0 if it has expired at now.
func (l *lessee) available(now int64) float64 {
	if now >= l.lease.ExpiresAt {
		return 0
	}
	return l.lease.Amount
}

// sources returns the leases from which a holder may grant others: the latest lease, then the older leases that are
// larger and have not expired. When the lease of a holder shrinks, the older leases let the holder reduce all leases
// below it evenly. With only the latest lease, the first lessee to renew would bear the whole reduction.
func (l *lessee) sources(now int64) []Lease {
	all := []Lease{l.lease}
	for _, older := range l.olderLeases {
		if older.ExpiresAt > now && older.Amount > l.lease.Amount {
			all = append(all, older)
		}
	}
	return all
}

// holderChoice has the inputs from which a lessee chooses its holder.
type holderChoice struct {
	candidates []int
	isElected  bool                  // whether the holder is elected from the candidates
	isUp       func(rank int) bool   // called only if the holder is not elected
	hash       func(rank int) uint64 // the candidate with the greatest hash is preferred
}

// chooseHolder returns the router from which to request leases, NoRank if there is none.
//
// If the holder is not elected, chooseHolder returns the candidate with the greatest hash among the candidates that are
// up and not avoided. Members of a group that agree on which candidates are usable therefore choose the same holder.
//
// If the holder is elected, only avoided routers are unusable, whether or not they are considered up. chooseHolder
// returns the current holder while the lease lasts. After that it returns the router that another router has named as
// the holder or, without a valid hint, the candidate with the greatest hash.
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

// firstByHash returns the usable candidate with the greatest hash, NoRank if none is usable.
func firstByHash(candidates []int, hash func(rank int) uint64, isUsable func(rank int) bool) int {
	first, greatest := NoRank, uint64(0)
	for _, rank := range candidates {
		if h := hash(rank); isUsable(rank) && (first == NoRank || h > greatest) {
			first, greatest = rank, h
		}
	}
	return first
}

// recordRequest records a request that is about to be sent and returns its number.
func (l *lessee) recordRequest(now int64) uint32 {
	l.lastRequest++
	l.requests[l.lastRequest%maxPendingRequests] = request{l.lastRequest, now}
	l.unansweredRequests++
	return l.lastRequest
}

// handleGrant handles the response to a request. It ignores a response in three cases: the sender is not the current
// holder, the same or a later request has already been answered, or the request is no longer recorded.
func (l *lessee) handleGrant(now int64, from int, m *Message) {
	answered := l.requests[m.RequestNumber%maxPendingRequests]
	isKnown := m.RequestNumber != 0 && answered.number == m.RequestNumber
	if !isKnown || from != l.holder || m.RequestNumber <= l.lastAnsweredRequest {
		return
	}
	l.unansweredRequests = 0
	l.lastAnsweredRequest = m.RequestNumber
	if m.Term < minLeaseTerm || m.Term > leaseLifetimeAt(l.level) || m.Amount < 0 {
		if m.KnownHolder != NoRank && m.KnownHolder != from {
			l.recordHolderHint(now, m.KnownHolder)
		}
		return
	}
	l.olderLeases[m.RequestNumber%maxLeases] = l.lease
	// The term is reduced by the clock drift. It counts from the time at which the request was sent, and that time is
	// before the grant. For both reasons the lease expires here before it does at the holder.
	l.lease = Lease{m.Amount, answered.sentAt + m.Term - int64(float64(m.Term)*maxClockDrift)}
}

// recordHolderHint records the holder that another router has named. If this holder differs from the previously named
// one, the next request is sent at once. Otherwise the next request is sent when it is due, because two routers may
// name each other.
func (l *lessee) recordHolderHint(now int64, rank int) {
	if rank != l.hintedHolder {
		l.nextRequestAt = now
	}
	l.hintedHolder = rank
	l.hintedAt = now
}
